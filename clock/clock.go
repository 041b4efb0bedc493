// Package clock reads the time since the VM was booted.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM was booted. Unlike the monotonic clock of Go's
// runtime, it includes the time for which the VM was suspended, so that data obtained
// before the suspension is correctly treated as old after it.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had this clock since version 2.6.39. Without it, the age of
		// data is unknown.
		panic("clock: no boot time: " + err.Error())
	}
	return time.Duration(now.Nano())
}
