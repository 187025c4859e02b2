package hosts

import (
	"testing"
	"time"

	"magnoliahitch/links/mem"
	"magnoliahitch/steer/place"
)

// Times within which cells must have a keeper after a start and after a takeover, and the
// length of an outage of the store.
const (
	startTarget    = 20 * time.Second
	takeoverTarget = 10 * time.Second
	outage         = 15 * time.Minute
)

// simulateSettled runs f in a region whose hosts hold all cells for some time already.
func simulateSettled(t *testing.T, perRegion int, f func(s *simulation)) {
	t.Helper()
	simulate(t, 1, perRegion, 4, func(s *simulation) {
		s.waitFor(startTarget, "holders", s.allHeld)
		s.advance(20 * time.Second)
		f(s)
	})
}

// keeper returns the first cell and the host that holds it.
func (s *simulation) keeper() (*simulatedHost, place.Key) {
	k := s.keys[0]
	return s.holders(k)[0], k
}

// TestHostsReadOtherRegionsSoon stops the store just after the first assignments. Each host
// must have read the assignments of all regions by then, or it can't route to them.
func TestHostsReadOtherRegionsSoon(t *testing.T) {
	simulate(t, 3, 2, 2, func(s *simulation) {
		s.waitFor(startTarget, "holders", s.allHeld)
		s.advance(2 * time.Second)
		s.store.SetFault(mem.Fault{Down: true})
		s.advance(30 * time.Second)
		for _, p := range s.list() {
			for _, k := range s.keys {
				if _, ok := p.Keeper(p.clock(), k); !ok {
					t.Errorf("%s: got no keeper of %s, want one", p.name, k)
				}
			}
		}
	})
}

func TestCrashedKeeperIsReplaced(t *testing.T) {
	simulateSettled(t, 6, func(s *simulation) {
		p, _ := s.keeper()
		p.crash()
		t.Logf("replaced after %v", s.waitFor(takeoverTarget, "new keeper", s.allHeld))
	})
}

func TestPausedKeeperIsFencedWhenItResumes(t *testing.T) {
	simulateSettled(t, 6, func(s *simulation) {
		p, k := s.keeper()
		p.setPaused(true)
		s.waitFor(takeoverTarget, "new keeper", func() bool { return s.allHeld() && s.holders(k)[0] != p })
		p.setPaused(false)
		if got := p.Holds(p.clock(), k); got {
			t.Error("got a resumed keeper that holds its cell, want it fenced")
		}
		s.advance(time.Minute)
		s.waitFor(takeoverTarget, "holders after the pause", s.allHeld)
	})
}

func TestHostPartitionedFromTheTableOnlyKeepsItsCells(t *testing.T) {
	simulateSettled(t, 6, func(s *simulation) {
		p, k := s.keeper()
		p.partition(true, false)
		for range 60 {
			s.advance(time.Second)
			if got := p.Holds(p.clock(), k); !got {
				t.Fatal("got a keeper without its cell, want its lease extended by pledges")
			}
		}
		p.partition(false, false)
		s.advance(time.Minute)
		s.waitFor(takeoverTarget, "holders", s.allHeld)
	})
}

func TestHostPartitionedFromPeersOnlyKeepsItsCells(t *testing.T) {
	simulateSettled(t, 6, func(s *simulation) {
		p, k := s.keeper()
		p.partition(false, true)
		for range 60 {
			s.advance(time.Second)
			if got := p.Holds(p.clock(), k); !got {
				t.Fatal("got a keeper without its cell, want its lease renewed in the table")
			}
		}
	})
}

func TestHostPartitionedFromBothIsReplaced(t *testing.T) {
	simulateSettled(t, 6, func(s *simulation) {
		p, k := s.keeper()
		p.partition(true, true)
		s.waitFor(takeoverTarget, "new keeper", func() bool { return s.allHeld() && s.holders(k)[0] != p })
		p.partition(false, false)
		s.advance(time.Minute)
		s.waitFor(takeoverTarget, "holders", s.allHeld)
	})
}

// heldCount returns the number of holders of all cells.
func (s *simulation) heldCount() int {
	n := 0
	for _, k := range s.keys {
		n += len(s.holders(k))
	}
	return n
}

// runOutage checks that every cell has a holder throughout a fault of the store and
// after it.
func runOutage(t *testing.T, f mem.Fault) {
	t.Helper()
	simulateSettled(t, 3, func(s *simulation) {
		s.store.SetFault(f)
		for range int(outage / time.Second) {
			s.advance(time.Second)
			if got, want := s.heldCount(), len(s.keys); got != want {
				t.Fatalf("got %d cells held, want %d", got, want)
			}
		}
		s.store.SetFault(mem.Fault{})
		s.advance(time.Minute)
		if got, want := s.heldCount(), len(s.keys); got != want {
			t.Fatalf("got %d cells held after the outage, want %d", got, want)
		}
	})
}

func TestStoreOutageLosesNoCells(t *testing.T) { runOutage(t, mem.Fault{Down: true}) }

func TestSlowStoreLosesNoCells(t *testing.T) { runOutage(t, mem.Fault{Delay: 2 * time.Second}) }

