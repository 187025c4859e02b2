package member

import (
	"maps"
	"slices"
	"time"
)

// Set holds the latest status of each host from which one was received.
type Set struct {
	entries map[string]entry
}

type entry struct {
	status   Status
	received time.Time
	// period is the interval at which the host sends statuses.
	period time.Duration
}

// Numbers of periods without a status after which a host is suspect or dead.
const (
	suspectPeriods = 3
	deadPeriods    = 6
)

// NewSet returns an empty set.
func NewSet() *Set { return &Set{entries: make(map[string]entry)} }

// Merge stores a status, received at now, if it is newer than the stored one: it
// has a greater incarnation, or the same one and a greater sequence number. It
// reports whether the status was stored. Period is the interval at which the host
// sends statuses.
func (s *Set) Merge(now time.Time, st Status, period time.Duration) bool {
	old, ok := s.entries[st.Host.Name]
	if ok && !newer(st, old.status) {
		return false
	}
	s.entries[st.Host.Name] = entry{st, now, period}
	return true
}

func newer(a, b Status) bool {
	if a.Host.Incarnation != b.Host.Incarnation {
		return a.Host.Incarnation > b.Host.Incarnation
	}
	return a.Sequence > b.Sequence
}

// State returns the state of a host at now, and whether a status of it is stored.
// A host without one is dead.
func (s *Set) State(now time.Time, name string) (State, bool) {
	e, ok := s.entries[name]
	if !ok {
		return Dead, false
	}
	elapsed := now.Sub(e.received)
	switch {
	case elapsed >= deadPeriods*e.period:
		return Dead, true
	case e.status.Host.Leaving:
		return Leaving, true
	case elapsed >= suspectPeriods*e.period:
		return Suspect, true
	}
	return Live, true
}

// Status returns the latest status of a host, and whether there is one.
func (s *Set) Status(name string) (Status, bool) {
	e, ok := s.entries[name]
	return e.status, ok
}

// Fresh returns the latest statuses of the hosts that are not dead at now, sorted
// by host name.
func (s *Set) Fresh(now time.Time) []Status {
	var out []Status
	for _, n := range slices.Sorted(maps.Keys(s.entries)) {
		if st, _ := s.State(now, n); st != Dead {
			out = append(out, s.entries[n].status)
		}
	}
	return out
}

// Retain keeps the hosts for which keep returns true and removes the others.
func (s *Set) Retain(keep func(name string) bool) {
	maps.DeleteFunc(s.entries, func(n string, _ entry) bool { return !keep(n) })
}
