package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times around an outage of the store.
const (
	// outageMemory is how long after a failed read a vanished record may be due
	// to the outage: three heartbeats of a server and the delay of a read.
	outageMemory = 6 * time.Second
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
	servers   map[string]Server
	vanished  map[string]time.Time
	// gone holds the last records of servers that left, so that an older
	// record which is read late doesn't bring them back.
	gone map[string]Server
	evacuated map[string]bool
	outage    time.Time
	changed   bool
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{servers: make(map[string]Server), vanished: make(map[string]time.Time), gone: make(map[string]Server), evacuated: make(map[string]bool), changed: true}
}

// Outage records that the store could not be read.
func (f *Fleet) Outage(now time.Time) { f.outage = now }

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

// Remove takes note that the record of the id vanished.
func (f *Fleet) Remove(now time.Time, id string) {
	if _, known := f.servers[id]; !known {
		return
	}
	if !f.outage.IsZero() && now.Sub(f.outage) < outageMemory && !f.servers[id].Draining {
		if _, waiting := f.vanished[id]; !waiting {
			f.vanished[id] = now.Add(returnGrace)
		}
		return
	}
	f.drop(id)
}

// Keep removes all records but those of the ids, after a complete read.
func (f *Fleet) Keep(now time.Time, ids map[string]bool) {
	for id := range f.servers {
		if !ids[id] {
			f.Remove(now, id)
		}
	}
}

// Expire drops the records whose servers didn't register again in time.
func (f *Fleet) Expire(now time.Time) {
	for id, end := range f.vanished {
		if !now.Before(end) {
			f.drop(id)
		}
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
