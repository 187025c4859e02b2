package shift

import (
	"testing"
	"time"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// Names of the cells that the proofs look at.
var (
	fromA = Account{place.Key{Kind: place.Shift, Name: "region/a/p"}, Requests}
	moved = Account{place.MoveKey(moveAB), Requests}
)

// keeperOf returns the seat of a shift's cell by its name.
func (w *world) keeperOf(name string) *seat {
	for k, s := range w.seats {
		if k.Name == name {
			return s
		}
	}
	w.t.Fatalf("no cell %s", name)
	return nil
}

func (w *world) peakOf(a Account) int64 {
	a.Key = w.keeperOf(a.Key.Name).key
	return w.peak[a]
}

// TestCapOfALostRegionHolds loses a region whose callers ask for twice
// the cap, under each fault and two at once. Each world checks every window.
func TestCapOfALostRegionHolds(t *testing.T) {
	kill := func(w *world) { w.keeperOf("region/a/p").holder.dead = true }
	freeze := func(w *world) { w.keeperOf("region/a/p").holder.frozenTil = w.now + 3*leaseTime }
	cut := func(w *world) { w.hostsIn("b")[0].cut = true; w.hostsIn("c")[0].cut = true }
	down := func(w *world) { w.storeDown = true }
	blind := func(w *world) { w.blind = true }
	restart := func(w *world) {
		for _, h := range w.hostsIn("b") {
			h.epoch = h.epoch.Add(-24 * time.Hour)
			for a, m := range w.amounts {
				h.buckets[a] = newBucketAt(w.clock(h), m)
			}
			h.name += "'"
		}
	}
	for _, c := range []struct {
		name   string
		faults []func(*world)
		last   time.Duration
	}{
		{"no other fault", nil, 20 * time.Second},
		{"keeper killed", []func(*world){kill}, 20 * time.Second},
		{"keeper frozen past its lease and woken", []func(*world){freeze}, 20 * time.Second},
		{"hosts cut from their keepers", []func(*world){cut}, 20 * time.Second},
		{"store down for 15 minutes", []func(*world){down}, 15 * time.Minute},
		{"store down and keeper killed", []func(*world){down, kill}, 60 * time.Second},
		{"measurements stopped", []func(*world){blind}, 20 * time.Second},
		{"measurements stopped and keeper frozen", []func(*world){blind, freeze}, 20 * time.Second},
		{"hosts restarted with stepped clocks, keeper killed", []func(*world){restart, kill}, 20 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 4, 3)
			w.calls = map[string]int{"a": 200, "b": 10, "c": 10}
			w.run(8 * time.Second)
			w.lost["a"] = true
			w.run(10 * time.Second)
			for _, f := range c.faults {
				f(w)
			}
			w.run(c.last)
			if w.served[CauseFailure] == 0 {
				t.Error("got none of the lost region's requests served, want some")
			}
			// What is over the cap is refused unrun, never served elsewhere.
			if w.refuse[result.ReasonShiftCap] == 0 {
				t.Error("got no refusal by the cap, want some")
			}
			t.Logf("peak %d of %d, served %v, refused %v", w.peakOf(fromA), 100, w.served, w.refuse)
		})
	}
}

// TestOutageRegions loses regions and the store's region with them.
func TestOutageRegions(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(*world)
	}{
		{"region a is lost, and b and c don't reach each other", func(w *world) {
			w.lost["a"] = true
			w.apart[[2]string{"b", "c"}], w.apart[[2]string{"c", "b"}] = true, true
		}},
		{"regions a and b don't reach each other", func(w *world) {
			w.apart[[2]string{"a", "b"}], w.apart[[2]string{"b", "a"}] = true, true
		}},
		{"region a is lost with the store", func(w *world) { w.lost["a"], w.storeDown = true, true }},
		{"two regions are lost", func(w *world) { w.lost["a"], w.lost["b"] = true, true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 5, 3)
			w.calls["a"] = 200
			w.run(8 * time.Second)
			c.fault(w)
			before := w.ran["c"]
			w.run(30 * time.Second)
			if got := w.ran["c"] - before; got < 30*w.calls["c"]/2 {
				t.Errorf("got %d requests run in the whole region in 30 s, want its own callers' at least", got)
			}
			t.Logf("served %v, refused %v, peak %d", w.served, w.refuse, w.peakOf(fromA))
		})
	}
}

