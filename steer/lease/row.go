package lease

import (
	"cmp"
	"slices"
)

// ID names one lease of a host.
type ID struct {
	Host string `json:"host" msgpack:"host"`
	Term uint64 `json:"term" msgpack:"term"`
}

// Row is a lease as it stands in the table.
type Row struct {
	ID
	Domain string `json:"domain"`
	// Address is where the holder listens. The next process that listens
	// there knows that the holder is gone.
	Address string `json:"address"`
	// Sequence grows with each write of the holder.
	Sequence uint64 `json:"sequence"`
	// Regime is the last regime that ended before the holder's last write.
	Regime    uint64 `json:"regime,omitempty"`
	Successor ID     `json:"successor"`
	Leaving   bool   `json:"leaving,omitempty"`
	// Gone says that the process which held the lease has ended.
	Gone bool `json:"gone,omitempty"`
	// Over ends the lease for good.
	Over bool `json:"over,omitempty"`
}

// Stored is a row with its version in the table.
type Stored struct {
	Row
	Version int64
}

// successorOf returns the next lease after the host in a ring that goes round
// the failure domains, so that neighbours stand in different ones.
func successorOf(host string, rows []Row) ID {
	ring := slices.Clone(rows)
	slices.SortFunc(ring, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Host, b.Host))
	})
	ranks := make(map[string]int)
	rank := make(map[string]int)
	for _, r := range ring {
		rank[r.Host] = ranks[r.Domain]
		ranks[r.Domain]++
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
