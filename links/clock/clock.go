// Package clock gives the present time on a clock that goes on while the
// machine is suspended and that nobody can step.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// epoch is the wall time at which the boot clock stood at zero, as seen once
// at the start of the process.
var epoch = time.Now().Round(0).Add(-sinceBoot())

// Now returns the present time. Differences between two of its results count
// suspension and are not changed by a step of the wall clock. It carries no
// monotonic reading.
func Now() time.Time { return epoch.Add(sinceBoot()) }

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel since 2.6.39 has this clock.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
