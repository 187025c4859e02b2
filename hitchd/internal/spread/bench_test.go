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

// crowd is a host among many.
type crowd []member.Host

func (c crowd) Self() member.Host   { return c[0] }
func (c crowd) Live() []member.Host { return c }

// newCrowd returns hosts in failure domains of a hundred.
func newCrowd(hosts int) crowd {
	out := make(crowd, hosts)
	for i := range out {
		out[i] = member.Host{Name: fmt.Sprint("h", i), Domain: fmt.Sprint("d", i/100), Region: fmt.Sprint("r", i/330)}
	}
	return out
}

// BenchmarkTurns measures what a host does twice a second (choose pollers) and
// every two seconds (choose a host to ask).
func BenchmarkTurns(b *testing.B) {
	for _, n := range []int{20, 200, 2000, 6600} {
		s := New(mem.New(), view.New(), hclog.NewNullLogger(), WithPeers(newCrowd(n), nil))
		b.Run(fmt.Sprint("poll/hosts=", n), func(b *testing.B) {
			s.heard("h1", config.Mark{})
			for b.Loop() {
				s.polls()
			}
		})
		b.Run(fmt.Sprint("ask/hosts=", n), func(b *testing.B) {
			for b.Loop() {
				s.ahead()
				s.next()
			}
		})
	}
}

// BenchmarkTakePush measures bringing a pushed change into force, with
// configurations of several sizes.
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
				if _, err := s.takePush(pushMessage{Revision: e.Change.Revision, Entries: [][]byte{e.Raw}}); err != nil {
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
