package spread

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"magnoliahitch/links/mem"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
)

// Times that users require, and the size of the simulated cluster.
const (
	inForceLimit = 2 * time.Second
	// catchUpLimit counts from the time at which a paused host resumes or a
	// partition ends.
	catchUpLimit = 5 * time.Second
	defaultHosts = 20
)

func TestInForceEverywhere(t *testing.T) {
	simulate(t, defaultHosts, func(c *cluster) {
		for i := range defaultHosts {
			c.requireInForce(inForceLimit, c.nodes[i].commit("ann"))
		}
	})
}

func TestPausedHostCatchesUp(t *testing.T) {
	simulate(t, defaultHosts, func(c *cluster) {
		for i, n := range c.nodes {
			n.pause()
			var last uint64
			for j := range 3 {
				last = c.nodes[(i+j+1)%defaultHosts].commit("ann")
			}
			time.Sleep(15 * time.Second)
			if got, _ := n.spread.Current(time.Now()); got {
				t.Errorf("host %s: got current while paused, want not current", n.self.Name)
			}
			n.resume()
			c.requireInForce(catchUpLimit, last)
		}
	})
}

func TestStoreDownRightAfterCommit(t *testing.T) {
	simulate(t, defaultHosts, func(c *cluster) {
		r := c.nodes[7].commit("ann")
		c.store.SetFault(mem.Fault{Down: true})
		c.requireInForce(inForceLimit, r)
		time.Sleep(time.Minute)
		for _, n := range c.nodes {
			st := n.spread.State(time.Now())
			if st.Current || !st.StoreDown || !st.Servable {
				t.Errorf("host %s: got %+v, want the store reported down and callers served", n.self.Name, st)
			}
		}
		c.store.SetFault(mem.Fault{})
		time.Sleep(catchUpLimit)
		for _, n := range c.nodes {
			if got, _ := n.spread.Current(time.Now()); !got {
				t.Errorf("host %s: got not current with the store up, want current", n.self.Name)
			}
		}
	})
}

func TestCommitterCrashesRightAfterCommit(t *testing.T) {
	simulate(t, defaultHosts, func(c *cluster) {
		n := c.nodes[3]
		c.mu.Lock()
		c.partitioned = func(a, b member.Host) bool { return a == n.self || b == n.self }
		c.mu.Unlock()
		r := n.commit("ann")
		n.stop()
		c.requireInForce(inForceLimit, r)
	})
}

func TestLostCommitResponseIsResolved(t *testing.T) {
	simulate(t, defaultHosts, func(c *cluster) {
		c.store.SetFault(mem.Fault{LoseCommits: 1})
		if got, want := c.nodes[5].commit("ann"), uint64(2); got != want {
			t.Errorf("got revision %d, want %d", got, want)
		}
		c.requireInForce(inForceLimit, 2)
	})
}

func TestLostCommitResponseIsResolvedAfterFurtherRevisions(t *testing.T) {
	simulate(t, defaultHosts, func(c *cluster) {
		c.store.SetFault(mem.Fault{LoseCommits: 1})
		var g sync.WaitGroup
		g.Go(func() {
			if got := c.nodes[5].commit("ann"); got != 2 {
				t.Errorf("got revision %d, want 2", got)
			}
		})
		time.Sleep(commitRetryDelay / 2)
		b := c.nodes[6]
		if err := b.spread.Pull(context.Background()); err != nil {
			t.Fatal(err)
		}
		if got := b.commit("bob"); got != 3 {
			t.Errorf("got revision %d, want 3", got)
		}
		g.Wait()
		c.requireInForce(inForceLimit, 3)
	})
}

func TestRepeatedWriteIsAcceptedOnce(t *testing.T) {
	simulate(t, defaultHosts, func(c *cluster) {
		ch := c.nodes[4].change("ann")
		ctx := context.Background()
		for _, n := range []*node{c.nodes[4], c.nodes[9]} {
			e, err := n.spread.Commit(ctx, ch)
			if err != nil || e.Change.Revision != 2 {
				t.Errorf("got revision %d and %v, want 2", e.Change.Revision, err)
			}
			c.nodes[11].commit("bob")
		}
	})
}

func TestTwoOperators(t *testing.T) {
	simulate(t, defaultHosts, func(c *cluster) {
		// Every operator reads the head before the first one has written.
		c.store.SetFault(mem.Fault{Delay: 50 * time.Millisecond})
		var mu sync.Mutex
		won := 0
		var g sync.WaitGroup
		for _, n := range c.nodes[:6] {
			g.Go(func() {
				_, err := n.tryCommit("by " + n.self.Name)
				var lost *Conflict
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					won++
				case !errors.As(err, &lost) || lost.Current != 2 || lost.Winner.Author == "":
					t.Errorf("got %v, want a conflict that names the winner", err)
				}
			})
		}
		g.Wait()
		if won != 1 {
			t.Errorf("got %d winners, want 1", won)
		}
	})
}

