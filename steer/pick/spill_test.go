package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"magnoliahitch/steer/fleet"
)

// maxShareChange is the maximum allowed change in the share of a region's requests
// that run in remote regions, from one window of two seconds to the next.
const maxShareChange = 0.15

// Guards against a jump of the spillover after a cold start in a region with few
// servers. Every first request for an object takes three times as long as later
// ones, so queues fill. Without a bounded rate, half of the requests ran in remote
// regions for two seconds.
func TestColdStartKeepsShareRate(t *testing.T) {
	for seed := range uint64(20) {
		if got := simulateColdStart(seed, 2, 30); got > maxShareChange {
			t.Errorf("seed %d: share in remote regions changed by %.2f within two seconds, want at most %.2f", seed, got, maxShareChange)
		}
	}
}

// simulateColdStart drives a picker with requests that queue at simulated servers. It
// returns the largest change of the share of requests in remote regions between
// two consecutive windows, minus the change that random variation alone can cause.
// Windows without requests are skipped.
func simulateColdStart(seed uint64, localServers int, rate float64) float64 {
	r := rand.New(rand.NewPCG(seed, 7))
	v := view(servers(map[string]int{"north": localServers, "south": 6, "east": 4}, nil))
	p := newPicker()
	type run struct {
		ends   time.Time
		server string
		took   time.Duration
	}
	const slots = 3
	var running []run
	busy := make(map[string][]time.Time)
	warm := make(map[string]bool)
	windows := make(map[int][2]int)
	for now := start; now.Before(at(24 * time.Second)); now = now.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second))) {
		unfinished := running[:0]
		for _, x := range running {
			if x.ends.After(now) {
				unfinished = append(unfinished, x)
				continue
			}
			p.Done(x.ends, x.server, Succeeded, x.took, Report{})
		}
		running = unfinished
		object := fmt.Sprint(r.IntN(24))
		c := p.Choose(now, v, Request{Service: "loans", Object: object})
		work := 640 * time.Millisecond
		if warm[c.Server.ID+object] {
			work = work * 3 / 10
		}
		warm[c.Server.ID+object] = true
		// The request runs in the slot that becomes free first.
		ends := busy[c.Server.ID]
		for len(ends) < slots {
			ends = append(ends, now)
		}
		first := 0
		for i := range ends {
			if ends[i].Before(ends[first]) {
				first = i
			}
		}
		begins := now
		if ends[first].After(now) {
			begins = ends[first]
		}
		ends[first] = begins.Add(work)
		busy[c.Server.ID] = ends
		running = append(running, run{ends[first], c.Server.ID, ends[first].Sub(now)})
		w := windows[int(now.Sub(start)/(2*time.Second))]
		w[0]++
		if c.Server.Region != "north" {
			w[1]++
		}
		windows[int(now.Sub(start)/(2*time.Second))] = w
	}
	largest := 0.0
	for i := 1; i < len(windows); i++ {
		a, b := windows[i-1], windows[i]
		if a[0] == 0 || b[0] == 0 {
			continue
		}
		change := float64(b[1])/float64(b[0]) - float64(a[1])/float64(a[0])
		// Random variation alone changes the share of about sixty requests by this much.
		const chance = 0.14
		largest = max(largest, max(change, -change)-chance)
	}
	return largest
}

func TestSpilloverFollowsDemand(t *testing.T) {
	var s spillover
	s.start(start, 6, 18, 1.0/3)
	if s.share != 0 {
		t.Errorf("initial share = %.2f, want 0 for a region with an equal part of the slots", s.share)
	}
	now := start
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		s.update(now, 1.4*(1-s.share))
	}
	if s.share < 0.4 || s.share > 0.6 {
		t.Errorf("share = %.2f at a demand of twice the target, want 0.4 to 0.6", s.share)
	}
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		s.update(now, 0.3*(1-s.share))
	}
	if s.share > 0.01 {
		t.Errorf("share = %.2f at a demand below the target, want at most 0.01", s.share)
	}
}

// At a start of all regions at once, every request is a miss and all servers are busy.
// A region with a third of the callers and a tenth of the servers must not queue them
// on its own: each server of the fleet gets about the same number of requests.
func TestStartUsesTheWholeFleet(t *testing.T) {
	counts := map[string]int{"north": 3, "south": 13, "east": 14}
	v := view(servers(counts, nil))
	got := make(map[string]float64)
	for region := range counts {
		p := New(Location{Region: region}, func(*fleet.Server) (float64, float64) { return 100, 100 })
		for i := range 600 {
			// Requests run until the end of the replay.
			c := p.Choose(at(time.Duration(i)*time.Millisecond), v, Request{Service: "loans", Object: region + fmt.Sprint(i)})
			got[c.Server.Region]++
		}
	}
	for region, n := range counts {
		if mean := got[region] / float64(n); mean < 0.6*1800/30 || mean > 1.4*1800/30 {
			t.Errorf("servers of %s got %.0f requests each, want about %d", region, mean, 1800/30)
		}
	}
}

// A region with few servers and few callers keeps its requests.
func TestStartWithFewCallers(t *testing.T) {
	var s spillover
	s.start(start, 6, 60, 0.1)
	if s.share > 0.01 {
		t.Errorf("initial share = %.2f for a tenth of the slots and of the callers, want 0", s.share)
	}
}

// The share changes at a bounded rate, also after the host was paused.
func TestSpilloverRate(t *testing.T) {
	var s spillover
	s.start(start, 6, 18, 1.0/3)
	before := s.share
	s.update(at(20*time.Second), 9)
	if got := s.share - before; got > maxShareRate {
		t.Errorf("share grew by %.3f in one update, want at most %.3f", got, maxShareRate)
	}
}

func TestReroutesAreBounded(t *testing.T) {
	var w window
	now := start
	rerouted := 0
	for i := range 2000 {
		now = at(time.Duration(i) * 10 * time.Millisecond)
		ok := w.allow(now)
		w.add(now, ok)
		if ok {
			rerouted++
		}
	}
	if limit := int(maxReroutedShare*2000) + 1; rerouted > limit {
		t.Errorf("%d of 2000 requests were rerouted, want at most %d", rerouted, limit)
	}
}
