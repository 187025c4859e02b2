package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// maxShift is what users allow a region's share abroad to change by, from one
// window of two seconds to the next.
const maxShift = 0.15

// Replays a cold start in a region whose servers are few: every request takes
// three times as long at first, queues fill, and half of the requests went
// abroad for two seconds before the share was paced.
func TestColdStartKeepsPace(t *testing.T) {
	for seed := range uint64(20) {
		if got := replayShift(seed, 2, 30); got > maxShift {
			t.Errorf("seed %d: share abroad changed by %.2f within two seconds, want at most %.2f", seed, got, maxShift)
		}
	}
}

// replayShift drives a picker with requests that queue at simulated servers,
// and returns the largest change of the share that ran abroad. Windows with
// few requests say nothing and are left out.
func replayShift(seed uint64, atHome int, rate float64) float64 {
	r := rand.New(rand.NewPCG(seed, 7))
	v := view(servers(map[string]int{"north": atHome, "south": 6, "east": 4}, nil))
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
		rest := running[:0]
		for _, x := range running {
			if x.ends.After(now) {
				rest = append(rest, x)
				continue
			}
			p.Done(x.ends, x.server, Answered, x.took, Report{})
		}
		running = rest
		object := fmt.Sprint(r.IntN(24))
		c := p.Choose(now, v, Request{Service: "loans", Object: object})
		work := 640 * time.Millisecond
		if warm[c.Server.ID+object] {
			work = work * 3 / 10
		}
		warm[c.Server.ID+object] = true
		// The request takes the slot that is free first.
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
	most := 0.0
	for i := 1; i < len(windows); i++ {
		a, b := windows[i-1], windows[i]
		if a[0] == 0 || b[0] == 0 {
			continue
		}
		change := float64(b[1])/float64(b[0]) - float64(a[1])/float64(a[0])
		// Chance alone moves the share of some sixty requests by that much.
		const chance = 0.14
		most = max(most, max(change, -change)-chance)
	}
	return most
}

func TestSpillFollowsNeed(t *testing.T) {
	var s spill
	s.start(start, 6, 18, 3)
	if s.share != 0 {
		t.Errorf("first share = %.2f, want 0 where the region has its part of the slots", s.share)
	}
	now := start
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		s.update(now, 1.4*(1-s.share))
	}
	if s.share < 0.4 || s.share > 0.6 {
		t.Errorf("share = %.2f where callers need twice the target, want about 0.5", s.share)
	}
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		s.update(now, 0.3*(1-s.share))
	}
	if s.share > 0.01 {
		t.Errorf("share = %.2f after the need is gone, want 0", s.share)
	}
}

// The share changes at a bounded rate, also after a pause of the host.
func TestSpillRate(t *testing.T) {
	var s spill
	s.start(start, 6, 18, 3)
	before := s.share
	s.update(at(20*time.Second), 9)
	if got := s.share - before; got > spillRate {
		t.Errorf("share grew by %.3f at once, want at most %.3f", got, spillRate)
	}
}

func TestExcursionsAreBounded(t *testing.T) {
	var w window
	now := start
	away := 0
	for i := range 2000 {
		now = at(time.Duration(i) * 10 * time.Millisecond)
		ok := w.allow(now)
		w.add(now, ok)
		if ok {
			away++
		}
	}
	if limit := int(excursionShare*2000) + 1; away > limit {
		t.Errorf("%d excursions of 2000, want at most %d", away, limit)
	}
}
