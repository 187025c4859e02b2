package member

import "time"

// Digest is the summary of a failure domain that is sent to the others.
type Digest struct {
	Region string `msgpack:"region"`
	Domain string `msgpack:"domain"`
	// Age is the time since the digest was made, without time in transit.
	Age time.Duration `msgpack:"age"`
	// Revision is the latest configuration revision in force in the domain. It
	// is in force on all hosts except those in Behind, which maps host names
	// to their earlier revisions.
	Revision uint64            `msgpack:"revision"`
	Behind   map[string]uint64 `msgpack:"behind"`
	Leaving  []string          `msgpack:"leaving"`
	Loads    []Load            `msgpack:"loads"`
}

// NewDigest summarises the statuses of a failure domain.
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

// Digests holds the latest digest of each other failure domain.
type Digests struct {
	entries map[string]timedDigest
}

type timedDigest struct {
	digest Digest
	madeAt time.Time
}

// NewDigests returns an empty set.
func NewDigests() *Digests { return &Digests{entries: make(map[string]timedDigest)} }

// Merge stores a digest unless one that was made later or at the same time is
// stored for its failure domain.
func (s *Digests) Merge(now time.Time, d Digest) {
	at := now.Add(-d.Age)
	if old, ok := s.entries[d.Domain]; !ok || at.After(old.madeAt) {
		s.entries[d.Domain] = timedDigest{d, at}
	}
}

// Fresh returns the digests whose age at now is less than limit, with that age.
func (s *Digests) Fresh(now time.Time, limit time.Duration) []Digest {
	var out []Digest
	for _, m := range s.entries {
		if age := now.Sub(m.madeAt); age < limit {
			m.digest.Age = age
			out = append(out, m.digest)
		}
	}
	return out
}
