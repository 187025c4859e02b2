package watch

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
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
			before = s.countedRequests()
			s.restore(old)
			time.Sleep(4 * time.Second)
			after = s.countedRequests()
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

func (s *store) countedRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// task is a write of the simulation that is due later.
type task struct {
	due time.Time
	run func()
}

// runDue runs the tasks that are due and returns the others.
func runDue(tasks []task) []task {
	return slices.DeleteFunc(tasks, func(t task) bool {
		if time.Now().Before(t.due) {
			return false
		}
		t.run()
		return true
	})
}

// age returns the time since the server's record was written last.
func (s *store) age(id string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.written[id])
}

func configOf(w *Watch) uint64 {
	if t := w.State().Table; t != nil {
		return t.Version
	}
	return 0
}

// restored returns a watch that has read a store up to lost, and reads it now after it
// was restored from the copy, with the changes of again.
func restored(t *testing.T, before, lost, again func(s *store)) (*Watch, *store, func(d time.Duration)) {
	t.Helper()
	s := newStore()
	before(s)
	old := s.snapshot()
	lost(s)
	w := newWatch(s)
	run(t, w, time.Second)
	s.restore(old)
	again(s)
	return w, s, func(d time.Duration) {
		t.Helper()
		w.SetReading(false)
		run(t, w, d)
	}
}

// The copy has a server that left after it was made, with the record that hosts saw last.
// It must not be used again. A server that is still there when those that don't write
// have expired lives.
func TestServerThatLeftStaysAway(t *testing.T) {
	for _, lives := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			defer clock.Replace(time.Now)()
			w, s, read := restored(t,
				func(s *store) { s.set("servers", "a", "ready"); s.set("servers", "b", "ready") },
				func(*store) {}, func(*store) {})
			read(3 * time.Second)
			s.set("servers", "a", "")
			read(time.Second)
			old := newStore()
			old.set("servers", "a", "ready")
			old.set("servers", "b", "ready")
			s.restore(old)
			for range 9 {
				read(500 * time.Millisecond)
				if got, want := ids(w), []string{"b"}; !slices.Equal(got, want) {
					t.Fatalf("servers after the restore = %v, want %v: a left before", got, want)
				}
			}
			want := []string{"a", "b"}
			if !lives {
				s.set("servers", "a", "")
				want = want[1:]
			}
			read(4 * time.Second)
			if got := ids(w); !slices.Equal(got, want) {
				t.Errorf("servers after the records of dead servers have expired = %v, want %v", got, want)
			}
		})
	}
}

// A server drained after the copy was made. The copy has it as ready.
func TestDrainingServerStaysDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer clock.Replace(time.Now)()
		w, _, read := restored(t,
			func(s *store) { s.set("servers", "a", "ready"); s.set("servers", "b", "ready") },
			func(s *store) { s.set("servers", "a", "draining") }, func(*store) {})
		for range 20 {
			read(500 * time.Millisecond)
			if got, want := ids(w), []string{"b"}; !slices.Equal(got, want) {
				t.Fatalf("servers = %v, want %v: a drains", got, want)
			}
		}
	})
}

// Soon after a host has first read the table, a server drains whose record's content
// doesn't tell that it is newer. The later position does.
func TestDrainSoonAfterTheFirstRead(t *testing.T) {
	w := newWatch(newStore())
	row := func(version int64, value string) []plat.Change {
		return []plat.Change{{Row: plat.Row{Key: "a", At: plat.Position{Era: 1, Version: version}, Value: []byte(value)}}}
	}
	w.applyServers(clock.Now(), row(1, "ready"), true, plat.Position{Era: 1, Version: 5})
	w.applyServers(clock.Now(), row(6, "draining"), false, plat.Position{Era: 1, Version: 6})
	if got := ids(w); len(got) != 0 {
		t.Errorf("servers = %v, want none: a drains", got)
	}
}

