package lease

import (
	"cmp"
	"slices"

	"magnoliahitch/steer/eras"
)

// ID identifies one lease of a host.
type ID struct {
	Host string `json:"host" msgpack:"host"`
	// Term increases with each new lease of the host. Zero means no lease.
	Term uint64 `json:"term" msgpack:"term"`
}

// Row is the record of a lease in the table.
type Row struct {
	ID
	Domain string `json:"domain"`
	// Address is where the holder listens. A later process that listens
	// there proves that the holder's process has ended.
	Address string `json:"address"`
	// Sequence increases with each write by the holder.
	Sequence uint64 `json:"sequence"`
	// Regime is the last regime that had ended when the holder last wrote
	// the row.
	Regime uint64 `json:"regime,omitempty"`
	// Successor is the lease whose holder grants pledges and may take over.
	Successor ID `json:"successor"`
	// Leaving is set when the host is about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// ProcessEnded is set when the process that held the lease has ended.
	ProcessEnded bool `json:"gone,omitempty"`
	// Ended is set when the lease has ended. It is never reset.
	Ended bool `json:"over,omitempty"`
}

// Stored is a row with its position in the table.
type Stored struct {
	Row
	At eras.Position
}

// successorOf returns the successor for the host's lease. The rows form a ring
// that alternates between the failure domains; the successor is the next lease
// in another domain, or the next one if all are in one domain. It returns the
// zero ID if the host has no row or there is no other row.
func successorOf(host string, rows []Row) ID {
	ring := slices.Clone(rows)
	slices.SortFunc(ring, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Host, b.Host))
	})
	domainSizes := make(map[string]int)
	rank := make(map[string]int)
	for _, r := range ring {
		rank[r.Host] = domainSizes[r.Domain]
		domainSizes[r.Domain]++
	}
	slices.SortStableFunc(ring, func(a, b Row) int { return cmp.Compare(rank[a.Host], rank[b.Host]) })
	i := slices.IndexFunc(ring, func(r Row) bool { return r.Host == host })
	if i < 0 || len(ring) < 2 {
		return ID{}
	}
	for n := 1; n < len(ring); n++ {
		if r := ring[(i+n)%len(ring)]; r.Domain != ring[i].Domain {
			return r.ID
		}
	}
	return ring[(i+1)%len(ring)].ID
}
