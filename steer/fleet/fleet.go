package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Timing of outages of the store.
const (
	// minExpiryOutage is the shortest outage that can make records expire. Heartbeats
	// are written every 1.5 s, and a record survives two missed ones.
	minExpiryOutage = 2500 * time.Millisecond
	// ReturnGrace is the time within which servers register again after an
	// outage. The platform's contract sets it.
	ReturnGrace = 2 * time.Second
)

// maxRemoved bounds the number of removed servers whose last record is kept. When it
// is reached, all these records are discarded.
const maxRemoved = 4096

// View is an immutable snapshot of the fleet.
type View struct {
	byService   map[string][]Server
	evacuations map[string]Evacuation
	count       int
	notices     *Notices
}

// Evacuation is the last evacuation of a failure domain as this host learned of it. End
// is zero while it lasts. The servers of the domain may have become cold meanwhile.
type Evacuation struct{ Start, End time.Time }

// Servers returns the servers of a service, sorted by id. The caller must not
// modify the slice.
func (v *View) Servers(service string) []Server { return v.byService[service] }

// Evacuated reports whether the failure domain is evacuated, so that its
// servers get no requests.
func (v *View) Evacuated(domain string) bool { return v.evacuations[domain].lasts() }

// Evacuation returns the last evacuation of the failure domain, zero if this host
// knows of none.
func (v *View) Evacuation(domain string) Evacuation { return v.evacuations[domain] }

func (e Evacuation) lasts() bool { return !e.Start.IsZero() && e.End.IsZero() }

// Notices returns what the servers announced, which all views of a fleet share.
func (v *View) Notices() *Notices { return v.notices }

// Len returns the number of servers.
func (v *View) Len() int { return v.count }

// Fleet merges the records of servers and produces views of them. It is not
// safe for concurrent use.
type Fleet struct {
	servers map[string]Server
	// missing holds the ids of servers in use whose records disappeared from the
	// store, possibly because they expired during an outage.
	missing map[string]bool
	// removed holds the last record of each removed server, so that an older record
	// which is read late doesn't add the server again.
	removed map[string]Server
	// evacuations holds the last evacuation of each failure domain.
	evacuations map[string]Evacuation
	// outageStart is the start of the current outage, zero without one. outageEnd is
	// the end of the last outage that lasted at least minExpiryOutage.
	outageStart, outageEnd time.Time
	notices                *Notices
	// changed reports whether the contents changed since view, the last one.
	changed bool
	view    *View
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{servers: make(map[string]Server), missing: make(map[string]bool), removed: make(map[string]Server), evacuations: make(map[string]Evacuation), notices: NewNotices(), changed: true}
}

// ReadFailed records that a read of the store failed. The first call after a
// successful read starts an outage.
func (f *Fleet) ReadFailed(now time.Time) {
	if f.outageStart.IsZero() {
		f.outageStart = now
	}
}

// ReadSucceeded records that a read of the store succeeded, which ends an outage that
// began before.
func (f *Fleet) ReadSucceeded(now time.Time) {
	if now.Before(f.outageStart) {
		return
	}
	if !f.outageStart.IsZero() && now.Sub(f.outageStart) >= minExpiryOutage {
		f.outageEnd = now
	}
	f.outageStart = time.Time{}
}

// Complete records that the records in the store are complete, which a host tells that has
// read them since the servers had time to register again. It ends an outage and the time of
// grace after it.
func (f *Fleet) Complete() { f.outageStart, f.outageEnd = time.Time{}, time.Time{} }

// Settled reports whether the records in the store are complete: no outage has
// lasted long enough to make records expire, or the servers had time to
// register again since the last such outage.
func (f *Fleet) Settled(now time.Time) bool {
	inLongOutage := !f.outageStart.IsZero() && now.Sub(f.outageStart) >= minExpiryOutage
	return !inLongOutage && (f.outageEnd.IsZero() || now.Sub(f.outageEnd) >= ReturnGrace)
}

// UntilSettled returns the time until the servers whose records disappeared are
// removed, 0 if there are none.
func (f *Fleet) UntilSettled(now time.Time) time.Duration {
	if len(f.missing) == 0 {
		return 0
	}
	return max(0, f.outageEnd.Add(ReturnGrace).Sub(now))
}

// Put adds or replaces a record, unless a newer record of the same id is or was
// present. It reports whether the record was accepted.
func (f *Fleet) Put(s Server) bool {
	f.notices.record(s.ReadAt, s.ID, s.Incarnation, Notice{Leaving: s.Draining}, false)
	old, found := f.servers[s.ID]
	if !found {
		old, found = f.removed[s.ID]
	}
	if found && !s.supersedes(&old) {
		return false
	}
	delete(f.missing, s.ID)
	delete(f.removed, s.ID)
	f.servers[s.ID] = s
	f.changed = true
	return true
}

// Server returns the server with the id, and whether there is one.
func (f *Fleet) Server(id string) (Server, bool) {
	s, found := f.servers[id]
	return s, found
}

// RecordMissing notes that the record of the id disappeared from the store. The
// server is removed at once if the fleet is settled or the server leaves;
// otherwise it stays in use until [Fleet.RemoveMissing] is called on a settled
// fleet.
func (f *Fleet) RecordMissing(now time.Time, id string) {
	s, found := f.servers[id]
	switch {
	case !found:
	case f.Settled(now) || f.notices.Leaving(id, s.Incarnation):
		f.remove(id)
	default:
		f.missing[id] = true
	}
}

// Remove removes a server at once, also during an outage. It is for a server whose record is
// there and names none.
func (f *Fleet) Remove(id string) {
	if _, found := f.servers[id]; found {
		f.remove(id)
	}
}

// RemoveMissing removes the servers whose records disappeared and that didn't
// register again by the time the fleet settled.
func (f *Fleet) RemoveMissing(now time.Time) {
	if len(f.missing) == 0 || !f.Settled(now) {
		return
	}
	for id := range f.missing {
		f.remove(id)
	}
}

// remove removes the server and keeps its last record in removed.
func (f *Fleet) remove(id string) {
	if len(f.removed) >= maxRemoved {
		clear(f.removed)
	}
	f.removed[id] = f.servers[id]
	delete(f.servers, id)
	delete(f.missing, id)
	f.changed = true
}

// Evacuate records that this host learned of the start of the failure domain's
// evacuation (on), or of its end. An end whose start wasn't known counts as a complete
// evacuation, since this host may have missed it.
func (f *Fleet) Evacuate(now time.Time, domain string, on bool) {
	e := f.evacuations[domain]
	switch {
	case on && e.lasts():
		return
	case on:
		e = Evacuation{Start: now}
	case e.lasts():
		e.End = now
	default:
		e = Evacuation{Start: now, End: now}
	}
	f.evacuations[domain] = e
	f.changed = true
}

// View returns a snapshot, and reports whether anything changed since the last call.
func (f *Fleet) View() (*View, bool) {
	if !f.changed {
		return f.view, false
	}
	f.changed = false
	v := &View{byService: make(map[string][]Server), evacuations: maps.Clone(f.evacuations), count: len(f.servers), notices: f.notices}
	for _, s := range f.servers {
		v.byService[s.Service] = append(v.byService[s.Service], s)
	}
	for _, list := range v.byService {
		slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	f.view = v
	return v, true
}
