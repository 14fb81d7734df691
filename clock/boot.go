package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine booted, including time in suspend.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux kernel since 2.6.39 has this clock; without it lease ends can't be computed safely.
		panic("clock: CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
