package crash

import (
	"cmp"
	"slices"
	"time"
)

// Retention is how long a record is kept after the last crash or refused attempt.
const Retention = retention

const (
	// maxSaved bounds the records that are saved outside of the hosts. After the loss of a
	// region hundreds of requests are one crash short of being confirmed.
	maxSaved = 64
	// minSavedCrashes is the least number of crashes of a saved record.
	minSavedCrashes = 2
	// savedAge is how much older a saved record may be than the host's before it is saved
	// again, so that it doesn't expire while the request is refused.
	savedAge = retention / 2
)

// Unsaved compares the records with those saved outside of the hosts, where they outlive all
// of them. It returns the reports to save, most crashes first, and the fingerprints of those to
// remove. Saved are records that are confirmed or one crash short of that.
func (s *Suspects) Unsaved(now time.Time, saved map[Fingerprint]Report) (save []Report, remove []Fingerprint) {
	count := len(saved)
	for _, p := range s.lasting(now) {
		r := s.records[p]
		x, there := saved[p]
		switch {
		case there && !s.behind(now, x, r):
		case !there && count >= maxSaved && r.crashes(nil) < s.crashThreshold:
			// The next crash saves it.
		default:
			save = append(save, r.report(now, p))
			if !there {
				count++
			}
		}
	}
	for p, x := range saved {
		r := s.record(now, p)
		if r == nil && x.Age >= retention || r != nil && r.epoch > x.Epoch && r.crashes(nil) < s.lastingCrashes() {
			remove = append(remove, p)
		}
	}
	slices.Sort(remove)
	return save, remove
}

// Lasts reports whether the request has as many crashes as a saved record.
func (s *Suspects) Lasts(now time.Time, p Fingerprint) bool {
	return s.Crashes(now, p) >= s.lastingCrashes()
}

// lastingCrashes returns the number of crashes from which a record is saved.
func (s *Suspects) lastingCrashes() int { return max(minSavedCrashes, s.crashThreshold-1) }

// lasting returns the fingerprints of at most maxSaved records with the crashes to be saved: first those that
// no other record explains, most crashes first.
func (s *Suspects) lasting(now time.Time) []Fingerprint {
	var out []Fingerprint
	for p := range s.records {
		if r := s.record(now, p); r != nil && r.crashes(nil) >= s.lastingCrashes() {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Fingerprint) int {
		x, y := s.records[a], s.records[b]
		return cmp.Or(cmp.Compare(len(y.servers), len(x.servers)), y.last.Compare(x.last), cmp.Compare(a, b))
	})
	var first, explained []Fingerprint
	// Each look for an explanation goes through all records.
	for _, p := range out[:min(len(out), 4*maxSaved)] {
		if len(first) == maxSaved {
			break
		}
		if s.explained(s.records[p]) {
			explained = append(explained, p)
			continue
		}
		first = append(first, p)
	}
	out = append(first, explained...)
	return out[:min(len(out), maxSaved)]
}

// behind reports whether the saved record x lacks something of the host's.
func (s *Suspects) behind(now time.Time, x Report, r *record) bool {
	if x.Epoch != r.epoch {
		return x.Epoch < r.epoch
	}
	lacks := func(n string) bool { return !slices.Contains(x.Servers, n) }
	return x.Probations < r.probations || x.Age-now.Sub(r.last) > savedAge || len(x.Servers) < maxServers && slices.ContainsFunc(r.servers, lacks)
}
