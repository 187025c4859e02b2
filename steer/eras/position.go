package eras

import "cmp"

// Position is a point in the history of the store. A store that is restored from a
// copy begins a new era, in which versions that it has lost are given out again, so
// that versions of different eras don't tell which is later. The zero position is
// before all others.
type Position struct {
	// Era is the number of the era, 0 for a store that doesn't tell it.
	Era int64 `json:"era,omitempty" msgpack:"era"`
	// Version is the store's version in the era.
	Version int64 `json:"version" msgpack:"version"`
}

// Compare returns -1, 0 or 1 if p is before, at or after q. The era decides first.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// IsZero reports whether p is the zero position.
func (p Position) IsZero() bool { return p == Position{} }

// Later returns the later of two positions.
func Later(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}