// An evacuation began after the copy was made, and another one ended. Neither changes
// with the restore, before the operator writes again what it wants.
func TestEvacuationsOutliveTheRestore(t *testing.T) {
	for _, again := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			defer clock.Replace(time.Now)()
			w, s, read := restored(t,
				func(s *store) { s.set("op", "config", `{"version":4}`); s.set("op", "evacuate/y", "{}") },
				func(s *store) { s.set("op", "evacuate/x", "{}") }, func(*store) {})
			check := func(when string, x, y bool) {
				t.Helper()
				if f := w.State().Fleet; f.Evacuated("x") != x || f.Evacuated("y") != y {
					t.Errorf("%s: x evacuated %v, y evacuated %v, want %v, %v", when, f.Evacuated("x"), f.Evacuated("y"), x, y)
				}
			}
			read(500 * time.Millisecond)
			check("0.5 s after the restore", true, true)
			if again {
				s.set("op", "evacuate/x", "{}")
			}
			s.set("op", "evacuate/y", "")
			read(6 * time.Second)
			check("6 s after the restore", again, false)
			start := w.State().Fleet.Evacuation("x").Start
			if again && start.IsZero() {
				t.Error("the evacuation has no start")
			}
		})
	}
}

// The copy has an older configuration, and what is written again may pass through older
// ones. None of them comes into force, here or at a host that starts now.
func TestConfigurationOutlivesTheRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer clock.Replace(time.Now)()
		w, s, read := restored(t,
			func(s *store) { s.set("op", "config", `{"version":4}`) },
			func(s *store) { s.set("op", "config", `{"version":6}`); s.set("op", "config", `{"version":9}`) },
			func(*store) {})
		for _, again := range []string{"", `{"version":6}`, `{"version":9}`, `{"version":12}`} {
			if again != "" {
				s.set("op", "config", again)
			}
			read(400 * time.Millisecond)
			// The new host has read the copy itself, and then hears of this one.
			fresh := newWatch(s)
			run(t, fresh, 100*time.Millisecond)
			fresh.Adopt(clock.Now(), w.Since(fresh.Positions()))
			want := uint64(9)
			if again == `{"version":12}` {
				want = 12
			}
			if got, other := configOf(w), configOf(fresh); got != want || other != want {
				t.Errorf("after writing %q: configuration %d, at a new host %d, want %d", again, got, other, want)
			}
		}
	})
}

// A response of the old era that is late must not undo the new one.
func TestLateResponseOfAnOlderEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer clock.Replace(time.Now)()
		s := newStore()
		w := newWatch(s)
		era := func(era, version int64) plat.Position { return plat.Position{Era: era, Version: version} }
		row := func(at plat.Position, value string) []plat.Change {
			return []plat.Change{{Row: plat.Row{Key: "a", At: at, Value: []byte(value)}}}
		}
		w.applyServers(clock.Now(), row(era(1, 400), "ready"), true, era(1, 400))
		w.applyServers(clock.Now(), row(era(2, 310), "draining"), true, era(2, 310))
		if w.applyServers(clock.Now(), row(era(1, 405), "ready"), false, era(1, 405)) {
			t.Error("a response of an older era is taken")
		}
		if got := ids(w); len(got) != 0 {
			t.Errorf("servers = %v, want none: a drains", got)
		}
	})
}

// A server left just after the restore. A host that reads the table later keeps its record,
// which may only be missing in the copy; one that had read it before must drop it.
func TestRemovalBetweenTwoFirstReads(t *testing.T) {
	early, late := newWatch(newStore()), newWatch(newStore())
	era := func(era, version int64) plat.Position { return plat.Position{Era: era, Version: version} }
	row := func(at plat.Position) []plat.Change {
		return []plat.Change{{Row: plat.Row{Key: "a", At: at, Value: []byte("ready")}}}
	}
	now := clock.Now()
	late.applyServers(now, row(era(1, 6)), true, era(1, 20))
	late.applyServers(now, nil, true, era(2, 20))
	early.applyServers(now, row(era(2, 6)), true, era(2, 19))
	early.Adopt(now, late.Since(early.Positions()))
	if got := early.servers.rows; len(got) != 0 {
		t.Errorf("rows = %v, want none: a was removed after the table was read", got)
	}
}

// hostOf is a host of the simulation: its watch, and whether it reaches the store.
type hostOf struct {
	*Watch
	cut bool
}

