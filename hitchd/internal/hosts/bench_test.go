package hosts

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/vmihailenco/msgpack/v5"

	"magnoliahitch/links/mem"
	"magnoliahitch/steer/eras"
	"magnoliahitch/steer/lease"
	"magnoliahitch/steer/member"
)

// BenchmarkStatus measures what one host sends in a period for different numbers of hosts. At
// the greatest number, twenty regions have 66 failure domains, at lower ones fewer.
func BenchmarkStatus(b *testing.B) {
	for _, n := range []int{6, 60, 600, 6600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newDelegate(n)
			now := h.clock()
			var size, targets int
			for b.Loop() {
				m, near, far := h.newStatus(now)
				data, err := msgpack.Marshal(m)
				if err != nil {
					b.Fatal(err)
				}
				size, targets = len(data), len(near)+len(far)
			}
			period := max(h.period, time.Duration(targets)*targetSpacing)
			b.ReportMetric(float64(size), "B/message")
			b.ReportMetric(float64(targets), "targets")
			b.ReportMetric(float64(targets)/period.Seconds(), "messages/s")
			b.ReportMetric(float64(size*targets)/period.Seconds(), "B/s")
		})
	}
}

// newDelegate returns a delegate that has the rows of n hosts and a digest of each domain.
func newDelegate(n int) *Hosts {
	domains := min(66, max(6, n/100))
	var self member.Host
	regions := make(map[string]*region)
	digests := member.NewDigests()
	now := time.Unix(1_000_000, 0)
	for i := range n {
		d := i % domains
		m := member.Host{
			Name: fmt.Sprintf("host-%05d", i), Region: fmt.Sprintf("region-%d", d%20), Domain: fmt.Sprintf("domain-%d", d),
			CallerAddr: "10.0.0.1:8000", PeerAddr: "10.0.0.1:8001", OperatorAddr: "10.0.0.1:8002",
		}
		if i == 0 {
			self = m
		}
		r := regions[m.Region]
		if r == nil {
			r = newRegion()
			regions[m.Region] = r
		}
		r.hosts[m.Name] = m
		r.leases = append(r.leases, lease.Stored{Row: lease.Row{ID: lease.ID{Host: m.Name, Term: 1}}, At: eras.Position{Version: 1}})
		digests.Merge(now, member.Digest{Region: m.Region, Domain: m.Domain, Revision: 1, Loads: make([]member.Load, 4)})
	}
	h := New(self, mem.New(), nil, hclog.NewNullLogger(), WithClock(func() time.Time { return now }))
	h.regions, h.digests = regions, digests
	return h
}
