package slots

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/result"
)

func sortedIDs[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// state returns the state of the named server.
func (w *world) state(name string) ServerState {
	for _, s := range w.cell.Servers(w.now) {
		if s.Server == name {
			return s
		}
	}
	return ServerState{}
}

// fill submits interactive requests and returns how many started.
func (w *world) fill(n int) int {
	before := len(w.works)
	for range n {
		_ = w.submit(config.ClassInteractive, maxDeadline, "")
	}
	return len(w.works) - before
}

func TestDrainEndsInDrained(t *testing.T) {
	w := newWorld(2)
	w.fill(6)
	w.draining["server-0"] = true
	w.cell.Configure(w.now, w.servers, w.drains, w.profile)
	if got, want := w.state("server-0").State, StateDraining; got != want {
		t.Fatalf("got state %s, want %s", got, want)
	}
	for id, k := range w.works {
		if k.server == "server-0" {
			_ = w.finish(id, result.Done, "")
		}
	}
	if got, want := w.state("server-0").State, StateDrained; got != want {
		t.Fatalf("got state %s, want %s", got, want)
	}
	if got := w.fill(5); got != 0 || w.running("server-0") != 0 {
		t.Fatalf("got %d started beside a full server, %d on the drained one, want 0", got, w.running("server-0"))
	}
}

func TestSlowStartOfAReturningServer(t *testing.T) {
	w := newWorld(1)
	w.draining["server-0"] = true
	w.cell.Configure(w.now, w.servers, w.drains, w.profile)
	w.draining["server-0"] = false
	w.cell.Configure(w.now, w.servers, w.drains, w.profile)
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {499 * time.Millisecond, 1}, {500 * time.Millisecond, 2}, {999 * time.Millisecond, 2}, {time.Second, 3}} {
		if got := w.cell.order[0].limit(w.now.Add(c.after), w.cell.slowStart()); got != c.want {
			t.Errorf("after %v: got limit %d, want %d", c.after, got, c.want)
		}
	}
}

func TestQueueGoesOnWithTheSlowStart(t *testing.T) {
	w := newWorld(1)
	w.cell.order[0].ramp = w.now
	w.fill(2)
	at, ok := w.cell.Next()
	if want := w.now.Add(500 * time.Millisecond); !ok || !at.Equal(want) {
		t.Fatalf("got next event %v (%v), want %v", at, ok, want)
	}
	_ = w.advance(at.Sub(w.now))
	if got, want := w.running("server-0"), 2; got != want {
		t.Fatalf("got %d running, want %d", got, want)
	}
}

func TestTakeOverHoldsSlotsUntilTheGreatestDeadline(t *testing.T) {
	w := newWorld(2)
	w.fill(4)
	_ = w.replace(false)
	if got := w.fill(1); got != 0 {
		t.Fatalf("got %d started at once after a take-over, want 0", got)
	}
	_ = w.advance(maxDeadline + cancelGrace)
	if got, want := w.fill(6), 6; got != want {
		t.Fatalf("got %d started after the greatest deadline, want %d", got, want)
	}
}

func TestHandoverHoldsOnlySlotsInUse(t *testing.T) {
	w := newWorld(2)
	w.fill(4)
	_ = w.replace(true)
	if got, want := w.fill(6), 2; got != want {
		t.Fatalf("got %d started after a handover, want %d", got, want)
	}
}

// fail lets every attempt on the servers fail, and answers the others.
func (w *world) fail(rounds int, servers ...string) {
	for range rounds {
		w.fill(1)
		for id, k := range w.works {
			if slices.Contains(servers, k.server) {
				_ = w.finish(id, result.NotRun, result.ReasonUpstream)
			} else {
				_ = w.finish(id, result.Done, "")
			}
		}
	}
}

func TestPredecessorsServersThatJoinLaterAreHeld(t *testing.T) {
	for _, handover := range []bool{false, true} {
		w := newWorld(2)
		w.fill(6)
		servers := w.servers
		w.servers = servers[:1] // The new keeper's configuration is older.
		_ = w.replace(handover)
		w.servers = servers
		_ = w.apply(w.cell.Configure(w.now, w.servers, w.drains, w.profile))
		if got := w.fill(2); got != 0 {
			t.Fatalf("handover %v: got %d started on a server that the predecessor filled, want 0", handover, got)
		}
		_ = w.advance(maxDeadline + cancelGrace)
		if got := w.fill(4); got < 4 {
			t.Fatalf("handover %v: got %d started after the holds, want 4", handover, got)
		}
	}
}

