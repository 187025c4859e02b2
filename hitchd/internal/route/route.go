// Package route forwards a caller's request to a host that can serve it.
//
// The plan of a request lists the capacity cells that may serve it, best first:
// the home cell of the caller, or cells in other regions within the budgets of
// the shift and of the link. The router charges the budgets of a cell and sends
// the request to its keeper, which is the host that holds the lease of the
// cell. It tries the next cell only after a proof that the request did not run.
// A request counts as lost when it was sent to a host that then failed or did
// not respond in time, so that the outcome is unknown. An idempotent request
// that was lost is sent again once, within the retry budget of its service.
package route

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/hitchd/internal/lend"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
	"magnoliahitch/steer/shift"
)

// Keepers provides the keeper of a cell, and this host.
type Keepers interface {
	Keeper(now time.Time, k place.Key) (member.Host, bool)
	Self() member.Host
}

// Forwarder sends a request to another host.
type Forwarder interface {
	Forward(ctx context.Context, to member.Host, r *call.Request) (*call.Response, error)
}

// RetryBudget limits retries to a share of the requests. CountRequest counts a
// request; Take takes a retry and reports whether the budget allowed it. SetShare changes
// the share and keeps what was counted.
type RetryBudget interface {
	CountRequest(now time.Time)
	Take(now time.Time) bool
	SetShare(share float64)
}

// Router is the stage that forwards requests from the caller port to keepers.
type Router struct {
	keepers       Keepers
	local         call.Doer
	peers         Forwarder
	spenders      *lend.Spenders
	loads         shift.Loads
	log           hclog.Logger
	responseSizes lend.Sizes
	reachable     reachability
	state         atomic.Pointer[routingState]

	// budgetMu guards all retry budgets.
	budgetMu sync.Mutex
	// newBudget makes the retry budget of a service.
	newBudget func(share float64) RetryBudget
}

// routingState is what is derived from a configuration.
type routingState struct {
	rules   *shift.Rules
	budgets map[string]RetryBudget
}

// New returns a router that passes requests for the cells of this host to
// local, and others to peers. Each service gets a retry budget with the share
// of its profile.
func New(keepers Keepers, local call.Doer, peers Forwarder, s *lend.Spenders, loads shift.Loads,
	newBudget func(share float64) RetryBudget, log hclog.Logger,
) *Router {
	t := &Router{keepers: keepers, local: local, peers: peers, spenders: s, loads: loads, newBudget: newBudget, log: log}
	t.Configure(&config.Config{})
	return t
}

// Configure applies the configuration. A service keeps its retry budget.
func (t *Router) Configure(c *config.Config) {
	s := &routingState{rules: shift.NewRules(c), budgets: make(map[string]RetryBudget, len(c.Services))}
	old := t.state.Load()
	t.budgetMu.Lock()
	defer t.budgetMu.Unlock()
	for n, v := range c.Services {
		share := c.Profiles[v.Profile].RetryShare
		if old != nil && old.budgets[n] != nil {
			s.budgets[n] = old.budgets[n]
			s.budgets[n].SetShare(share)
			continue
		}
		s.budgets[n] = t.newBudget(share)
	}
	t.state.Store(s)
}

// Do sends the request to the cells of its plan in order, until one serves it.
func (t *Router) Do(ctx context.Context, r *call.Request) (*call.Response, error) {
	self := t.keepers.Self()
	if r.Origin == "" {
		r.Origin = self.Region
	}
	r.Entry = self.Region
	body, err := readBody(r, self.Name)
	if err != nil {
		return nil, err
	}
	now := clock.Now()
	s := t.state.Load()
	q := shift.Request{ID: r.ID, Service: r.Cell.Service, Origin: r.Origin, HostRegion: self.Region, Regions: r.Regions}
	d := &dispatch{Router: t, state: s, request: r, body: body, plan: s.rules.Decide(now, q, view{t})}
	d.countRequest(now)
	return d.do(ctx)
}

// view provides the inputs of the decision on a request.
type view struct{ *Router }

// Load returns the load of the cell, as last reported.
func (v view) Load(now time.Time, c place.Cell) (member.Load, bool) { return v.loads.Load(now, c) }

// HasKeeper reports whether the cell has a keeper to which a request may be sent.
func (v view) HasKeeper(now time.Time, c place.Cell) bool {
	h, ok := v.keepers.Keeper(now, c.Key())
	return ok && v.reachable.allows(now, h.Name)
}

// Share returns the share of the traffic that a planned shift has moved so far.
func (v view) Share(now time.Time, k place.Key) float64 { return v.spenders.Share(now, k) }

// refuse returns the error of a request that did not run. The caller may retry
// after a second.
func (t *Router) refuse(reason result.Reason) error {
	return result.NewNotRun(reason, "route request", t.keepers.Self().Name).WithRetryAfter(time.Second)
}
