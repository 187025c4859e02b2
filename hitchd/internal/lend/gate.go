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

// responseHeader is the number of bytes that are counted for the header of a response.
const responseHeader = 1 << 10

// Gate is the stage before the keeper for requests from other regions. It admits a
// request only if the link back to the entry region can carry the predicted response in
// time, and sends the response no faster than the budget of that link allows.
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

// Configure sets the links to those of the configuration.
func (g *Gate) Configure(c *config.Config) {
	links := shift.NewLinks(c)
	g.links.Store(&links)
}

// Do passes the request to the next stage. It refuses the request, before it runs, when
// there is no link back to its entry region or the budget of that link can't carry the
// predicted response. The outcome is unknown when the budget can't be spent for the
// header of a response before the context ends.
func (g *Gate) Do(ctx context.Context, r *call.Request) (*call.Response, error) {
	if r.Entry == "" || r.Entry == g.region {
		return g.next.Do(ctx, r)
	}
	backLink, ok := g.links.Load().Key(g.region, r.Entry)
	if !ok {
		return nil, result.NewNotRun(result.ReasonLinkBudget, "find link to region "+r.Entry, g.spenders.hosts.Self().Name)
	}
	name := shift.BudgetKey{Key: backLink, Unit: shift.Bytes}
	expected := WireSize(responseHeader + g.sizes.Predict(r.Cell.Service))
	now := clock.Now()
	charge := Charge{Account: name, Expected: expected}
	if _, ok := g.spenders.Spend(now, SpendWindow(r.Deadline.Sub(now)), charge); !ok {
		return nil, result.NewNotRun(result.ReasonLinkBudget, "spend from link "+backLink.Name, g.spenders.hosts.Self().Name).WithRetryAfter(time.Second)
	}
	a, err := g.next.Do(ctx, r)
	if err != nil {
		g.spenders.AddExpected(name, -expected)
		return nil, err
	}
	p := g.spenders.Pace(ctx, a.Body, expected, func(size int64) { g.sizes.Observe(r.Cell.Service, size) }, name)
	if err := p.spend(WireSize(responseHeader)); err != nil {
		_ = p.Close()
		return nil, result.NewUnknown(result.ReasonLinkBudget, "send response over link "+backLink.Name, g.spenders.hosts.Self().Name, err)
	}
	a.Body = p
	return a, nil
}

// SpendWindow returns the time within which the budgets must be able to carry a predicted
// response: half of the time left until the deadline, but at most [budget.GrantValidity].
func SpendWindow(left time.Duration) time.Duration { return min(left/2, budget.GrantValidity) }

// Sizes predicts the size of a response for each service. The zero value is ready to
// use, also by several goroutines.
type Sizes struct {
	mu       sync.Mutex
	services map[string]*budget.SizePredictor
}

// predictor returns the predictor of the service and adds it when there is none.
func (s *Sizes) predictor(service string) *budget.SizePredictor {
	if s.services == nil {
		s.services = make(map[string]*budget.SizePredictor)
	}
	if s.services[service] == nil {
		s.services[service] = &budget.SizePredictor{}
	}
	return s.services[service]
}

// Observe adds the size of a response of the service, in bytes.
func (s *Sizes) Observe(service string, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.predictor(service).Observe(size)
}

// Predict returns the size in bytes that most responses of the service don't exceed. See
// [budget.SizePredictor.Predict].
func (s *Sizes) Predict(service string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.predictor(service).Predict()
}
