package freshness

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boottime returns the time since the machine started, including the time for which
// it was suspended, which the clock of package time leaves out.
func Boottime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has this clock since 2.6.39. A negative reading makes every age Unknown
		// and is never confirmed.
		return -1
	}
	return time.Duration(t.Nano())
}
