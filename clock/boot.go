package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started, the time that it was suspended included.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has the clock; without it no lease may be trusted.
		panic("clock: no boot time: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
