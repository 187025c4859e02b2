package place

import (
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"magnoliahitch/steer/lease"
	"magnoliahitch/steer/member"
)

// Holding says which lease holds a cell.
type Holding struct {
	lease.ID
	// Handover is what the holder before left for this one: nil when it left
	// nothing, empty when there was none.
	Handover []byte `json:"handover"`
}

// Assignment says who keeps each cell of a region. Only the holder moves a
// cell while its lease isn't over. It is nil before the first one of a region.
type Assignment map[Key]Holding

// MarshalText writes the form of [Key.String].
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads the form of [Key.String].
func (k *Key) UnmarshalText(text []byte) error {
	parts := strings.SplitN(string(text), "/", 3)
	if len(parts) != 3 {
		return errors.Errorf("key %s: want kind/region/name", text)
	}
	*k = Key{Kind(parts[0]), parts[1], parts[2]}
	return nil
}

// Candidate is a host that may be given cells.
type Candidate struct {
	Host member.Host
	Term uint64
}

// Scene is what a host knows when it changes the assignment of its region.
type Scene struct {
	Self lease.ID
	// Leaving is set when Self gives all its cells away.
	Leaving bool
	Keys    []Key
	// Candidates may be given cells, Self among them unless it is leaving.
	Candidates []Candidate
	// Over reports whether a lease is known to be over.
	Over func(lease.ID) bool
}

// Moves returns the cells that Self should release, in order: the first choice
// for them is another host, or they are no longer called for.
func (a Assignment) Moves(s Scene) []Key {
	var out []Key
	wanted := make(map[Key]bool, len(s.Keys))
	for _, k := range s.Keys {
		wanted[k] = true
	}
	for k, h := range a {
		if h.ID != s.Self {
			continue
		}
		first, ok := s.first(k)
		if !wanted[k] || ok && first != s.Self {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b Key) int { return strings.Compare(a.String(), b.String()) })
	return out
}

// Next returns the assignment in which each vacant or released cell has its
// first choice as holder, and whether it differs. Released cells carry what
// their holder leaves.
func (a Assignment) Next(s Scene, released map[Key][]byte) (Assignment, bool) {
	out := maps.Clone(a)
	if out == nil {
		out = make(Assignment)
	}
	changed := false
	var none []byte
	if a == nil {
		none = []byte{}
	}
	wanted := make(map[Key]bool, len(s.Keys))
	for _, k := range s.Keys {
		wanted[k] = true
		h, held := a[k]
		handover, mine := released[k]
		if !held {
			handover = none
		}
		mine = mine && h.ID == s.Self
		if held && !mine && !s.Over(h.ID) {
			continue
		}
		if first, ok := s.first(k); ok {
			out[k] = Holding{ID: first, Handover: handover}
			changed = true
		}
	}
	for k, h := range a {
		_, mine := released[k]
		if !wanted[k] && (mine && h.ID == s.Self || s.Over(h.ID)) {
			delete(out, k)
			changed = true
		}
	}
	return out, changed
}

func (s Scene) first(k Key) (lease.ID, bool) {
	hosts := make([]member.Host, len(s.Candidates))
	for i, c := range s.Candidates {
		hosts[i] = c.Host
	}
	ranked := Rank(k.String(), hosts)
	if len(ranked) == 0 {
		return lease.ID{}, false
	}
	i := slices.IndexFunc(s.Candidates, func(c Candidate) bool { return c.Host.Name == ranked[0].Name })
	return lease.ID{Host: ranked[0].Name, Term: s.Candidates[i].Term}, true
}
