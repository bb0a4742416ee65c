// Package clock reads the boot-time clock of the machine.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine was booted, including the time during which
// it was suspended. It is meant for the age of data such as leases, which expire for
// other machines while this one is suspended.
func SinceBoot() time.Duration {
	var bootTime unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &bootTime); err != nil {
		return 0 // Earlier than any reading before, so that no data counts as fresh.
	}

	return time.Duration(bootTime.Nano())
}
