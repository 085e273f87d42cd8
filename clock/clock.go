// Package clock reads the boot-time clock. Unlike Go's monotonic clock it also
// counts the time during which the machine was suspended, so that a lease that
// lapsed meanwhile is found lapsed. It never steps with the time of day.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Func returns the current reading of a steady clock. Decisions take its
// readings as arguments; only differences between readings have a meaning.
type Func func() time.Time

// Boot returns the reading of the boot-time clock. A kernel without that clock
// is not supported.
func Boot() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
