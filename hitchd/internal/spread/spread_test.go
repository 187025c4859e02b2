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

// The users' targets.
const (
	inForceLimit = 2 * time.Second
	// frozenLimit counts from the release of a frozen host.
	frozenLimit = 5 * time.Second
	todaysHosts = 20
)

func TestInForceEverywhere(t *testing.T) {
	onVirtualTime(t, todaysHosts, func(c *cluster) {
		for i := range todaysHosts {
			c.within(inForceLimit, c.nodes[i].commit("ann"))
		}
	})
}

func TestFrozenHostCatchesUp(t *testing.T) {
	onVirtualTime(t, todaysHosts, func(c *cluster) {
		for i, n := range c.nodes {
			n.freeze()
			var last uint64
			for j := range 3 {
				last = c.nodes[(i+j+1)%todaysHosts].commit("ann")
			}
			time.Sleep(15 * time.Second)
			if got, _ := n.spread.Current(time.Now()); got {
				t.Errorf("host %s: got current when woken, want not known", n.self.Name)
			}
			n.unfreeze()
			c.within(frozenLimit, last)
		}
	})
}

func TestStoreDownRightAfterCommit(t *testing.T) {
	onVirtualTime(t, todaysHosts, func(c *cluster) {
		r := c.nodes[7].commit("ann")
		c.store.SetFault(mem.Fault{Down: true})
		c.within(inForceLimit, r)
		time.Sleep(time.Minute)
		for _, n := range c.nodes {
			st := n.spread.State(time.Now())
			if st.Current || !st.StoreDown || !st.Servable {
				t.Errorf("host %s: got %+v, want the store known down and callers served", n.self.Name, st)
			}
		}
		c.store.SetFault(mem.Fault{})
		time.Sleep(frozenLimit)
		for _, n := range c.nodes {
			if got, _ := n.spread.Current(time.Now()); !got {
				t.Errorf("host %s: got not current with the store up, want current", n.self.Name)
			}
		}
	})
}

func TestCommitterDiesRightAfterCommit(t *testing.T) {
	onVirtualTime(t, todaysHosts, func(c *cluster) {
		n := c.nodes[3]
		c.mu.Lock()
		c.cut = func(a, b member.Host) bool { return a == n.self || b == n.self }
		c.mu.Unlock()
		r := n.commit("ann")
		n.stop()
		c.within(inForceLimit, r)
	})
}

func TestLostAnswerIsSettled(t *testing.T) {
	onVirtualTime(t, todaysHosts, func(c *cluster) {
		c.store.SetFault(mem.Fault{LoseCommits: 1})
		if got, want := c.nodes[5].commit("ann"), uint64(2); got != want {
			t.Errorf("got revision %d, want %d", got, want)
		}
		c.within(inForceLimit, 2)
	})
}

func TestLostAnswerIsSettledAfterFurtherRevisions(t *testing.T) {
	onVirtualTime(t, todaysHosts, func(c *cluster) {
		c.store.SetFault(mem.Fault{LoseCommits: 1})
		var g sync.WaitGroup
		g.Go(func() {
			if got := c.nodes[5].commit("ann"); got != 2 {
				t.Errorf("got revision %d, want 2", got)
			}
		})
		time.Sleep(settleDelay / 2)
		b := c.nodes[6]
		if err := b.spread.Pull(context.Background()); err != nil {
			t.Fatal(err)
		}
		if got := b.commit("bob"); got != 3 {
			t.Errorf("got revision %d, want 3", got)
		}
		g.Wait()
		c.within(inForceLimit, 3)
	})
}

