package clock

import (
	"testing"
	"time"
)

func TestRemote(t *testing.T) {
	base := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return base.Add(time.Duration(ms) * time.Millisecond) }
	reading := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	// The other clock reads 5,000 ms at base.
	var r Remote
	for _, c := range []struct {
		name          string
		sent, arrived int
		reading       int
		least, most   int
	}{
		{"first answer", 0, 40, 5020, 0, 20},
		{"answer at once", 100, 150, 5105, 100, 105},
		{"answer after 600 ms that is long on its way", 200, 2900, 5800, 780, 800},
		{"clock that went on by a step", 3000, 3100, 25000, 3000, 3000},
		{"after the step", 3200, 4000, 25700, 3200, 3700},
		{"clock that went back", 4100, 4900, 10, 4100, 4100},
	} {
		got := r.Answered(at(c.sent), at(c.arrived), reading(c.reading))
		if got.Before(at(c.least)) || got.After(at(c.most)) {
			t.Errorf("%s: %v after the start, want %d to %d ms", c.name, got.Sub(base), c.least, c.most)
		}
	}
}

// A clock that runs faster by one in a thousand must not make answers newer than they are
// for long.
func TestRemoteClockOfAnotherRate(t *testing.T) {
	base := time.Unix(1_000_000, 0)
	var r Remote
	for s := range 600 {
		sent := base.Add(time.Duration(s) * time.Second)
		answer := sent.Add(500 * time.Millisecond)
		got := r.Answered(sent, answer.Add(400*time.Millisecond), answer.Sub(base)*1001/1000)
		if late, limit := got.Sub(answer), 2*remoteWindow/1000; late > limit {
			t.Fatalf("answer of second %d counts as %v newer than it is, want %v at most", s, late, limit)
		}
	}
}
