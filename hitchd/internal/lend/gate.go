package lend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/budget"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/result"
	"magnoliahitch/steer/shift"
)

// answerHeader is the number of bytes counted for an answer's header.
const answerHeader = 1 << 10

// Gate is the stage before the keeper for requests from other regions. It
// admits a request only if its predicted answer can take the link back within
// the deadline, and sends the answer at the pace of that link's budget.
type Gate struct {
	region   string
	next     call.Doer
	spenders *Spenders
	links    atomic.Pointer[shift.Links]
	sizes    Sizes
}

// NewGate returns a gate of a host of the region.
func NewGate(region string, next call.Doer, s *Spenders) *Gate {
	g := &Gate{region: region, next: next, spenders: s}
	g.Configure(&config.Config{})
	return g
}

// Configure brings the gate to the configuration.
func (g *Gate) Configure(c *config.Config) {
	links := shift.NewLinks(c)
	g.links.Store(&links)
}

// Do passes the request on. It refuses one whose answer the link can't carry.
func (g *Gate) Do(ctx context.Context, r *call.Request) (*call.Answer, error) {
	if r.Entry == "" || r.Entry == g.region {
		return g.next.Do(ctx, r)
	}
	back, ok := g.links.Load().Key(g.region, r.Entry)
	if !ok {
		return nil, result.Refuse(result.ReasonLinkBudget, "find link to "+r.Entry, g.spenders.hosts.Self().Name)
	}
	name := shift.Account{Key: back, Unit: shift.Bytes}
	expect := WireSize(answerHeader + g.sizes.Predict(r.Cell.Service))
	now := clock.Now()
	charge := Charge{Account: name, Expect: expect}
	if _, ok := g.spenders.Spend(now, Within(r.Deadline.Sub(now)), charge); !ok {
		return nil, result.Refuse(result.ReasonLinkBudget, "spend from "+back.Name, g.spenders.hosts.Self().Name).WithRetryAfter(time.Second)
	}
	a, err := g.next.Do(ctx, r)
	if err != nil {
		g.spenders.Expect(name, -expect)
		return nil, err
	}
	p := g.spenders.Pace(ctx, a.Body, expect, func(size int64) { g.sizes.Observe(r.Cell.Service, size) }, name)
	if err := p.spend(WireSize(answerHeader)); err != nil {
		_ = p.Close()
		return nil, result.Lose(result.ReasonLinkBudget, "send answer over "+back.Name, g.spenders.hosts.Self().Name, err)
	}
	a.Body = p
	return a, nil
}

// Within returns the time in which an answer should have gone, when that much
// is left of the deadline.
func Within(left time.Duration) time.Duration { return min(left/2, budget.Life) }

// Sizes predicts the sizes of services' answers.
type Sizes struct {
	mu       sync.Mutex
	services map[string]*budget.Sizes
}

func (s *Sizes) of(service string) *budget.Sizes {
	if s.services == nil {
		s.services = make(map[string]*budget.Sizes)
	}
	if s.services[service] == nil {
		s.services[service] = &budget.Sizes{}
	}
	return s.services[service]
}

// Observe adds the size of an answer of the service, in bytes.
func (s *Sizes) Observe(service string, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.of(service).Observe(size)
}

// Predict returns the size that most answers of the service stay below, in bytes.
func (s *Sizes) Predict(service string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.of(service).Predict()
}
