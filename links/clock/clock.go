// Package clock reads the time from the boot clock, which includes the time that
// the machine is suspended and isn't affected by steps of the wall clock.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// epoch is the wall time at which the boot clock was zero, computed once at the
// start of the process.
var epoch = time.Now().Round(0).Add(-sinceBoot())

// Now returns the present time. The difference between two results includes
// suspension and isn't affected by steps of the wall clock. The result has no
// monotonic clock reading.
func Now() time.Time {
	if f := replaced.Load(); f != nil {
		return (*f)()
	}
	return epoch.Add(sinceBoot())
}

// replaced is the function that [Replace] has set.
var replaced atomic.Pointer[func() time.Time]

// Replace makes [Now] return the results of f until restore is called, for tests on
// virtual time.
func Replace(f func() time.Time) (restore func()) {
	replaced.Store(&f)
	return func() { replaced.Store(nil) }
}

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel since 2.6.39 has this clock.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
