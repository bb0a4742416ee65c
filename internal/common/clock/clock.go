// Package clock reads clocks of the machine.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started, with the time that it was
// suspended. Use it where others let time pass while this machine stands still.
func SinceBoot() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return 0 // Reads as far in the past, so that nothing counts as fresh.
	}

	return time.Duration(reading.Nano())
}
