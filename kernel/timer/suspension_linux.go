package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendedTimeBounds returns bounds of how long the VM was suspended since it started:
// the clock of the boot time counts that time, the monotonic clock does not. They are 0
// if a clock cannot be read; the wall clock alone tells of a suspension then.
func suspendedTimeBounds() (least, most time.Duration) {
	var before, boot, after unix.Timespec
	for _, reading := range []struct {
		clock int32
		time  *unix.Timespec
	}{{unix.CLOCK_MONOTONIC, &before}, {unix.CLOCK_BOOTTIME, &boot}, {unix.CLOCK_MONOTONIC, &after}} {
		if unix.ClockGettime(reading.clock, reading.time) != nil {
			return 0, 0
		}
	}
	return time.Duration(boot.Nano() - after.Nano()), time.Duration(boot.Nano() - before.Nano())
}
