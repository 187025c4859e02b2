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

// state returns the state of the named server, or the zero value without one.
func (m *model) state(name string) ServerState {
	for _, s := range m.cell.Servers(m.now) {
		if s.Server == name {
			return s
		}
	}
	return ServerState{}
}

// fill submits interactive requests and returns how many started.
func (m *model) fill(n int) int {
	before := len(m.executions)
	for range n {
		_ = m.submit(config.ClassInteractive, maxDeadline, "")
	}
	return len(m.executions) - before
}

func TestDrainingServerBecomesDrained(t *testing.T) {
	m := newModel(2)
	m.fill(6)
	m.draining["server-0"] = true
	m.cell.Configure(m.now, m.servers, m.isDraining, m.profile)
	if got, want := m.state("server-0").State, StateDraining; got != want {
		t.Fatalf("got state %s, want %s", got, want)
	}
	for id, e := range m.executions {
		if e.server == "server-0" {
			_ = m.finish(id, result.Done, "")
		}
	}
	if got, want := m.state("server-0").State, StateDrained; got != want {
		t.Fatalf("got state %s, want %s", got, want)
	}
	if got := m.fill(5); got != 0 || m.running("server-0") != 0 {
		t.Fatalf("got %d requests started beside a full server and %d running on the drained one, want 0", got, m.running("server-0"))
	}
}

func TestSlowStartOfReturningServer(t *testing.T) {
	m := newModel(1)
	m.draining["server-0"] = true
	m.cell.Configure(m.now, m.servers, m.isDraining, m.profile)
	m.draining["server-0"] = false
	m.cell.Configure(m.now, m.servers, m.isDraining, m.profile)
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {499 * time.Millisecond, 1}, {500 * time.Millisecond, 2}, {999 * time.Millisecond, 2}, {time.Second, 3}} {
		if got := m.cell.order[0].limit(m.now.Add(c.after), m.cell.slowStart()); got != c.want {
			t.Errorf("after %v: got limit %d, want %d", c.after, got, c.want)
		}
	}
}

func TestSlowStartReleasesQueuedRequests(t *testing.T) {
	m := newModel(1)
	m.cell.order[0].rampStart = m.now
	m.fill(2)
	at, ok := m.cell.Next()
	if want := m.now.Add(500 * time.Millisecond); !ok || !at.Equal(want) {
		t.Fatalf("got next event %v (%v), want %v", at, ok, want)
	}
	_ = m.advance(at.Sub(m.now))
	if got, want := m.running("server-0"), 2; got != want {
		t.Fatalf("got %d running, want %d", got, want)
	}
}

func TestHoldAllHoldsSlotsUntilMaxDeadline(t *testing.T) {
	m := newModel(2)
	m.fill(4)
	_ = m.replaceKeeper(false)
	if got := m.fill(1); got != 0 {
		t.Fatalf("got %d requests started while the take-over holds all slots, want 0", got)
	}
	_ = m.advance(maxDeadline + cancelGrace)
	if got, want := m.fill(6), 6; got != want {
		t.Fatalf("got %d requests started after the holds of the take-over, want %d", got, want)
	}
}

func TestHandoverHoldsOnlySlotsInUse(t *testing.T) {
	m := newModel(2)
	m.fill(4)
	_ = m.replaceKeeper(true)
	if got, want := m.fill(6), 2; got != want {
		t.Fatalf("got %d requests started after a handover, want %d", got, want)
	}
}

// fail submits one request per round; attempts on the given servers fail, all
// others succeed.
func (m *model) fail(rounds int, servers ...string) {
	for range rounds {
		m.fill(1)
		for id, e := range m.executions {
			if slices.Contains(servers, e.server) {
				_ = m.finish(id, result.NotRun, result.ReasonUpstream)
			} else {
				_ = m.finish(id, result.Done, "")
			}
		}
	}
}

// A new keeper with an older configuration must hold the slots that the former
// keeper uses on servers that the new one configures only later.
func TestHoldsApplyToServersThatJoinAfterTakeOver(t *testing.T) {
	for _, handover := range []bool{false, true} {
		m := newModel(2)
		m.fill(6)
		servers := m.servers
		m.servers = servers[:1] // The new keeper doesn't have the second server yet.
		_ = m.replaceKeeper(handover)
		m.servers = servers
		_ = m.apply(m.cell.Configure(m.now, m.servers, m.isDraining, m.profile))
		if got := m.fill(2); got != 0 {
			t.Fatalf("handover %v: got %d requests started on servers with all slots held, want 0", handover, got)
		}
		_ = m.advance(maxDeadline + cancelGrace)
		if got := m.fill(4); got < 4 {
			t.Fatalf("handover %v: got %d requests started after the holds ended, want 4", handover, got)
		}
	}
}