func TestKeeperCrashesWhileTheStoreIsDown(t *testing.T) {
	simulateSettled(t, 4, func(s *simulation) {
		s.store.SetFault(mem.Fault{Down: true})
		s.advance(time.Minute)
		p, _ := s.keeper()
		p.crash()
		s.waitFor(takeoverTarget, "new keeper", func() bool { return s.heldCount() == len(s.keys) })
		s.advance(5 * time.Minute)
		if got, want := s.heldCount(), len(s.keys); got != want {
			t.Fatalf("got %d cells held, want %d", got, want)
		}
		s.store.SetFault(mem.Fault{})
		s.advance(time.Minute)
		s.waitFor(takeoverTarget, "holders", s.allHeld)
	})
}

func TestSeveralKeepersCrashAtOnce(t *testing.T) {
	simulateSettled(t, 6, func(s *simulation) {
		for _, k := range []place.Key{s.keys[0], s.keys[1], s.keys[2]} {
			for _, p := range s.holders(k) {
				p.crash()
			}
		}
		t.Logf("replaced after %v", s.waitFor(2*takeoverTarget, "new keepers", s.allHeld))
	})
}

func TestHostListDelayedByAMinute(t *testing.T) {
	simulateSettled(t, 6, func(s *simulation) {
		for _, p := range s.hosts[1:] {
			p.setListDelay(time.Minute)
		}
		s.advance(3 * time.Minute)
		p, _ := s.keeper()
		p.crash()
		s.advance(3 * time.Minute)
		for _, p := range s.hosts {
			p.setListDelay(0)
		}
		s.advance(time.Minute)
		s.waitFor(takeoverTarget, "holders", s.allHeld)
	})
}

func TestAllHostsOfARegionRestart(t *testing.T) {
	simulateSettled(t, 4, func(s *simulation) {
		for _, p := range s.hosts {
			p.crash()
		}
		time.Sleep(time.Second)
		for i := range 4 {
			s.start(regionName(0), i)
		}
		t.Logf("cells held again after %v", s.waitFor(startTarget, "holders", s.allHeld))
	})
}

func TestTableLoad(t *testing.T) {
	simulate(t, 3, 7, 4, func(s *simulation) {
		s.waitFor(startTarget, "holders", s.allHeld)
		s.advance(30 * time.Second)
		reads, writes := s.store.Counts()
		start := time.Now()
		sent, size := s.traffic()
		s.advance(time.Minute)
		r, wr := s.store.Counts()
		sentNow, sizeNow := s.traffic()
		seconds := time.Since(start).Seconds()
		for _, p := range s.hosts {
			if got, want := len(p.Revisions()), len(s.hosts); got != want {
				t.Errorf("got revisions of %d hosts at %s, want %d", got, p.name, want)
			}
			for _, k := range s.keys {
				if _, ok := p.Load(p.clock(), place.Cell{Region: k.Region, Service: k.Name}); !ok {
					t.Errorf("got no load of %s at %s, want one", k, p.name)
				}
			}
		}
		t.Logf("%d hosts: %.1f reads/s, %.1f writes/s; each sends %.1f messages/s, %.0f bytes/s", len(s.hosts),
			float64(r-reads)/seconds, float64(wr-writes)/seconds,
			(sentNow-sent)/seconds/float64(len(s.hosts)), (sizeNow-size)/seconds/float64(len(s.hosts)))
		if got, want := float64(wr-writes)/seconds, 20.0; got >= want {
			t.Errorf("got %.1f writes/s, want under %.0f", got, want)
		}
		if got, want := float64(r-reads)/seconds, 100.0; got >= want {
			t.Errorf("got %.1f reads/s, want under %.0f", got, want)
		}
	})
}

func TestKeeperAndSuccessorCrashAtOnce(t *testing.T) {
	simulateSettled(t, 6, func(s *simulation) {
		p, _ := s.keeper()
		row, _ := p.node.Row(p.name)
		for _, q := range s.hosts {
			if q.name == row.Successor.Host {
				q.crash()
			}
		}
		p.crash()
		t.Logf("replaced after %v", s.waitFor(2*takeoverTarget, "new keepers", s.allHeld))
	})
}

func TestKeeperPausedWhileTheStoreIsDown(t *testing.T) {
	simulateSettled(t, 4, func(s *simulation) {
		s.store.SetFault(mem.Fault{Down: true})
		s.advance(time.Minute)
		p, k := s.keeper()
		p.setPaused(true)
		s.waitFor(takeoverTarget, "new keeper", func() bool { return s.heldCount() == len(s.keys) && s.holders(k)[0] != p })
		p.setPaused(false)
		s.advance(time.Minute)
		s.store.SetFault(mem.Fault{})
		s.advance(time.Minute)
		s.waitFor(takeoverTarget, "holders", s.allHeld)
	})
}

func TestHandOverGivesCellsToOtherHosts(t *testing.T) {
	simulateSettled(t, 6, func(s *simulation) {
		p, k := s.keeper()
		p.Leave()
		s.advance(2 * time.Second)
		for _, q := range s.hosts {
			for _, m := range q.Live() {
				if m.Name == p.name {
					t.Errorf("got %s among the live hosts of %s, want it removed", m.Name, q.name)
				}
			}
		}
		if got := p.Holds(p.clock(), k); !got {
			t.Error("got a leaving host without its cell, want the cell kept until the host hands it over")
		}
		if err := p.HandOver(s.ctx); err != nil {
			t.Fatal(err)
		}
		s.waitFor(time.Second, "new keeper", s.allHeld)
		q := s.holders(k)[0]
		if got, want := q.tenant.handover(k), "from "+p.name; got != want {
			t.Errorf("got handover %q, want %q", got, want)
		}
	})
}