func TestRestoredStoreIsRepaired(t *testing.T) {
	simulate(t, defaultHosts, func(c *cluster) {
		old := c.store.Snapshot()
		var last uint64
		for i := range 5 {
			last = c.nodes[i].commit("ann")
			c.requireInForce(inForceLimit, last)
		}
		c.store.Restore(old)
		if got := c.nodes[8].commit("bob"); got != last+1 {
			t.Errorf("got revision %d after the restore, want %d", got, last+1)
		}
		c.requireInForce(inForceLimit, last+1)
		c.store.Restore(old)
		time.Sleep(inForceLimit)
		h, _, err := c.nodes[0].spread.head(context.Background())
		if err != nil || h.Position != c.nodes[0].spread.heldChanges().End() {
			t.Errorf("got head %v and %v, want the hosts' revision back in the table", h, err)
		}
	})
}

func TestHostsThatRepairTogetherAcceptChanges(t *testing.T) {
	simulate(t, defaultHosts, func(c *cluster) {
		old := c.store.Snapshot()
		var last uint64
		for i := range 5 {
			last = c.nodes[i].commit("ann")
			c.requireInForce(inForceLimit, last)
		}
		c.store.SetFault(mem.Fault{Delay: 50 * time.Millisecond})
		c.store.Restore(old)
		var g sync.WaitGroup
		for _, n := range c.nodes[:6] {
			g.Go(func() {
				if _, err := n.tryCommit("by " + n.self.Name); err != nil && !errors.Is(err, ErrConflict) {
					t.Errorf("got %v, want the change accepted or a conflict", err)
				}
			})
		}
		g.Wait()
		c.requireInForce(inForceLimit, last+1)
	})
}

func TestForkedStoreIsRefused(t *testing.T) {
	simulate(t, defaultHosts, func(c *cluster) {
		old := c.store.Snapshot()
		r := c.nodes[1].commit("ann")
		c.requireInForce(inForceLimit, r)
		// Only an isolated host that restarted can commit on top of the old
		// copy, because it holds no later changes.
		n := c.nodes[2]
		n.stop()
		c.mu.Lock()
		c.partitioned = func(a, b member.Host) bool { return a == n.self || b == n.self }
		for _, o := range c.nodes {
			o.storeUnreachable = o != n
		}
		c.mu.Unlock()
		c.store.Restore(old)
		n.start()
		time.Sleep(5 * time.Second)
		n.commit("mallory")
		n.commit("mallory")
		c.mu.Lock()
		c.partitioned = nil
		for _, o := range c.nodes {
			o.storeUnreachable = false
		}
		c.mu.Unlock()
		time.Sleep(catchUpLimit)
		o := c.nodes[0]
		if st := o.spread.State(time.Now()); st.Position.Revision != r || st.Fork == "" {
			t.Errorf("got %+v, want revision %d held and the fork reported", st, r)
		}
		if _, err := o.tryCommit("ann"); !errors.Is(err, config.ErrFork) {
			t.Errorf("got %v, want %v", err, config.ErrFork)
		}
		// The operator chooses the history that the hosts hold.
		e, err := o.spread.Override(context.Background(), "ann", "restored by mistake")
		if err != nil || e.Change.Revision != 4 {
			t.Fatalf("got revision %d and %v, want 4 above both histories", e.Change.Revision, err)
		}
		n.stop()
		n.start()
		c.requireInForce(catchUpLimit, 4)
		if got, want := n.spread.heldChanges().End(), o.spread.heldChanges().End(); got != want {
			t.Errorf("got %v on the restarted host, want %v", got, want)
		}
		if _, err := o.spread.Override(context.Background(), "ann", "again"); !errors.Is(err, ErrNoFork) {
			t.Errorf("got %v, want %v", err, ErrNoFork)
		}
		c.requireInForce(inForceLimit, c.nodes[5].commit("bob"))
	})
}

func TestTableThatLostTooMuchIsOverwritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2)
		defer c.stop()
		n := c.nodes[0]
		time.Sleep(time.Second)
		n.commit("ann")
		old := c.store.Snapshot()
		for range config.MaxLogEntries + 2 {
			n.commit("ann")
		}
		c.requireInForce(inForceLimit, n.revision())
		c.store.Restore(old)
		if _, err := n.tryCommit("bob"); !errors.Is(err, ErrLost) {
			t.Errorf("got %v, want %v", err, ErrLost)
		}
		want, err := n.spread.Override(context.Background(), "ann", "restored by mistake")
		if err != nil {
			t.Fatal(err)
		}
		c.requireInForce(inForceLimit, want.Change.Revision)
		for _, o := range c.nodes {
			o.stop()
		}
		n.start()
		c.requireInForce(inForceLimit, want.Change.Revision)
		n.commit("bob")
		c.requireRising()
	})
}

