// Package route sends a caller's request to the host that keeps its cell.
package route

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// Keepers tells which host keeps a cell.
type Keepers interface {
	Keeper(now time.Time, k place.Key) (member.Host, bool)
	Self() member.Host
}

// Forwarder sends a request to another host.
type Forwarder interface {
	Forward(ctx context.Context, to member.Host, r *call.Request) (*call.Answer, error)
}

// Router is the stage between the caller port and the keepers.
type Router struct {
	keepers Keepers
	local   call.Doer
	peers   Forwarder
	log     hclog.Logger
}

// New returns a router that serves this host's cells by local.
func New(keepers Keepers, local call.Doer, peers Forwarder, log hclog.Logger) *Router {
	return &Router{keepers: keepers, local: local, peers: peers, log: log}
}

// Do sends the request to the keeper of its cell.
func (t *Router) Do(ctx context.Context, r *call.Request) (*call.Answer, error) {
	keeper, ok := t.keepers.Keeper(clock.Now(), r.Cell.Key())
	if !ok {
		t.log.Info("route", "request", r.ID, "cell", r.Cell, "refused", result.ReasonNoKeeper)
		return nil, result.Refuse(result.ReasonNoKeeper, "find keeper", t.keepers.Self().Name)
	}
	t.log.Info("route", "request", r.ID, "service", r.Cell.Service, "class", r.Class, "cell", r.Cell, "keeper", keeper.Name)
	if keeper.Name == t.keepers.Self().Name {
		return t.local.Do(ctx, r)
	}
	return t.peers.Forward(ctx, keeper, r)
}