func TestEjectionNeverExceedsItsShare(t *testing.T) {
	w := newWorld(12)
	w.profile.EjectShare = 0.3
	w.cell.Configure(w.now, w.servers, w.drains, w.profile)
	bad := []string{"server-0", "server-3", "server-5", "server-8", "server-9"}
	for range 100 {
		w.fail(1, bad...)
		_ = w.advance(forgive) // A server that failed is tried again.
		w.fail(36, bad...)
		if got, want := w.cell.Load(w.now).Ejected, 3; got > want {
			t.Fatalf("got %d ejected of 12, want at most %d", got, want)
		}
	}
	if got := w.cell.Load(w.now).Ejected; got == 0 {
		t.Fatal("got no server ejected, want some")
	}
	name := bad[slices.IndexFunc(bad, func(n string) bool { return w.state(n).State == StateEjected })]
	_ = w.advance(ejectMax)
	w.cell.servers[name].ramp = w.now
	if got, want := w.state(name), StateStarting; got.State != want || got.Limit != 1 {
		t.Fatalf("got %+v after the ejection, want one slot", got)
	}
}

func TestServersThatAllFailAreNotOutliers(t *testing.T) {
	w := newWorld(4)
	for range 50 {
		w.fail(12, "server-0", "server-1", "server-2", "server-3")
	}
	if got := w.cell.Load(w.now).Ejected; got > 1 {
		t.Fatalf("got %d servers ejected while all fail alike, want at most 1", got)
	}
}

func TestReportOnlyTakesWorkAway(t *testing.T) {
	w := newWorld(1)
	w.cell.Report(w.now, "server-0", 2)
	if got, want := w.fill(3), 1; got != want {
		t.Fatalf("got %d started beside 2 foreign requests, want %d", got, want)
	}
	_ = w.apply(w.cell.Report(w.now, "server-0", 0))
	if got, want := w.running("server-0"), 3; got != want {
		t.Fatalf("got %d running, want %d", got, want)
	}
	_ = w.apply(w.cell.Report(w.now, "server-0", -5))
	if got := w.fill(3); got != 0 {
		t.Fatalf("got %d started on a full server after a low report, want 0", got)
	}
}

func TestLateReportOfOwnWorkTakesNothingAway(t *testing.T) {
	w := newWorld(1)
	w.fill(3)
	_ = w.apply(w.cell.Report(w.now, "server-0", 3))
	for id := range w.works {
		_ = w.finish(id, result.Done, "")
	}
	// Made before the requests ended.
	_ = w.apply(w.cell.Report(w.now, "server-0", 3))
	if got, want := w.state("server-0").Limit, 3; got != want {
		t.Fatalf("got limit %d, want %d", got, want)
	}
}

func TestEarlyRefusalAndOrderOfClasses(t *testing.T) {
	w := newWorld(1)
	w.fill(3)
	d := w.cell.Submit(w.now, Request{ID: 100, Deadline: w.now.Add(10 * time.Millisecond)})
	if d.Started || d.Queued || d.Reason != result.ReasonDeadline {
		t.Fatalf("got %+v, want a refusal as the deadline can't be met", d)
	}
	for id, class := range map[uint64]config.Class{101: config.ClassBulk, 102: config.ClassInteractive, 103: config.ClassBooking} {
		w.cell.Submit(w.now, Request{ID: id, Class: class, Deadline: w.now.Add(maxDeadline)})
	}
	var got []uint64
	for _, id := range []uint64{1, 2, 3} {
		for _, s := range w.cell.Finish(w.now, End{ID: id, Outcome: result.Done}).Starts {
			got = append(got, s.ID)
		}
	}
	// The booking takes the reserve; bulk must not take the last reserved slot.
	if want := []uint64{103, 102, 101}; !slices.Equal(got, want) {
		t.Fatalf("got order %v, want %v", got, want)
	}
}

func TestBulkIsShedFirst(t *testing.T) {
	w := newWorld(1)
	w.fill(3)
	_ = w.submit(config.ClassBulk, maxDeadline, "")
	bulkID := w.nextID
	for w.queued[bulkID] {
		_ = w.submit(config.ClassInteractive, maxDeadline, "")
		if !w.queued[w.nextID] {
			t.Fatal("got an interactive request refused before bulk, want bulk shed first")
		}
	}
	d := w.cell.Submit(w.now, Request{ID: 1000, Class: config.ClassBulk, Deadline: w.now.Add(maxDeadline)})
	if d.Queued || d.Reason != result.ReasonQueueFull {
		t.Fatalf("got %+v, want bulk refused under pressure", d)
	}
}