func TestRepeatedWriteIsAcceptedOnce(t *testing.T) {
	onVirtualTime(t, todaysHosts, func(c *cluster) {
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
	onVirtualTime(t, todaysHosts, func(c *cluster) {
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
	onVirtualTime(t, todaysHosts, func(c *cluster) {
		old := c.store.Copy()
		var last uint64
		for i := range 5 {
			last = c.nodes[i].commit("ann")
			c.within(inForceLimit, last)
		}
		c.store.Restore(old)
		if got := c.nodes[8].commit("bob"); got != last+1 {
			t.Errorf("got revision %d after the restore, want %d", got, last+1)
		}
		c.within(inForceLimit, last+1)
		c.store.Restore(old)
		time.Sleep(inForceLimit)
		h, _, err := c.nodes[0].spread.head(context.Background())
		if err != nil || h.Mark != c.nodes[0].spread.held().End() {
			t.Errorf("got head %v and %v, want the hosts' revision back in the table", h, err)
		}
	})
}

func TestForkedStoreIsRefused(t *testing.T) {
	onVirtualTime(t, todaysHosts, func(c *cluster) {
		old := c.store.Copy()
		r := c.nodes[1].commit("ann")
		c.within(inForceLimit, r)
		// Only a host without memory that hears no other one can commit on
		// top of the old copy.
		n := c.nodes[2]
		n.stop()
		c.mu.Lock()
		c.cut = func(a, b member.Host) bool { return a == n.self || b == n.self }
		for _, o := range c.nodes {
			o.noStore = o != n
		}
		c.mu.Unlock()
		c.store.Restore(old)
		n.start()
		time.Sleep(5 * time.Second)
		n.commit("mallory")
		n.commit("mallory")
		c.mu.Lock()
		c.cut = nil
		for _, o := range c.nodes {
			o.noStore = false
		}
		c.mu.Unlock()
		time.Sleep(frozenLimit)
		o := c.nodes[0]
		if st := o.spread.State(time.Now()); st.Mark.Revision != r || st.Fork == "" {
			t.Errorf("got %+v, want revision %d held and the fork told", st, r)
		}
		if _, err := o.tryCommit("ann"); !errors.Is(err, config.ErrFork) {
			t.Errorf("got %v, want %v", err, config.ErrFork)
		}
		// The operator decides for the history that the hosts hold.
		e, err := o.spread.Override(context.Background(), "ann", "restored by mistake")
		if err != nil || e.Change.Revision != 4 {
			t.Fatalf("got revision %d and %v, want 4 above both histories", e.Change.Revision, err)
		}
		n.stop()
		n.start()
		c.within(frozenLimit, 4)
		if got, want := n.spread.held().End(), o.spread.held().End(); got != want {
			t.Errorf("got %v on the restarted host, want %v", got, want)
		}
		if _, err := o.spread.Override(context.Background(), "ann", "again"); !errors.Is(err, ErrNoFork) {
			t.Errorf("got %v, want %v", err, ErrNoFork)
		}
		c.within(inForceLimit, c.nodes[5].commit("bob"))
	})
}

func TestTableThatLostTooMuchIsOverwritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2)
		defer c.stop()
		n := c.nodes[0]
		time.Sleep(time.Second)
		n.commit("ann")
		old := c.store.Copy()
		for range config.MaxLogEntries + 2 {
			n.commit("ann")
		}
		c.within(inForceLimit, n.revision())
		c.store.Restore(old)
		if _, err := n.tryCommit("bob"); !errors.Is(err, ErrLost) {
			t.Errorf("got %v, want %v", err, ErrLost)
		}
		want, err := n.spread.Override(context.Background(), "ann", "restored by mistake")
		if err != nil {
			t.Fatal(err)
		}
		c.within(inForceLimit, want.Change.Revision)
		for _, o := range c.nodes {
			o.stop()
		}
		n.start()
		c.within(inForceLimit, want.Change.Revision)
		n.commit("bob")
		c.neverBack()
	})
}

func TestNewHostWithTheStoreDown(t *testing.T) {
	onVirtualTime(t, todaysHosts, func(c *cluster) {
		r := c.nodes[1].commit("ann")
		c.within(inForceLimit, r)
		c.store.SetFault(mem.Fault{Down: true})
		n := c.nodes[2]
		n.stop()
		n.start()
		c.within(inForceLimit, r)
		if st := n.spread.State(time.Now()); !st.Servable || st.Mark != c.nodes[1].spread.held().End() {
			t.Errorf("got %+v, want the peers' revision served", st)
		}
	})
}

func TestNewHostAloneWithTheTableDown(t *testing.T) {
	for _, tt := range []struct {
		name    string
		objects bool
		damaged bool
		want    uint64
	}{{"snapshot", true, false, 1}, {"one damaged", true, true, 1}, {"no objects", false, false, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			onVirtualTime(t, 1, func(c *cluster) {
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
				if st.Mark.Revision != tt.want || st.Current || st.Servable != (tt.want > 0) {
					t.Errorf("got %+v, want revision %d and not current", st, tt.want)
				}
			})
		})
	}
}

func TestRegionCutAndRejoined(t *testing.T) {
	onVirtualTime(t, todaysHosts, func(c *cluster) {
		c.mu.Lock()
		c.cut = func(a, b member.Host) bool { return (a.Region == "r2") != (b.Region == "r2") }
		for _, n := range c.nodes {
			n.noStore = n.self.Region == "r2"
		}
		c.mu.Unlock()
		r := c.nodes[0].commit("ann")
		time.Sleep(time.Minute)
		for _, n := range c.nodes {
			st := n.spread.State(time.Now())
			if cut := n.self.Region == "r2"; st.Current == cut || (st.Mark.Revision < r) != cut {
				t.Errorf("host %s: got %+v, want only the cut region behind and told so", n.self.Name, st)
			}
		}
		c.mu.Lock()
		c.cut = nil
		for _, n := range c.nodes {
			n.noStore = false
		}
		c.mu.Unlock()
		c.within(frozenLimit, r)
	})
}

func TestHostThatHearsNobodyLeavesTheLookup(t *testing.T) {
	onVirtualTime(t, todaysHosts, func(c *cluster) {
		n := c.nodes[4]
		c.mu.Lock()
		c.cut = func(a, b member.Host) bool { return a == n.self || b == n.self }
		n.noStore = true
		c.mu.Unlock()
		time.Sleep(DefaultCurrentLimit / 2)
		if !n.spread.Servable(time.Now()) {
			t.Error("got not servable at once, want served until the limit")
		}
		time.Sleep(DefaultCurrentLimit)
		if n.spread.Servable(time.Now()) {
			t.Error("got servable, want left out of look-up answers")
		}
		if !c.nodes[5].spread.Servable(time.Now()) {
			t.Error("got others not servable, want served")
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
			t.Fatalf("got base %d and %v, want old rows dropped", b.Revision, err)
		}
		want := n.spread.view.Config().Mark()
		n.stop()
		n.start()
		time.Sleep(time.Second)
		if got := n.spread.view.Config().Mark(); got != want {
			t.Errorf("got %v after a start with the table, want %v", got, want)
		}
	})
}