// TestShiftsFillNoRegion gives one region three times the calls that its
// servers can run, so that it overflows to regions that are nearly full.
func TestShiftsFillNoRegion(t *testing.T) {
	w := newWorld(t, 6, 2)
	w.calls = map[string]int{"a": 1800, "b": 550, "c": 550}
	for range 100 {
		w.run(100 * time.Millisecond)
		for r, n := range w.busy {
			if n > w.slots[r] {
				t.Fatalf("got %d running in %s, want at most %d", n, r, w.slots[r])
			}
		}
	}
	if w.served[CauseOverflow] == 0 || w.refuse[result.ReasonShiftCap] == 0 {
		t.Errorf("got %v served, %v refused, want overflow up to its cap", w.served, w.refuse)
	}
}

func TestDrainOfARegionLeavesUnderItsCap(t *testing.T) {
	drain := withDrain(config.TargetRegion, "a")
	for _, c := range []struct {
		name  string
		calls int
		// stays is whether some requests must still run at home in the end.
		stays bool
	}{{"all fits under the cap", 20, false}, {"half is over the cap", 100, true}} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 7, 2)
			w.calls["a"] = c.calls
			w.run(8 * time.Second)
			// The revision takes up to 2 s to come into force everywhere; here at once.
			w.configure(configOf(t, withFloors(6), drain))
			w.run(20 * time.Second)
			ran, home := w.ran["a"], w.served[CauseHome]
			w.run(20 * time.Second)
			if got := w.ran["a"] - ran; (got > 20*c.calls/20) != c.stays {
				t.Errorf("got %d run at the draining home in the last 20 s, want more than a twentieth: %v", got, c.stays)
			}
			if len(w.refuse) > 0 || w.served[CauseHome] == home {
				t.Errorf("got %v refused, want none, as home serves what is over the cap", w.refuse)
			}
			t.Logf("served %v", w.served)
		})
	}
}

func TestMoveStepsBackFromAStrainedRegionOnAllHosts(t *testing.T) {
	w := newWorld(t, 8, 3, withMove(moveAB))
	w.run(15 * time.Second)
	if got, want := w.shares(), 0.5; got[0] != want || got[1] != want {
		t.Fatalf("got shares from %g to %g, want %g on all hosts", got[0], got[1], want)
	}
	w.slow["b"] = time.Second
	w.run(3 * time.Second)
	if got := w.shares(); got[1] > 0.3 {
		t.Errorf("got shares up to %g after 3 s of strain, want at most 0.3 on all hosts", got[1])
	}
	w.run(10 * time.Second)
	if got := w.shares(); got[1] > 0 {
		t.Errorf("got shares up to %g after 13 s of strain, want 0", got[1])
	}
	w.slow["b"] = 0
	w.keeperOf(moved.Key.Name).holder.dead = true
	w.run(60 * time.Second)
	if got := w.shares(); got[0] < 0.49 {
		t.Errorf("got shares from %g after the strain and a new keeper, want 0.5", got[0])
	}
}

// TestNewKeeperGoesOnWithTheMove kills the keeper when the move is done.
func TestNewKeeperGoesOnWithTheMove(t *testing.T) {
	w := newWorld(t, 9, 3, withMove(moveAB))
	w.run(15 * time.Second)
	w.keeperOf(moved.Key.Name).holder.dead = true
	for range 100 {
		w.run(100 * time.Millisecond)
		if got := w.shares(); got[0] < 0.5 {
			t.Fatalf("%v: got a host back at %g, want 0.5 all the time", w.now, got[0])
		}
	}
}

// shares returns the least and the greatest share that hosts of region a know of.
func (w *world) shares() [2]float64 {
	out := [2]float64{1, 0}
	for _, h := range w.hostsIn("a") {
		s := h.moved[moved.Key]
		out = [2]float64{min(out[0], s), max(out[1], s)}
	}
	return out
}

// TestThinLinksHold sends four times more answers over the links than they
// carry, while keepers die one after another. Answers wait.
func TestThinLinksHold(t *testing.T) {
	w := newWorld(t, 10, 3, func(r *config.Records) {
		for i := range r.Links {
			r.Links[i].Mbps = 4
		}
	})
	w.calls = map[string]int{"a": 1800, "b": 10, "c": 10}
	w.run(10 * time.Second)
	for range 2 {
		for _, k := range []string{"ba", "ca"} {
			w.keeperOf(k).holder.frozenTil = w.now + 2*leaseTime
		}
		w.run(10 * time.Second)
	}
	for _, k := range []string{"ba", "ca"} {
		a := Account{w.keeperOf(k).key, Bytes}
		if got, want := w.peak[a], w.amounts[a].Cap/2; got < want {
			t.Errorf("got a peak of %d bytes over link %s, want a loaded link of %d or more", got, k, want)
		}
	}
}
