package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times around an outage of the store.
const (
	// lapseAfter is the shortest outage that can make records expire. They
	// outlive two heartbeats that are not written, and come every 1.5 s.
	lapseAfter = 2500 * time.Millisecond
	// returnGrace is how long servers take to register again after an outage,
	// by the platform's contract.
	returnGrace = 2 * time.Second
)

// maxGone bounds the number of servers that are remembered after they left.
const maxGone = 4096

// View is an immutable snapshot of the fleet.
type View struct {
	byService map[string][]Server
	evacuated map[string]bool
	count     int
}

// Servers returns the servers of a service in the order of their ids. The
// slice must not be changed.
func (v *View) Servers(service string) []Server { return v.byService[service] }

// Evacuated reports whether the servers of the failure domain get no work.
func (v *View) Evacuated(domain string) bool { return v.evacuated[domain] }

// Len returns the number of servers.
func (v *View) Len() int { return v.count }

// Fleet gathers records into views. It is not safe for concurrent use.
type Fleet struct {
	servers map[string]Server
	// vanished are the records that an outage may have made expire.
	vanished map[string]bool
	// gone holds the last records of servers that left, so that an older
	// record which is read late doesn't bring them back.
	gone      map[string]Server
	evacuated map[string]bool
	// down is when the outage that lasts began, returned when the last long one ended.
	down, returned time.Time
	changed        bool
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{servers: make(map[string]Server), vanished: make(map[string]bool), gone: make(map[string]Server), evacuated: make(map[string]bool), changed: true}
}

// Outage records that the store could not be read.
func (f *Fleet) Outage(now time.Time) {
	if f.down.IsZero() {
		f.down = now
	}
}

// Return records that the store could be read.
func (f *Fleet) Return(now time.Time) {
	if !f.down.IsZero() && now.Sub(f.down) >= lapseAfter {
		f.returned = now
	}
	f.down = time.Time{}
}

// Settled reports whether every server that lives had time to register again
// since the last outage.
func (f *Fleet) Settled(now time.Time) bool {
	long := !f.down.IsZero() && now.Sub(f.down) >= lapseAfter
	return !long && (f.returned.IsZero() || now.Sub(f.returned) >= returnGrace)
}

// Put takes a record in, unless a newer one of the same id is known. It
// reports whether it was taken.
func (f *Fleet) Put(s Server) bool {
	old, known := f.servers[s.ID]
	if !known {
		old, known = f.gone[s.ID]
	}
	if known && !s.succeeds(&old) {
		return false
	}
	if known && old.Born == s.Born && old.Draining {
		// A server never returns to work once it announced that it leaves.
		s.Draining = true
	}
	delete(f.vanished, s.ID)
	delete(f.gone, s.ID)
	f.servers[s.ID] = s
	f.changed = true
	return true
}

// Remove takes note that the record of the id vanished. Around an outage it
// stays valid until the fleet is settled.
func (f *Fleet) Remove(now time.Time, id string) {
	s, known := f.servers[id]
	switch {
	case !known:
	case f.Settled(now) || s.Draining:
		f.drop(id)
	default:
		f.vanished[id] = true
	}
}

// Drop removes the record of a server that is known to be gone.
func (f *Fleet) Drop(id string) {
	if _, known := f.servers[id]; known {
		f.drop(id)
	}
}

// Expire drops the records whose servers didn't register again in time.
func (f *Fleet) Expire(now time.Time) {
	if len(f.vanished) == 0 || !f.Settled(now) {
		return
	}
	for id := range f.vanished {
		f.drop(id)
	}
}

func (f *Fleet) drop(id string) {
	if len(f.gone) >= maxGone {
		clear(f.gone)
	}
	f.gone[id] = f.servers[id]
	delete(f.servers, id)
	delete(f.vanished, id)
	f.changed = true
}

// Evacuate sets whether the servers of the failure domain get no work.
func (f *Fleet) Evacuate(domain string, on bool) {
	if f.evacuated[domain] == on {
		return
	}
	f.changed = true
	if on {
		f.evacuated[domain] = true
		return
	}
	delete(f.evacuated, domain)
}

// View returns a snapshot, and whether anything changed since the last one.
func (f *Fleet) View() (*View, bool) {
	changed := f.changed
	f.changed = false
	v := &View{byService: make(map[string][]Server), evacuated: maps.Clone(f.evacuated), count: len(f.servers)}
	for _, s := range f.servers {
		v.byService[s.Service] = append(v.byService[s.Service], s)
	}
	for _, list := range v.byService {
		slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v, changed
}
