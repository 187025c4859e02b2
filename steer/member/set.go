package member

import (
	"maps"
	"slices"
	"time"
)

// Set holds the last status of each host that tells its own.
type Set struct {
	entries map[string]entry
}

type entry struct {
	status Status
	heard  time.Time
	// period is the time until the next status is expected.
	period time.Duration
}

// Periods without a status until a host is suspected, and until it counts as dead.
const (
	suspectPeriods = 3
	deadPeriods    = 6
)

// NewSet returns an empty set.
func NewSet() *Set { return &Set{entries: make(map[string]entry)} }

// Merge takes a status over when it is newer than the known one: of a greater
// incarnation, or of the same with a greater sequence. It reports whether it was.
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

// State returns the state of a host, and whether it was ever heard of.
func (s *Set) State(now time.Time, name string) (State, bool) {
	e, ok := s.entries[name]
	if !ok {
		return Dead, false
	}
	silent := now.Sub(e.heard)
	switch {
	case silent >= deadPeriods*e.period:
		return Dead, true
	case e.status.Host.Leaving:
		return Leaving, true
	case silent >= suspectPeriods*e.period:
		return Suspect, true
	}
	return Live, true
}

// Status returns a host's last status.
func (s *Set) Status(name string) (Status, bool) {
	e, ok := s.entries[name]
	return e.status, ok
}

// Fresh returns the statuses of the hosts that are not dead, in the order of names.
func (s *Set) Fresh(now time.Time) []Status {
	var out []Status
	for _, n := range slices.Sorted(maps.Keys(s.entries)) {
		if st, _ := s.State(now, n); st != Dead {
			out = append(out, s.entries[n].status)
		}
	}
	return out
}

// Forget drops the hosts that keep doesn't name.
func (s *Set) Forget(keep func(name string) bool) {
	maps.DeleteFunc(s.entries, func(n string, _ entry) bool { return !keep(n) })
}
