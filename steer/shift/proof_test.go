package shift

import (
	"testing"
	"time"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// Budgets that the tests examine: the failure cap of region a and the cap of the
// move from a to b.
var (
	failureCapA = BudgetKey{place.Key{Kind: place.Shift, Name: "region/a/p"}, Requests}
	moveCapAB   = BudgetKey{place.MoveKey(moveAB), Requests}
)

// cellNamed returns the budget cell with the name.
func (s *simulation) cellNamed(name string) *budgetCell {
	for k, c := range s.cells {
		if k.Name == name {
			return c
		}
	}
	s.t.Fatalf("no cell %s", name)
	return nil
}

// peakOf returns the most that was spent of the budget in one window.
func (s *simulation) peakOf(a BudgetKey) int64 {
	a.Key = s.cellNamed(a.Key.Name).key
	return s.peak[a]
}

// TestFailureCapHoldsUnderFaults fails a region whose callers send twice the cap,
// with no, one or two further faults. The simulation checks the cap in every window.
func TestFailureCapHoldsUnderFaults(t *testing.T) {
	crash := func(s *simulation) { s.cellNamed("region/a/p").keeper.crashed = true }
	pause := func(s *simulation) { s.cellNamed("region/a/p").keeper.pausedUntil = s.now + 3*leaseDuration }
	partition := func(s *simulation) { s.hostsIn("b")[0].partitioned = true; s.hostsIn("c")[0].partitioned = true }
	stopStore := func(s *simulation) { s.storeDown = true }
	stopLoads := func(s *simulation) { s.noLoads = true }
	restart := func(s *simulation) {
		for _, h := range s.hostsIn("b") {
			h.epoch = h.epoch.Add(-24 * time.Hour)
			for a, m := range s.sizes {
				h.buckets[a] = newBucket(s.clock(h), m)
			}
			h.name += "'"
		}
	}
	for _, c := range []struct {
		name   string
		faults []func(*simulation)
		last   time.Duration
	}{
		{"no other fault", nil, 20 * time.Second},
		{"keeper crashed", []func(*simulation){crash}, 20 * time.Second},
		{"keeper paused past its lease and resumed", []func(*simulation){pause}, 20 * time.Second},
		{"hosts partitioned from their keepers", []func(*simulation){partition}, 20 * time.Second},
		{"store down for 15 minutes", []func(*simulation){stopStore}, 15 * time.Minute},
		{"store down and keeper crashed", []func(*simulation){stopStore, crash}, 60 * time.Second},
		{"loads unknown", []func(*simulation){stopLoads}, 20 * time.Second},
		{"loads unknown and keeper paused", []func(*simulation){stopLoads, pause}, 20 * time.Second},
		{"hosts restarted with stepped clocks, keeper crashed", []func(*simulation){restart, crash}, 20 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t, 4, 3)
			s.callRate = map[string]int{"a": 200, "b": 10, "c": 10}
			s.run(8 * time.Second)
			s.failedRegions["a"] = true
			s.run(10 * time.Second)
			for _, f := range c.faults {
				f(s)
			}
			s.run(c.last)
			if s.served[CauseFailure] == 0 {
				t.Error("got no request of the failed region served, want some")
			}
			// Requests that exceed the cap are refused before they run, not served elsewhere.
			if s.refused[result.ReasonShiftCap] == 0 {
				t.Error("got no request refused by the cap, want some")
			}
			t.Logf("peak %d of %d, served %v, refused %v", s.peakOf(failureCapA), 100, s.served, s.refused)
		})
	}
}

// TestRegionOutage fails regions, the connection between regions or the store. A
// region that isn't affected must continue to serve its own callers.
func TestRegionOutage(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(*simulation)
	}{
		{"region a fails, and b and c don't reach each other", func(s *simulation) {
			s.failedRegions["a"] = true
			s.partitions[[2]string{"b", "c"}], s.partitions[[2]string{"c", "b"}] = true, true
		}},
		{"regions a and b don't reach each other", func(s *simulation) {
			s.partitions[[2]string{"a", "b"}], s.partitions[[2]string{"b", "a"}] = true, true
		}},
		{"region a and the store fail", func(s *simulation) { s.failedRegions["a"], s.storeDown = true, true }},
		{"two regions fail", func(s *simulation) { s.failedRegions["a"], s.failedRegions["b"] = true, true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t, 5, 3)
			s.callRate["a"] = 200
			s.run(8 * time.Second)
			c.fault(s)
			before := s.ran["c"]
			s.run(30 * time.Second)
			if got := s.ran["c"] - before; got < 30*s.callRate["c"]/2 {
				t.Errorf("got %d requests run in the healthy region in 30 s, want at least half of its own callers' requests", got)
			}
			t.Logf("served %v, refused %v, peak %d", s.served, s.refused, s.peakOf(failureCapA))
		})
	}
}