// Hosts read a store that is restored at random, behind, at or ahead of their versions,
// while some are cut off from it or start. Acknowledged configurations are in force
// everywhere in time and never revert, what left stays away, what lives is used.
func TestRestoresAtRandom(t *testing.T) {
	const inTime = 3500 * time.Millisecond
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			defer clock.Replace(time.Now)()
			r := rand.New(rand.NewPCG(seed, 7))
			s := newStore()
			config, id := 1, 0
			living := make(map[string]bool)
			gone := make(map[string]time.Time)
			configure := func() { s.set("op", "config", fmt.Sprintf(`{"version":%d}`, config)) }
			join := func() { id++; living[fmt.Sprint("s", id)] = true; s.set("servers", fmt.Sprint("s", id), "ready") }
			configure()
			for range 6 {
				join()
			}
			var hosts []*hostOf
			ctx, cancel := context.WithCancel(t.Context())
			var g sync.WaitGroup
			defer g.Wait()
			defer cancel()
			start := func() *hostOf {
				h := &hostOf{Watch: newWatch(s)}
				h.SetReading(true)
				g.Go(func() { _ = h.RunOperator(ctx, "op") })
				g.Go(func() { _ = h.RunServers(ctx, "servers") })
				return h
			}
			for range 5 {
				hosts = append(hosts, start())
			}
			copies := []*store{s.snapshot()}
			changed, calm := time.Now(), time.Now()
			inForce := make(map[*hostOf]uint64)
			var tasks []task
			for step := range 400 {
				time.Sleep(100 * time.Millisecond)
				tasks = runDue(tasks)
				if step%10 == 0 {
					copies = append(copies, s.snapshot())
				}
				switch now := time.Now(); r.IntN(25) {
				case 0:
					config += 1 + r.IntN(3)
					changed = now
					configure()
				case 1:
					join()
				case 2:
					if v := slices.Sorted(maps.Keys(living)); len(v) > 0 {
						delete(living, v[0])
						gone[v[0]] = now
						s.set("servers", v[0], "")
					}
				case 3:
					h := hosts[1+r.IntN(len(hosts)-1)]
					h.cut = !h.cut
					h.SetReading(!h.cut)
				case 4:
					if r.IntN(3) > 0 {
						break
					}
					s.restore(copies[max(0, len(copies)-1-r.IntN(8))])
					calm = now.Add(2 * time.Second)
					// Writers write again; dead servers expire. The counter may pass hosts' versions.
					in := func(d time.Duration, run func()) { tasks = append(tasks, task{now.Add(d), run}) }
					in(time.Duration(r.IntN(300))*time.Millisecond, configure)
					for _, v := range slices.Sorted(maps.Keys(living)) {
						in(time.Duration(r.IntN(1500))*time.Millisecond, func() {
							if living[v] {
								s.set("servers", v, "ready")
							}
						})
					}
					for v := range gone {
						in(4500*time.Millisecond, func() { s.set("servers", v, "") })
					}
				case 5:
					hosts[r.IntN(len(hosts))] = start()
				}
				// Each host polls the one before it.
				for i, h := range hosts {
					h.Adopt(time.Now(), hosts[(i+len(hosts)-1)%len(hosts)].Since(h.Positions()))
				}
				now := time.Now()
				for i, h := range hosts {
					got := configOf(h.Watch)
					if got < inForce[h] {
						t.Fatalf("seed %d, step %d: host %d goes back from configuration %d to %d", seed, step, i, inForce[h], got)
					}
					inForce[h] = got
					if now.Sub(changed) > inTime && now.Sub(calm) > inTime && got != 0 && got != uint64(config) {
						t.Fatalf("seed %d, step %d: host %d has configuration %d %v after %d", seed, step, i, got, now.Sub(changed), config)
					}
					used := ids(h.Watch)
					for _, v := range used {
						if at, ok := gone[v]; ok && now.Sub(at) > inTime && now.Sub(calm) > inTime+2*time.Second {
							t.Fatalf("seed %d, step %d: host %d uses %s, which left %v ago", seed, step, i, v, now.Sub(at))
						}
					}
					if len(used) > 0 && now.Sub(calm) > inTime {
						for v := range living {
							if !slices.Contains(used, v) && s.age(v) > inTime {
								t.Fatalf("seed %d, step %d: host %d doesn't use %s, which lives", seed, step, i, v)
							}
						}
					}
				}
			}
		})
	}
}
