package watch

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
)

// snapshot returns a copy of the store's rows with its version.
func (s *store) snapshot() *store {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := newStore()
	c.version = s.version
	for table, rows := range s.rows {
		c.rows[table] = maps.Clone(rows)
	}
	return c
}

// restore brings back the copy and begins a new era without any history.
func (s *store) restore(c *store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c = c.snapshot()
	s.era++
	for _, rows := range c.rows {
		for key, r := range rows {
			r.At.Era = s.era
			if rows[key] = r; r.Removed {
				delete(rows, key)
			}
		}
	}
	s.rows, s.version, s.floor = c.rows, c.version, c.version
}

// The store comes back from a copy whose version is behind the replicas'. A host must
// take what it reads then, and not read the complete tables again and again.
func TestRestoredStoreIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer clock.Replace(time.Now)()
		s := newStore()
		s.set("op", "config", `{"version":4}`)
		s.set("servers", "a", "ready")
		old := s.snapshot()
		for range 20 {
			s.set("servers", "b", "ready")
		}
		s.set("op", "config", `{"version":6}`)
		w := newWatch(s)
		var before, after int
		go func() {
			time.Sleep(2 * time.Second)
			before = s.requests
			s.restore(old)
			time.Sleep(4 * time.Second)
			after = s.requests
			s.set("op", "config", `{"version":9}`)
			s.set("servers", "c", "ready")
		}()
		run(t, w, 7*time.Second)
		if got := w.State().Table.Version; got != 9 {
			t.Errorf("configuration 1 s after it was written to the restored store = %d, want 9", got)
		}
		if !slices.Contains(ids(w), "c") {
			t.Error("server c of the restored store is not known")
		}
		// Beside the usual reads of 4 s, each table is read completely once.
		if got, limit := after-before, 4+8+4+2*3; got > limit {
			t.Errorf("%d reads in 4 s of a restored store, want %d at most", got, limit)
		}
	})
}

// The restored store's version passes the replica's before the host reads again, so
// that the store can't tell that the host lacks changes.
func TestRestoredStoreThatIsAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer clock.Replace(time.Now)()
		s := newStore()
		s.set("op", "config", `{"version":4}`)
		old := s.snapshot()
		s.set("servers", "a", "ready")
		w := newWatch(s)
		go func() {
			time.Sleep(2 * time.Second)
			s.mu.Lock()
			s.fail = plat.ErrDown
			s.mu.Unlock()
			time.Sleep(2 * time.Second)
			s.restore(old)
			s.set("op", "config", `{"version":9}`)
			s.set("servers", "b", "ready")
			s.mu.Lock()
			s.fail, s.floor = nil, 0
			s.mu.Unlock()
		}()
		run(t, w, 8*time.Second)
		if got := w.State().Table.Version; got != 9 {
			t.Errorf("configuration = %d, want 9, written to the restored store before the first read", got)
		}
	})
}

// A host that reads the restored store and one that is cut off from it know different
// histories. The one that is cut off must learn the changes from the other.
func TestHostsOfDifferentHistories(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer clock.Replace(time.Now)()
		s := newStore()
		s.set("op", "config", `{"version":4}`)
		s.set("servers", "a", "ready")
		old := s.snapshot()
		for range 20 {
			s.set("servers", "a", "ready")
		}
		reader, cut := newWatch(s), newWatch(newStore())
		go func() {
			time.Sleep(time.Second)
			cut.Adopt(clock.Now(), reader.Since(cut.Positions()))
			s.restore(old)
			time.Sleep(2 * time.Second)
			s.set("op", "config", `{"version":9}`)
			s.set("servers", "b", "ready")
		}()
		run(t, reader, 5*time.Second)
		cut.Adopt(clock.Now(), reader.Since(cut.Positions()))
		if got := cut.State().Table.Version; got != 9 || !slices.Contains(ids(cut), "b") {
			t.Errorf("the host that is cut off has configuration %d and servers %v, want 9 and b among them", got, ids(cut))
		}
	})
}
