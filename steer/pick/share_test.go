package pick

import (
	"fmt"
	"testing"
	"time"

	"magnoliahitch/steer/fleet"
)

// All sponsors of a cold server together stay within its limit in any second, also while
// the server restarts three times a second, its record comes and goes, or the sponsors
// restart, each of which gives a host its burst anew.
func TestSponsorsOfRestartingServer(t *testing.T) {
	const step = 5 * time.Millisecond
	cold := func(incarnation int64) *fleet.View {
		return view(servers(map[string]int{"north": 1}, func(s *fleet.Server) { s.Incarnation, s.ColdUntil = incarnation, at(time.Minute) }))
	}
	for _, c := range []struct {
		name string
		// disturb is called every 300 ms with the number of its call.
		disturb func(r *region, now time.Time, n int) *fleet.View
	}{
		{"server restarts", func(_ *region, _ time.Time, n int) *fleet.View { return cold(int64(n)) }},
		{"record comes and goes", func(r *region, _ time.Time, _ int) *fleet.View {
			for _, p := range r.pickers {
				p.Retain(nil)
			}
			return cold(1)
		}},
		{"hosts restart", func(r *region, now time.Time, _ int) *fleet.View {
			for i := range r.pickers {
				r.pickers[i] = r.newPicker(i, WithSuspectUntil(now.Add(5*time.Second)))
			}
			return cold(1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRegion(12)
			v := cold(0)
			for i := range 2000 {
				now := at(time.Duration(i) * step)
				if i%60 == 0 {
					v = c.disturb(r, now, i/60)
				}
				for h := range r.hosts {
					r.send(now, h, v, fmt.Sprint(i, h))
				}
			}
			if got := r.most("north-0", start, at(time.Minute)); float64(got) > coldLimit {
				t.Errorf("cold server got %d requests in one second, want at most %.1f", got, coldLimit)
			}
		})
	}
}
