package spread

import (
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/view"
	"magnoliahitch/links/mem"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
)

// staticMembers is a fixed list of hosts. The first one is this host.
type staticMembers []member.Host

func (c staticMembers) Self() member.Host   { return c[0] }
func (c staticMembers) Live() []member.Host { return c }

// newStaticMembers returns hosts in failure domains of 100 hosts each.
func newStaticMembers(hosts int) staticMembers {
	out := make(staticMembers, hosts)
	for i := range out {
		out[i] = member.Host{Name: fmt.Sprint("h", i), Domain: fmt.Sprint("d", i/100), Region: fmt.Sprint("r", i/330)}
	}
	return out
}

// BenchmarkTurns measures the choice of the pollers, which a host makes twice a
// second, and that of the host to query, every two seconds.
func BenchmarkTurns(b *testing.B) {
	for _, n := range []int{20, 200, 2000, 6600} {
		s := New(mem.New(), view.New(), hclog.NewNullLogger(), WithPeers(newStaticMembers(n), nil))
		b.Run(fmt.Sprint("poll/hosts=", n), func(b *testing.B) {
			s.recordPosition("h1", config.Position{})
			for b.Loop() {
				s.isPoller()
			}
		})
		b.Run(fmt.Sprint("ask/hosts=", n), func(b *testing.B) {
			for b.Loop() {
				s.peerAhead()
				s.nextTarget()
			}
		})
	}
}

// BenchmarkTakePush measures how long a pushed change takes to come into force,
// for configurations of several sizes.
func BenchmarkTakePush(b *testing.B) {
	for _, n := range []int{100, 1500, 18000} {
		b.Run(fmt.Sprint("servers=", n), func(b *testing.B) {
			v := view.New()
			s := New(mem.New(), v, hclog.NewNullLogger())
			var r config.Records
			for i := range n {
				r.Servers = append(r.Servers, config.Server{Name: fmt.Sprint("s", i), Addr: "10.0.0.1:80"})
			}
			push := func(r config.Records) {
				c := v.Config()
				e, err := config.Encode(config.Change{Revision: c.Revision + 1, Prev: c.Digest, Puts: r})
				if err != nil {
					b.Fatal(err)
				}
				if _, err := s.handlePush(pushMessage{Revision: e.Change.Revision, Entries: [][]byte{e.Raw}}); err != nil {
					b.Fatal(err)
				}
			}
			push(r)
			for b.Loop() {
				push(config.Records{Servers: r.Servers[:1]})
			}
		})
	}
}
