// Package bootclock reads the boot clock of Linux, which includes the time for which the host was suspended. Leases are
// measured with it, because the monotonic clock stops while a virtual machine is suspended, whereas leases that other
// hosts measure continue to run.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"

	"fulmarcourse.example/core/schedule"
)

// Uptime returns the time since the host was booted, including time for which it was suspended.
func Uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39. Without it, leases cannot be measured.
		panic("bootclock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Now returns the current readings of the boot clock and the wall clock.
func Now() schedule.Time {
	return schedule.Time{Boot: Uptime(), UnixMs: time.Now().UnixMilli()}
}
