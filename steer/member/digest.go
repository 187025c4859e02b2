package member

import "time"

// Digest is what other failure domains learn of one.
type Digest struct {
	Region string `msgpack:"region"`
	Domain string `msgpack:"domain"`
	// Age is how long ago it was made, as far as is known.
	Age time.Duration `msgpack:"age"`
	// Revision is in force on all hosts but those in Behind.
	Revision uint64            `msgpack:"revision"`
	Behind   map[string]uint64 `msgpack:"behind"`
	Leaving  []string          `msgpack:"leaving"`
	Loads    []Load            `msgpack:"loads"`
}

// NewDigest sums the statuses of a failure domain up.
func NewDigest(region, domain string, statuses []Status) Digest {
	d := Digest{Region: region, Domain: domain}
	for _, s := range statuses {
		d.Revision = max(d.Revision, s.Revision)
	}
	for _, s := range statuses {
		if s.Revision < d.Revision {
			if d.Behind == nil {
				d.Behind = make(map[string]uint64)
			}
			d.Behind[s.Host.Name] = s.Revision
		}
		if s.Host.Leaving {
			d.Leaving = append(d.Leaving, s.Host.Name)
		}
		d.Loads = append(d.Loads, s.Loads...)
	}
	return d
}

// Digests holds the newest digest of each other failure domain.
type Digests struct {
	entries map[string]made
}

type made struct {
	digest Digest
	at     time.Time
}

// NewDigests returns an empty set.
func NewDigests() *Digests { return &Digests{entries: make(map[string]made)} }

// Merge takes a digest over when it was made after the known one.
func (s *Digests) Merge(now time.Time, d Digest) {
	at := now.Add(-d.Age)
	if old, ok := s.entries[d.Domain]; !ok || at.After(old.at) {
		s.entries[d.Domain] = made{d, at}
	}
}

// Fresh returns the digests that are younger than limit, with their ages.
func (s *Digests) Fresh(now time.Time, limit time.Duration) []Digest {
	var out []Digest
	for _, m := range s.entries {
		if age := now.Sub(m.at); age < limit {
			m.digest.Age = age
			out = append(out, m.digest)
		}
	}
	return out
}
