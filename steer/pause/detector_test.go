package pause

import (
	"testing"
	"time"
)

// replay calls the detector at the times, in milliseconds, and returns the last
// result.
func replay(d *Detector, ms ...int) time.Time {
	var woke time.Time
	for _, m := range ms {
		woke = d.Woke(time.UnixMilli(int64(m)))
	}
	return woke
}

// A host that wakes with a request in hand must not use what it chose before the
// pause, whichever of its goroutines runs first.
func TestPauseIsSeenByTheFirstCall(t *testing.T) {
	var d Detector
	if woke := replay(&d, 1000, 1500, 2000, 2900); !woke.IsZero() {
		t.Errorf("pause until %v, want none: ticks were at most 900 ms apart", woke)
	}
	chosen := time.UnixMilli(2950)
	if d.Since(chosen, chosen) {
		t.Error("choice is from before a pause, want no pause")
	}
	if !d.Since(time.UnixMilli(7000), chosen) {
		t.Error("no pause since the choice, want the one of 4 s")
	}
	if got, want := replay(&d, 7100, 7600), time.UnixMilli(7000); !got.Equal(want) {
		t.Errorf("end of the pause = %v, want %v", got, want)
	}
	if d.Since(time.UnixMilli(7700), time.UnixMilli(7650)) {
		t.Error("choice after the pause counts as one from before it")
	}
}

// Calls of several goroutines arrive out of order.
func TestOlderTimeIsNoPause(t *testing.T) {
	var d Detector
	if woke := replay(&d, 1000, 1600, 1590, 1700, 3500); !woke.IsZero() {
		t.Errorf("pause until %v, want none", woke)
	}
}