func TestNewHostWithTheStoreDown(t *testing.T) {
	simulate(t, defaultHosts, func(c *cluster) {
		r := c.nodes[1].commit("ann")
		c.requireInForce(inForceLimit, r)
		c.store.SetFault(mem.Fault{Down: true})
		n := c.nodes[2]
		n.stop()
		n.start()
		c.requireInForce(inForceLimit, r)
		if st := n.spread.State(time.Now()); !st.Servable || st.Position != c.nodes[1].spread.heldChanges().End() {
			t.Errorf("got %+v, want the peers' revision served", st)
		}
	})
}

func TestNewIsolatedHostWithTheTableDown(t *testing.T) {
	for _, tt := range []struct {
		name    string
		objects bool
		damaged bool
		want    uint64
	}{{"snapshot", true, false, 1}, {"one damaged", true, true, 1}, {"no objects", false, false, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			simulate(t, 1, func(c *cluster) {
				n := c.nodes[0]
				ctx := context.Background()
				time.Sleep(snapshotAge + 2*snapshotInterval)
				if tt.damaged {
					_ = c.objects.Store(ctx, snapshotKeys[1], []byte(`{"sum":"0","body":{"mark":{"revision":9}}}`))
				}
				n.stop()
				c.store.SetFault(mem.Fault{Down: true})
				c.objects.SetFault(mem.Fault{Down: !tt.objects})
				n.start()
				time.Sleep(time.Second)
				st := n.spread.State(time.Now())
				if st.Position.Revision != tt.want || st.Current || st.Servable != (tt.want > 0) {
					t.Errorf("got %+v, want revision %d and not current", st, tt.want)
				}
			})
		})
	}
}

func TestPartitionedRegionRejoins(t *testing.T) {
	simulate(t, defaultHosts, func(c *cluster) {
		c.mu.Lock()
		c.partitioned = func(a, b member.Host) bool { return (a.Region == "r2") != (b.Region == "r2") }
		for _, n := range c.nodes {
			n.storeUnreachable = n.self.Region == "r2"
		}
		c.mu.Unlock()
		r := c.nodes[0].commit("ann")
		time.Sleep(time.Minute)
		for _, n := range c.nodes {
			st := n.spread.State(time.Now())
			if isolated := n.self.Region == "r2"; st.Current == isolated || (st.Position.Revision < r) != isolated {
				t.Errorf("host %s: got %+v, want only the partitioned region behind and not current", n.self.Name, st)
			}
		}
		c.mu.Lock()
		c.partitioned = nil
		for _, n := range c.nodes {
			n.storeUnreachable = false
		}
		c.mu.Unlock()
		c.requireInForce(catchUpLimit, r)
	})
}

func TestIsolatedHostLeavesTheLookup(t *testing.T) {
	simulate(t, defaultHosts, func(c *cluster) {
		n := c.nodes[4]
		c.mu.Lock()
		c.partitioned = func(a, b member.Host) bool { return a == n.self || b == n.self }
		n.storeUnreachable = true
		c.mu.Unlock()
		time.Sleep(DefaultCurrentLimit / 2)
		if !n.spread.Servable(time.Now()) {
			t.Error("got not servable before the limit, want servable until then")
		}
		time.Sleep(DefaultCurrentLimit)
		if n.spread.Servable(time.Now()) {
			t.Error("got servable after the limit, want left out of look-up responses")
		}
		if !c.nodes[5].spread.Servable(time.Now()) {
			t.Error("got another host not servable, want servable")
		}
	})
}

func TestOldRowsAreDroppedBehindSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1)
		defer c.stop()
		n := c.nodes[0]
		for range keptRows + 3*snapshotChanges {
			n.commit("ann")
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(snapshotAge + 2*snapshotInterval)
		var b base
		if _, err := n.spread.row(context.Background(), baseKey, &b); err != nil || b.Revision == 0 {
			t.Fatalf("got base %d and %v, want old rows deleted", b.Revision, err)
		}
		want := n.spread.view.Config().Position()
		n.stop()
		n.start()
		time.Sleep(time.Second)
		if got := n.spread.view.Config().Position(); got != want {
			t.Errorf("got %v after a restart from snapshot and table, want %v", got, want)
		}
	})
}
