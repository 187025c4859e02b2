package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Availability is whether a server gets requests of this host.
type Availability uint8

const (
	// Available servers get requests.
	Available Availability = iota
	// HoldingOff servers want no requests of this host for a time.
	HoldingOff
	// Evacuated servers are in a failure domain that is evacuated.
	Evacuated
	// Leaving servers are about to stop.
	Leaving
	// Gone servers have no record any more, or one of another incarnation.
	Gone
)

// String returns the name of the availability.
func (a Availability) String() string {
	return [...]string{"available", "holdingOff", "evacuated", "leaving", "gone"}[a]
}

// Availability returns whether the server of the view gets requests of this host now,
// by its record, its failure domain and what it announced. Until is the end of its
// hold-off, zero for another reason.
func (v *View) Availability(now time.Time, s *Server) (a Availability, until time.Time) {
	n := v.notices.of(s.ID, s.Incarnation)
	switch {
	case n.leaving:
		return Leaving, time.Time{}
	case v.Evacuated(s.Domain):
		return Evacuated, time.Time{}
	case now.Before(n.heldUntil):
		return HoldingOff, n.heldUntil
	}
	return Available, time.Time{}
}

// Recheck returns the availability of a server that was chosen from this view or an
// earlier one.
func (v *View) Recheck(now time.Time, s *Server) Availability {
	list := v.byService[s.Service]
	i, found := slices.BinarySearchFunc(list, s.ID, func(x Server, id string) int { return cmp.Compare(x.ID, id) })
	if !found || list[i].Incarnation != s.Incarnation {
		return Gone
	}
	a, _ := v.Availability(now, &list[i])
	return a
}
