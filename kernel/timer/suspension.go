package timer

import (
	"sync/atomic"
	"time"
)

// suspensionCheckInterval is the time between two readings of how long the VM was
// suspended, which take system calls. It is the largest error after a suspension.
const suspensionCheckInterval = 20 * time.Millisecond

// suspension is a reading of how long the VM was suspended since the process started.
type suspension struct {
	// readAt is the monotonic time of the reading.
	readAt time.Duration
	total  time.Duration
}

var (
	// readSuspendedTime returns bounds of how long the VM was suspended since it started.
	readSuspendedTime = suspendedTimeBounds
	_, startBound     = suspendedTimeBounds()
	lastSuspension    atomic.Pointer[suspension]
)

// suspendedTime returns how long the VM was suspended since the start of the process, or
// less if the process did not run between the readings of two clocks. monotonic is the
// current monotonic time.
func suspendedTime(monotonic time.Duration) time.Duration {
	last := lastSuspension.Load()
	if last != nil && monotonic >= last.readAt && monotonic-last.readAt < suspensionCheckInterval {
		return last.total
	}
	least, _ := readSuspendedTime()
	current := &suspension{readAt: monotonic, total: max(0, least-startBound)}
	if last != nil {
		current.total = max(current.total, last.total)
	}
	if !lastSuspension.CompareAndSwap(last, current) {
		return max(current.total, lastSuspension.Load().total)
	}
	return current.total
}