func TestEjectedShareIsBounded(t *testing.T) {
	m := newModel(12)
	m.profile.EjectShare = 0.3
	m.cell.Configure(m.now, m.servers, m.isDraining, m.profile)
	bad := []string{"server-0", "server-3", "server-5", "server-8", "server-9"}
	for range 100 {
		m.fail(1, bad...)
		_ = m.advance(failureWindow) // Servers that failed are selected again.
		m.fail(36, bad...)
		if got, want := m.cell.Load(m.now).Ejected, 3; got > want {
			t.Fatalf("got %d of 12 servers ejected, want at most %d", got, want)
		}
	}
	if got := m.cell.Load(m.now).Ejected; got == 0 {
		t.Fatal("got no server ejected, want at least one")
	}
	name := bad[slices.IndexFunc(bad, func(n string) bool { return m.state(n).State == StateEjected })]
	_ = m.advance(ejectMax)
	m.cell.servers[name].rampStart = m.now
	if got, want := m.state(name), StateStarting; got.State != want || got.Limit != 1 {
		t.Fatalf("got %+v after the ejection, want state starting and limit 1", got)
	}
}

func TestServersThatAllFailAreNotOutliers(t *testing.T) {
	m := newModel(4)
	for range 50 {
		m.fail(12, "server-0", "server-1", "server-2", "server-3")
	}
	if got := m.cell.Load(m.now).Ejected; got > 1 {
		t.Fatalf("got %d servers ejected while all fail at the same rate, want at most 1", got)
	}
}

func TestReportOnlyLowersLimit(t *testing.T) {
	m := newModel(1)
	m.cell.Report(m.now, "server-0", 2)
	if got, want := m.fill(3), 1; got != want {
		t.Fatalf("got %d requests started beside 2 reported requests of others, want %d", got, want)
	}
	_ = m.apply(m.cell.Report(m.now, "server-0", 0))
	if got, want := m.running("server-0"), 3; got != want {
		t.Fatalf("got %d running, want %d", got, want)
	}
	_ = m.apply(m.cell.Report(m.now, "server-0", -5))
	if got := m.fill(3); got != 0 {
		t.Fatalf("got %d requests started on a full server after a report of -5, want 0", got)
	}
}

// A report that arrives after requests of the cell ended may still count them; they
// must not be taken for requests of others.
func TestStaleReportOfOwnWorkKeepsLimit(t *testing.T) {
	m := newModel(1)
	m.fill(3)
	_ = m.apply(m.cell.Report(m.now, "server-0", 3))
	for id := range m.executions {
		_ = m.finish(id, result.Done, "")
	}
	// The report was made before the requests ended.
	_ = m.apply(m.cell.Report(m.now, "server-0", 3))
	if got, want := m.state("server-0").Limit, 3; got != want {
		t.Fatalf("got limit %d, want %d", got, want)
	}
}

func TestDeadlineRefusalAndDispatchOrder(t *testing.T) {
	m := newModel(1)
	m.fill(3)
	d := m.cell.Submit(m.now, Request{ID: 100, Deadline: m.now.Add(10 * time.Millisecond)})
	if d.Started || d.Queued || d.Reason != result.ReasonDeadline {
		t.Fatalf("got %+v, want a refusal with reason deadline", d)
	}
	for id, class := range map[uint64]config.Class{101: config.ClassBulk, 102: config.ClassInteractive, 103: config.ClassBooking} {
		m.cell.Submit(m.now, Request{ID: id, Class: class, Deadline: m.now.Add(maxDeadline)})
	}
	var got []uint64
	for _, id := range []uint64{1, 2, 3} {
		for _, s := range m.cell.Finish(m.now, Completion{ID: id, Outcome: result.Done}).Assignments {
			got = append(got, s.ID)
		}
	}
	// The booking uses the reserve; bulk must not use the last reserved slot.
	if want := []uint64{103, 102, 101}; !slices.Equal(got, want) {
		t.Fatalf("got order %v, want %v", got, want)
	}
}

