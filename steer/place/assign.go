package place

import (
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"magnoliahitch/steer/lease"
	"magnoliahitch/steer/member"
)

// Holding is the lease that holds a cell.
type Holding struct {
	lease.ID
	// Handover is the data that the previous holder left for this one, nil if
	// there is none. In a region's first assignment, where no cell had a holder
	// before, it is empty but not nil.
	Handover []byte `json:"handover"`
}

// Assignment maps each cell of a region to the lease that holds it. Until that
// lease has ended, only its host may move the cell. A region's assignment is nil
// until the first one is made.
type Assignment map[Key]Holding

// MarshalText returns the form of [Key.String].
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses the form of [Key.String].
func (k *Key) UnmarshalText(text []byte) error {
	parts := strings.SplitN(string(text), "/", 3)
	if len(parts) != 3 {
		return errors.Errorf("parse cell key %s: want kind/region/name", text)
	}
	*k = Key{Kind(parts[0]), parts[1], parts[2]}
	return nil
}

// Candidate is a host that may receive cells, and the term of its lease.
type Candidate struct {
	Host member.Host
	Term uint64
}

// AssignmentInput is the input from which a host changes the assignment of its region.
type AssignmentInput struct {
	Self lease.ID
	// Leaving is set when Self hands all its cells over to other hosts.
	Leaving bool
	// Keys are the cells that the configuration requires in the region.
	Keys []Key
	// Candidates may receive cells. Self is among them unless it is leaving.
	Candidates []Candidate
	// Ended reports whether a lease is known to have ended.
	Ended func(lease.ID) bool
}

// Releases returns the cells that Self should release, sorted: their first choice is
// another lease, or the configuration no longer requires them.
func (a Assignment) Releases(s AssignmentInput) []Key {
	var out []Key
	wanted := make(map[Key]bool, len(s.Keys))
	for _, k := range s.Keys {
		wanted[k] = true
	}
	for k, h := range a {
		if h.ID != s.Self {
			continue
		}
		first, ok := s.firstChoice(k)
		if !wanted[k] || ok && first != s.Self {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b Key) int { return strings.Compare(a.String(), b.String()) })
	return out
}

// Next returns the next assignment, and whether it differs. Cells without a
// holder, cells whose holder's lease has ended and cells that Self releases get
// their first choice as holder, if there is a candidate, or are removed if no
// longer required. Released maps the cells that Self releases to their handovers.
func (a Assignment) Next(s AssignmentInput, released map[Key][]byte) (Assignment, bool) {
	out := maps.Clone(a)
	if out == nil {
		out = make(Assignment)
	}
	changed := false
	var initial []byte
	if a == nil {
		initial = []byte{}
	}
	wanted := make(map[Key]bool, len(s.Keys))
	for _, k := range s.Keys {
		wanted[k] = true
		h, held := a[k]
		handover, releases := released[k]
		if !held {
			handover = initial
		}
		releases = releases && h.ID == s.Self
		if held && !releases && !s.Ended(h.ID) {
			continue
		}
		if first, ok := s.firstChoice(k); ok {
			out[k] = Holding{ID: first, Handover: handover}
			changed = true
		}
	}
	for k, h := range a {
		_, releases := released[k]
		if !wanted[k] && (releases && h.ID == s.Self || s.Ended(h.ID)) {
			delete(out, k)
			changed = true
		}
	}
	return out, changed
}

// firstChoice returns the lease of the candidate that ranks first for the cell. It
// reports false if there are no candidates.
func (s AssignmentInput) firstChoice(k Key) (lease.ID, bool) {
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
