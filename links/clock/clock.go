// Package clock reads the time from the boot clock, which includes the time that
// the machine is suspended and isn't affected by steps of the wall clock.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// epoch is the wall time at which the boot clock was zero, computed once at the
// start of the process.
var epoch = time.Now().Round(0).Add(-sinceBoot())

// Now returns the present time. The difference between two results includes
// suspension and isn't affected by steps of the wall clock. The result has no
// monotonic clock reading.
func Now() time.Time { return epoch.Add(sinceBoot()) }

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel since 2.6.39 has this clock.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