func TestBulkIsShedFirst(t *testing.T) {
	m := newModel(1)
	m.fill(3)
	_ = m.submit(config.ClassBulk, maxDeadline, "")
	bulkID := m.nextID
	for m.queued[bulkID] {
		_ = m.submit(config.ClassInteractive, maxDeadline, "")
		if !m.queued[m.nextID] {
			t.Fatal("got an interactive request refused while bulk was queued, want bulk shed first")
		}
	}
	d := m.cell.Submit(m.now, Request{ID: 1000, Class: config.ClassBulk, Deadline: m.now.Add(maxDeadline)})
	if d.Queued || d.Reason != result.ReasonQueueFull {
		t.Fatalf("got %+v, want bulk refused while interactive requests are queued", d)
	}
}

func TestRefusalWithoutUsableServer(t *testing.T) {
	m := newModel(1)
	d := m.cell.Submit(m.now, Request{ID: 1, Avoid: "server-0"})
	if d.Started || d.Queued || d.Reason != result.ReasonNoServer {
		t.Fatalf("got %+v, want a refusal with reason noServer", d)
	}
}

func TestSuspectsRunOnSeparateServers(t *testing.T) {
	m := newModel(2)
	for id := range uint64(2) {
		m.cell.Submit(m.now, Request{ID: id + 1, Suspect: true})
	}
	if d := m.cell.Submit(m.now, Request{ID: 3, Suspect: true}); !d.Queued {
		t.Fatalf("got %+v, want the third suspect queued while each server runs one", d)
	}
	if d := m.cell.Submit(m.now, Request{ID: 4}); !d.Started {
		t.Fatalf("got %+v, want another request started ahead of the queued suspect", d)
	}
	if got := len(m.cell.Finish(m.now, Completion{ID: 1, Outcome: result.Done}).Assignments); got != 1 {
		t.Fatalf("got %d requests started after a suspect ended, want 1", got)
	}
}

// Requests for one object go to one server while it has a free slot, also in a new
// cell without state, and to the other servers when it is full.
func TestObjectAffinity(t *testing.T) {
	const servers = 4
	at := func(c *Cell, now time.Time, id uint64, object string) string {
		d := c.Submit(now, Request{ID: id, Class: config.ClassInteractive, Deadline: now.Add(time.Minute), Object: object})
		if !d.Started {
			t.Fatalf("request %d was not started: %+v", id, d)
		}
		return d.Assignment.Server.Name
	}
	first := make(map[string]string)
	used := make(map[string]bool)
	for round := range 3 {
		m := newModel(servers)
		for i := range 20 {
			object := string(rune('a' + i))
			got := at(m.cell, m.now, uint64(i+1), object)
			m.cell.Finish(m.now, Completion{ID: uint64(i + 1), Outcome: result.Done})
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
	m := newModel(servers)
	busy := make(map[string]int)
	slots := m.servers[0].Slots
	for i := range slots * servers {
		busy[at(m.cell, m.now, uint64(i+1), "a")]++
	}
	for name, n := range busy {
		if n != slots {
			t.Errorf("server %s runs %d requests of one object, want its %d slots used", name, n, slots)
		}
	}
}

// A request submitted after a hold ended, but before the Tick that is due then, must
// not change the time that Next returns. If Next skipped the overdue Tick, the
// queued requests would not start.
func TestOverdueTickIsStillReported(t *testing.T) {
	for _, late := range []time.Duration{0, time.Millisecond, time.Second} {
		m := newModel(1)
		until := m.now.Add(3 * time.Second)
		m.cell.HoldAll(m.now, until)
		submit := func(now time.Time, id uint64) Decision {
			return m.cell.Submit(now, Request{ID: id, Class: config.ClassInteractive, Deadline: now.Add(time.Minute)})
		}
		if d := submit(until.Add(-time.Millisecond), 1); !d.Queued {
			t.Fatalf("request before the end of the hold: %+v, want it queued", d)
		}
		now := until.Add(late)
		if d := submit(now, 2); !d.Queued {
			t.Fatalf("request behind a queued one: %+v, want it queued", d)
		}
		at, ok := m.cell.Next()
		if !ok || at.After(now) {
			t.Errorf("%s after the hold: next Tick at %s, %v, want it now", late, at, ok)
		}
		if got := len(m.cell.Tick(now).Assignments); got != 2 {
			t.Errorf("%s after the hold: %d requests started, want 2", late, got)
		}
		if at, ok := m.cell.Next(); ok && !at.After(now) {
			t.Errorf("%s after the hold: next Tick at %s again, want none that is due", late, at)
		}
	}
}
