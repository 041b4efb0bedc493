// Package clock reads the time since the VM was started.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM was started. Unlike the runtime's clock it
// goes on while the VM is suspended, so that what was learned before counts as
// old afterwards.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has this clock since 2.6.39. Without it no age can be told.
		panic("clock: no boot time: " + err.Error())
	}
	return time.Duration(now.Nano())
}
