package fleet

import (
	"fmt"
	"testing"
	"time"
)

// availability returns that of the server with the id in the present view.
func (f *Fleet) availability(t *testing.T, now time.Time, id string) Availability {
	t.Helper()
	v, _ := f.View()
	for _, s := range v.Servers("catalogue") {
		if s.ID == id {
			a, _ := v.Availability(now, &s)
			return a
		}
	}
	return Gone
}

// What a server announced in a response must outlast every record of the same incarnation:
// a later one that says ready, its removal, and an older one that is read again.
func TestLeavingOutlastsRecords(t *testing.T) {
	f := New()
	f.Put(server("x", 5))
	v, _ := f.View()
	if !v.Notices().Record(at(0), "x", 1, Notice{Leaving: true}) || v.Notices().Record(at(0), "x", 1, Notice{Leaving: true}) {
		t.Error("want the first notice alone to report a change")
	}
	check := func(what string, want Availability) {
		t.Helper()
		if got := f.availability(t, at(time.Hour), "x"); got != want {
			t.Errorf("%s: server is %v, want %v", what, got, want)
		}
	}
	check("record as before", Leaving)
	f.Put(server("x", 6))
	check("later record that says ready", Leaving)
	f.ReadFailed(at(0))
	f.RecordMissing(at(10*time.Second), "x")
	check("record missing in an outage", Gone)
	f.removed = make(map[string]Server)
	f.Put(server("x", 6))
	check("older record of another host's table", Leaving)
	next := server("x", 1)
	next.Incarnation = 7
	f.Put(next)
	check("new incarnation", Available)
	v.Notices().Record(at(0), "x", 1, Notice{Leaving: true})
	check("late response of the old incarnation", Available)
	v.Notices().Record(at(0), "x", 7, Notice{HoldOff: time.Millisecond})
	f.servers, f.removed = make(map[string]Server), make(map[string]Server)
	f.Put(server("x", 8))
	check("record of the old incarnation after a response of the new one", Leaving)
	next.Draining, next.Sequence = true, 2
	f.Put(next)
	check("record that says draining", Leaving)
	f.removed, f.servers = make(map[string]Server), make(map[string]Server)
	f.Put(server("x", 9))
	check("record of the old incarnation in a restored store", Leaving)
}

// Hosts tell each other of servers that leave for a limited time, also when they hear of
// them again and again.
func TestDeparturesAreToldForALimitedTime(t *testing.T) {
	a, b := NewNotices(), NewNotices()
	a.Record(at(0), "x", 1, Notice{Leaving: true})
	a.Record(at(0), "y", 1, Notice{HoldOff: time.Hour})
	a.record(at(0), "z", 1, Notice{Leaving: true}, false)
	if got := a.Departures(at(0)); len(got) != 1 || got[0] != (Departure{"x", 1}) {
		t.Errorf("departures = %v, want x alone: y holds off, and the record of z told", got)
	}
	for d := time.Duration(0); d < 2*departureTime; d += 400 * time.Millisecond {
		for _, n := range [][2]*Notices{{a, b}, {b, a}} {
			for _, x := range n[0].Departures(at(d)) {
				n[1].Record(at(d), x.ID, x.Incarnation, Notice{Leaving: true})
			}
		}
	}
	if got := len(a.Departures(at(2*departureTime))) + len(b.Departures(at(2*departureTime))); got != 0 {
		t.Errorf("%d departures are told after %v, want none", got, 2*departureTime)
	}
	if !b.Leaving("x", 1) {
		t.Error("the other host doesn't know that x leaves, want it to")
	}
}

func TestHoldOffEnds(t *testing.T) {
	f := New()
	f.Put(server("x", 1))
	v, _ := f.View()
	n := v.Notices()
	n.Record(at(0), "x", 1, Notice{HoldOff: 2 * time.Second})
	if n.Record(at(time.Second), "x", 1, Notice{HoldOff: 100 * time.Millisecond}) {
		t.Error("a shorter hold-off during a longer one reports a change, want none")
	}
	for _, c := range []struct {
		after time.Duration
		want  Availability
	}{{0, HoldingOff}, {1999 * time.Millisecond, HoldingOff}, {2 * time.Second, Available}} {
		if got := f.availability(t, at(c.after), "x"); got != c.want {
			t.Errorf("server is %v after %v, want %v", got, c.after, c.want)
		}
	}
	s := v.Servers("catalogue")[0]
	if got := v.Recheck(at(0), &s); got != HoldingOff {
		t.Errorf("chosen server is %v, want holdingOff", got)
	}
	s.Incarnation++
	if got := v.Recheck(at(0), &s); got != Gone {
		t.Errorf("server chosen as another incarnation is %v, want gone", got)
	}
}

// Notices are bounded. The oldest ones go first.
func TestNoticesAreBounded(t *testing.T) {
	n := NewNotices()
	for i := range 2 * maxNotices {
		n.Record(at(time.Duration(i)), fmt.Sprint(i), 0, Notice{Leaving: true})
	}
	if got := len(n.byID); got > maxNotices {
		t.Errorf("%d notices, want at most %d", got, maxNotices)
	}
	for i := 2*maxNotices - maxNotices/2; i < 2*maxNotices; i++ {
		if !n.Leaving(fmt.Sprint(i), 0) {
			t.Fatalf("notice %d of %d was discarded, want the oldest ones to go first", i, 2*maxNotices)
		}
	}
}
