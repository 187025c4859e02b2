package fresh

import (
	"testing"
	"time"
)

func TestUsable(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(1_000_000 + ms)) }
	b := Bounds{Age: 3 * time.Second, Contact: 4 * time.Second}
	for _, c := range []struct {
		name  string
		table Table
		now   int
		want  bool
	}{
		{"recent", Table{Read: at(0)}, 3000, true},
		{"old", Table{Read: at(0)}, 3001, false},
		{"old, and the store doesn't answer", Table{Read: at(0), Unanswered: at(2000)}, 5000, true},
		{"old, and the store didn't answer long ago", Table{Read: at(0), Unanswered: at(2000)}, 6000, false},
		{"old, and the store has answered since", Table{Read: at(2000), Unanswered: at(1000)}, 5001, false},
		{"never read", Table{}, 0, false},
	} {
		if got := c.table.Usable(at(c.now), b); got != c.want {
			t.Errorf("%s: usable %v, want %v", c.name, got, c.want)
		}
	}
	if !(Table{}).Usable(at(0), Bounds{}) {
		t.Error("table without a bound isn't usable")
	}
}

// While the store is away, a host goes on without a gap: each read that isn't answered
// comes before the last one has lost its weight.
func TestOutageWithoutGaps(t *testing.T) {
	b := Bounds{Age: 2500 * time.Millisecond, Contact: 4 * time.Second}
	start := time.UnixMilli(1_000_000)
	table := Table{Read: start}
	const (
		// due is the age at which reads begin, timeout and pause the longest ones of a host
		// with a source, and noticed how long after it was due a read counts as unanswered.
		due, timeout, pause, noticed = 1750 * time.Millisecond, time.Second, 2100 * time.Millisecond, 500 * time.Millisecond
	)
	next := start.Add(due)
	for now := start; now.Sub(start) < time.Minute; now = now.Add(10 * time.Millisecond) {
		if now.Sub(next) >= noticed {
			table.Unanswered = next
		}
		if now.Sub(next) >= timeout+pause {
			next = now
		}
		if !table.Usable(now, b) {
			t.Fatalf("table isn't usable %v after the start of an outage", now.Sub(start))
		}
	}
}