// TestOverflowExceedsNoCapacity sends one region three times the requests that its
// servers can run, so that it overflows to regions that are nearly full.
func TestOverflowExceedsNoCapacity(t *testing.T) {
	s := newSimulation(t, 6, 2)
	s.callRate = map[string]int{"a": 1800, "b": 550, "c": 550}
	for range 100 {
		s.run(100 * time.Millisecond)
		for r, n := range s.busy {
			if n > s.slots[r] {
				t.Fatalf("got %d requests running in %s, want at most %d", n, r, s.slots[r])
			}
		}
	}
	if s.served[CauseOverflow] == 0 || s.refused[result.ReasonShiftCap] == 0 {
		t.Errorf("got %v served, %v refused, want overflow up to its cap", s.served, s.refused)
	}
}

func TestRegionDrainKeepsItsCap(t *testing.T) {
	drain := withDrain(config.TargetRegion, "a")
	for _, c := range []struct {
		name  string
		calls int
		// stays is whether some requests must still run at home after the last step.
		stays bool
	}{{"all traffic fits under the cap", 20, false}, {"half of the traffic exceeds the cap", 100, true}} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t, 7, 2)
			s.callRate["a"] = c.calls
			s.run(8 * time.Second)
			// A revision takes up to 2 s to come into force on all hosts; the simulation
			// applies it at once.
			s.configure(configOf(t, withFloors(6), drain))
			s.run(20 * time.Second)
			ran, home := s.ran["a"], s.served[CauseHome]
			s.run(20 * time.Second)
			if got := s.ran["a"] - ran; (got > 20*c.calls/20) != c.stays {
				t.Errorf("got %d requests run in the draining home region in the last 20 s, want more than a twentieth: %v", got, c.stays)
			}
			if len(s.refused) > 0 || s.served[CauseHome] == home {
				t.Errorf("got %v refused, want none, as the home region serves what exceeds the cap", s.refused)
			}
			t.Logf("served %v", s.served)
		})
	}
}

func TestMoveStepsBackFromAnOverloadedRegionOnAllHosts(t *testing.T) {
	s := newSimulation(t, 8, 3, withMove(moveAB))
	s.run(15 * time.Second)
	if got, want := s.shareRange(), 0.5; got[0] != want || got[1] != want {
		t.Fatalf("got shares from %g to %g, want %g on all hosts", got[0], got[1], want)
	}
	s.queueDelay["b"] = time.Second
	s.run(3 * time.Second)
	if got := s.shareRange(); got[1] > 0.3 {
		t.Errorf("got shares up to %g after 3 s of overload, want at most 0.3 on all hosts", got[1])
	}
	s.run(10 * time.Second)
	if got := s.shareRange(); got[1] > 0 {
		t.Errorf("got shares up to %g after 13 s of overload, want 0", got[1])
	}
	s.queueDelay["b"] = 0
	s.cellNamed(moveCapAB.Key.Name).keeper.crashed = true
	s.run(60 * time.Second)
	if got := s.shareRange(); got[0] < 0.49 {
		t.Errorf("got shares from %g after the overload and a new keeper, want 0.5", got[0])
	}
}

// TestNewKeeperKeepsTheShareOfAMove crashes the keeper when the move has reached its
// goal. The new keeper has no record of the share and must adopt it from the hosts.
func TestNewKeeperKeepsTheShareOfAMove(t *testing.T) {
	s := newSimulation(t, 9, 3, withMove(moveAB))
	s.run(15 * time.Second)
	s.cellNamed(moveCapAB.Key.Name).keeper.crashed = true
	for range 100 {
		s.run(100 * time.Millisecond)
		if got := s.shareRange(); got[0] < 0.5 {
			t.Fatalf("%v: got a share of %g on a host, want 0.5 at all times", s.now, got[0])
		}
	}
}

// shareRange returns the least and the greatest share of the move that the hosts of
// region a use.
func (s *simulation) shareRange() [2]float64 {
	out := [2]float64{1, 0}
	for _, h := range s.hostsIn("a") {
		share := h.shares[moveCapAB.Key]
		out = [2]float64{min(out[0], share), max(out[1], share)}
	}
	return out
}

// TestLinkCapHoldsUnderOverload sends four times more responses over the links than
// they carry, while their keepers pause past their leases twice. Responses must wait.
func TestLinkCapHoldsUnderOverload(t *testing.T) {
	s := newSimulation(t, 10, 3, func(r *config.Records) {
		for i := range r.Links {
			r.Links[i].Mbps = 4
		}
	})
	s.callRate = map[string]int{"a": 1800, "b": 10, "c": 10}
	s.run(10 * time.Second)
	for range 2 {
		for _, k := range []string{"ba", "ca"} {
			s.cellNamed(k).keeper.pausedUntil = s.now + 2*leaseDuration
		}
		s.run(10 * time.Second)
	}
	for _, k := range []string{"ba", "ca"} {
		a := BudgetKey{s.cellNamed(k).key, Bytes}
		if got, want := s.peak[a], s.sizes[a].Cap/2; got < want {
			t.Errorf("got a peak of %d bytes over link %s, want %d or more", got, k, want)
		}
	}
}
