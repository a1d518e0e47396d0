package timer

import "time"

// SetSuspendedTime replaces the function that reads how long the VM was suspended, until
// the returned function is called.
func SetSuspendedTime(read func() time.Duration) (restore func()) {
	previous, previousBound := readSuspendedTime, startBound
	readSuspendedTime = func() (least, most time.Duration) { return read(), read() }
	startBound = 0
	lastSuspension.Store(nil)
	return func() {
		readSuspendedTime, startBound = previous, previousBound
		lastSuspension.Store(nil)
	}
}
