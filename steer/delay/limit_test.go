package delay

import (
	"testing"
	"time"
)

// replayLoad replays requests at a rate, each tenth one urgent, on a host that bears a number
// of them a second, for the duration. It returns the numbers of all and of urgent requests
// taken, of those offered, and the longest delay after the first two seconds.
func replayLoad(l *Limiter, begin time.Time, d time.Duration, offered, bears int) (taken, urgentTaken, urgentOffered int, longest time.Duration) {
	queue := 0.0
	delayOf := func() time.Duration { return time.Duration(queue / float64(bears) * float64(time.Second)) }
	last := begin
	for i := range int(d.Seconds() * float64(offered)) {
		now := begin.Add(time.Duration(i) * time.Second / time.Duration(offered))
		queue = max(0, queue-float64(bears)*now.Sub(last).Seconds())
		last = now
		urgent := i%10 == 0
		if urgent {
			urgentOffered++
		}
		if now.Sub(begin) > 2*time.Second {
			longest = max(longest, delayOf())
		}
		if !l.Admit(now, delayOf(), urgent) {
			continue
		}
		queue++
		taken++
		if urgent {
			urgentTaken++
		}
	}
	return taken, urgentTaken, urgentOffered, longest
}

// A host that gets more requests than it bears takes about as many as it does, and its
// delay stays short.
func TestLimiterFindsWhatAHostBears(t *testing.T) {
	begin := time.UnixMilli(1_000_000)
	const bears = 60
	for _, offered := range []int{40, 70, 120, 600} {
		var l Limiter
		const d = 30 * time.Second
		taken, urgentTaken, urgentOffered, longest := replayLoad(&l, begin, d, offered, bears)
		want := min(offered, bears) * int(d.Seconds())
		if taken < want*8/10 {
			t.Errorf("%d of %d/s offered: %d taken, want 8 in 10 of %d", offered, bears, taken, want)
		}
		if longest > 300*time.Millisecond {
			t.Errorf("%d of %d/s offered: delay up to %v, want 300 ms at most", offered, bears, longest)
		}
		if got, least := float64(urgentTaken)/float64(urgentOffered), float64(taken)/float64(offered*int(d.Seconds())); got < least {
			t.Errorf("%d of %d/s offered: %.2f of the urgent requests taken, %.2f of all", offered, bears, got, least)
		}
		if taken, _, _, _ = replayLoad(&l, begin.Add(d), 10*time.Second, bears/2, bears); taken < bears/2*10*95/100 {
			t.Errorf("%d of %d requests taken after the load is gone, want 95 in 100", taken, bears/2*10)
		}
		if l.rate > 0 {
			t.Errorf("limit of %.0f/s lasts 10 s after the load", l.rate)
		}
	}
}