func TestNoServerIsARefusal(t *testing.T) {
	w := newWorld(1)
	d := w.cell.Submit(w.now, Request{ID: 1, Avoid: "server-0"})
	if d.Started || d.Queued || d.Reason != result.ReasonNoServer {
		t.Fatalf("got %+v, want a refusal for want of another server", d)
	}
}

func TestSuspectsRunApart(t *testing.T) {
	w := newWorld(2)
	for id := range uint64(2) {
		w.cell.Submit(w.now, Request{ID: id + 1, Suspect: true})
	}
	if d := w.cell.Submit(w.now, Request{ID: 3, Suspect: true}); !d.Queued {
		t.Fatalf("got %+v, want the third suspect queued for a server without one", d)
	}
	if d := w.cell.Submit(w.now, Request{ID: 4}); !d.Started {
		t.Fatalf("got %+v, want other work started past the suspect", d)
	}
	if got := len(w.cell.Finish(w.now, End{ID: 1, Outcome: result.Done}).Starts); got != 1 {
		t.Fatalf("got %d started after a suspect ended, want 1", got)
	}
}

// Requests of one object stay on one server while it has room, also with a new
// cell, and spread when it is full.
func TestObjectsStayOnTheirServer(t *testing.T) {
	const servers = 4
	at := func(c *Cell, now time.Time, id uint64, object string) string {
		d := c.Submit(now, Request{ID: id, Class: config.ClassInteractive, Deadline: now.Add(time.Minute), Object: object})
		if !d.Started {
			t.Fatalf("request %d was not started: %+v", id, d)
		}
		return d.Start.Server.Name
	}
	first := make(map[string]string)
	used := make(map[string]bool)
	for round := range 3 {
		w := newWorld(servers)
		for i := range 20 {
			object := string(rune('a' + i))
			got := at(w.cell, w.now, uint64(i+1), object)
			w.cell.Finish(w.now, End{ID: uint64(i + 1), Outcome: result.Done})
			if round == 0 {
				first[object], used[got] = got, true
			}
			if got != first[object] {
				t.Errorf("round %d: object %s on %s, want %s", round, object, got, first[object])
			}
		}
	}
	if len(used) != servers {
		t.Errorf("20 objects use %d servers, want %d", len(used), servers)
	}
	w := newWorld(servers)
	busy := make(map[string]int)
	slots := w.servers[0].Slots
	for i := range slots * servers {
		busy[at(w.cell, w.now, uint64(i+1), "a")]++
	}
	for name, n := range busy {
		if n != slots {
			t.Errorf("server %s runs %d requests of one object, want its %d slots used", name, n, slots)
		}
	}
}

// A request that comes when a hold has just ended, before the Tick that the
// end calls for, must not make the cell forget that Tick.
func TestDueTickIsNotLost(t *testing.T) {
	for _, late := range []time.Duration{0, time.Millisecond, time.Second} {
		w := newWorld(1)
		until := w.now.Add(3 * time.Second)
		w.cell.TakeOver(w.now, until)
		submit := func(now time.Time, id uint64) Decision {
			return w.cell.Submit(now, Request{ID: id, Class: config.ClassInteractive, Deadline: now.Add(time.Minute)})
		}
		if d := submit(until.Add(-time.Millisecond), 1); !d.Queued {
			t.Fatalf("request before the end of the hold: %+v, want it queued", d)
		}
		now := until.Add(late)
		if d := submit(now, 2); !d.Queued {
			t.Fatalf("request behind a queued one: %+v, want it queued", d)
		}
		at, ok := w.cell.Next()
		if !ok || at.After(now) {
			t.Errorf("%s after the hold: next Tick at %s, %v, want it now", late, at, ok)
		}
		if got := len(w.cell.Tick(now).Starts); got != 2 {
			t.Errorf("%s after the hold: %d requests started, want 2", late, got)
		}
		if at, ok := w.cell.Next(); ok && !at.After(now) {
			t.Errorf("%s after the hold: next Tick at %s again, want none that is due", late, at)
		}
	}
}
