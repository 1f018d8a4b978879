// Package bootclock reads a clock that includes the time for which the host was suspended. Leases are measured with it:
// the monotonic clock of Linux stops while a virtual machine is suspended, but the leases of others run on.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"

	"fulmarcourse.example/core/schedule"
)

// Uptime returns the time since the host was booted.
func Uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists since Linux 2.6.39; without it no lease can be measured.
		panic("bootclock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Now reads both clocks of the scheduler.
func Now() schedule.Time {
	return schedule.Time{Boot: Uptime(), UnixMs: time.Now().UnixMilli()}
}
