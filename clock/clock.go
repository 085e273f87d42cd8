// Package clock reads the boot-time clock. Unlike Go's monotonic clock, it also
// counts the time during which the machine was suspended, so a lease that
// expired during a suspend is seen as expired. Changes of the wall clock do not
// affect it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Func returns the current reading of a monotonic clock. Decision code takes
// readings as arguments; only differences between readings are meaningful.
type Func func() time.Time

// Boot returns the reading of CLOCK_BOOTTIME. It panics on a kernel without that
// clock.
func Boot() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
