package main

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/admin"
	"magnoliahitch/hitchd/internal/blocks"
	"magnoliahitch/hitchd/internal/claims"
	"magnoliahitch/hitchd/internal/front"
	"magnoliahitch/hitchd/internal/hosts"
	"magnoliahitch/hitchd/internal/keep"
	"magnoliahitch/hitchd/internal/peer"
	"magnoliahitch/hitchd/internal/setup"
	"magnoliahitch/hitchd/internal/spread"
	"magnoliahitch/hitchd/internal/view"
	"magnoliahitch/links/clock"
	"magnoliahitch/platform"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/shift"
)

// Interval and timeout of the tables of callers' address blocks.
const (
	// blockTableInterval is the interval of checks for changed tables.
	blockTableInterval = 2 * time.Second
	// blockTableTimeout bounds each call to the object store. A table has about
	// 10 MB.
	blockTableTimeout = time.Minute
)

// node holds the components of an entry host, in the order of their dependencies.
type node struct {
	settings setup.Settings
	log      hclog.Logger

	view     *view.View
	client   *peer.Client
	hosts    *hosts.Hosts
	keeper   *keep.Keeper
	claims   *claims.Claims
	steering *steering
	spread   *spread.Spread
	blocks   *blocks.Tables
	reports  *reporter
	peers    *peer.Server
}

// newNode creates the components of a host and connects them. It starts nothing.
func newNode(s setup.Settings, keys *credentials, log hclog.Logger) *node {
	table := platform.NewStore(s.Platform.Store, platform.WithTimeout(s.Platform.Timeout))
	objects := platform.NewStore(s.Platform.Objects, platform.WithTimeout(blockTableTimeout))
	n := &node{settings: s, log: log, view: view.New(), client: peer.NewClient(keys.certs), peers: peer.NewServer(keys.certs)}
	n.hosts = hosts.New(self(s), table, n.client, log.Named("hosts"),
		hosts.WithKeys(func() []place.Key { return place.Keys(n.view.Config()) }))
	n.keeper = keep.New(s.Host.Name, n.hosts, log.Named("keep"), keep.WithPeers(n.client, n.hosts), keep.WithLeases(), keep.WithTable(table))
	n.view.Watch(func(c *config.Config) { n.keeper.Configure(clock.Now(), c) })
	n.blocks = blocks.New(objects, n.view, log.Named("blocks"))
	n.claims = claims.New(table, n.hosts, n.client, n.keeper, log.Named("claims"))
	n.steering = newSteering(n.hosts, n.claims, n.client, n.view, log)
	members := seededHosts{n.hosts, s.Platform.SeedHosts()}
	n.spread = spread.New(table, n.view, log.Named("spread"), spread.WithPeers(members, n.client), spread.WithObjects(objects))
	n.reports = newReporter(n.hosts, n.client, n.view, n.keeper, n.steering.lenders)
	n.registerCells()
	n.registerPeerHandlers()
	return n
}

// self returns this host as it is published to the others. The incarnation is the
// start time, so that a restarted host is distinct from its former process.
func self(s setup.Settings) member.Host {
	return member.Host{
		Name:         s.Host.Name,
		Region:       s.Host.Region,
		Domain:       s.Host.Domain,
		CallerAddr:   s.Listen.Caller,
		PeerAddr:     s.Listen.Peer,
		OperatorAddr: s.Listen.Operator,
		Incarnation:  uint64(time.Now().UnixNano()),
	}
}

// registerCells sets the component that serves each kind of cell that this host
// keeps, and the source of the loads that it reports.
func (n *node) registerCells() {
	n.hosts.Register(place.Capacity, n.keeper)
	n.hosts.Register(place.Link, n.steering.lenders)
	n.hosts.Register(place.Shift, n.steering.lenders)
	n.hosts.SetSource(func(now time.Time) ([]member.Load, uint64) {
		return n.keeper.Loads(now), n.view.Config().Revision
	})
}

// registerPeerHandlers registers the handlers of messages and requests from other
// hosts.
func (n *node) registerPeerHandlers() {
	n.hosts.Handle(n.peers)
	n.spread.Register(n.peers)
	n.claims.Handle(n.peers)
	n.steering.handle(n.peers)
	n.peers.Handle("POST /suspects", n.keeper.Suspects())
	n.peers.Handle("POST /ended", n.keeper.Ended())
	n.peers.Handle("POST "+reportPath, n.reports.handler())
}

// front returns the handler of the caller port.
func (n *node) front() *front.Front {
	return front.New(n.view, n.hosts, n.steering.router, n.log.Named("front"),
		front.WithLimits(n.settings.Caller), front.WithBlocks(n.blocks), front.WithServable(n.spread.Servable))
}

// admin returns the handler of the operator port. The token function returns the
// operators' token in use.
func (n *node) admin(token func() string) *admin.Admin {
	return admin.New(token, n.view, n.hosts, n.spread, n.log.Named("admin"),
		admin.WithChecks(shift.Faults), admin.WithReporter(n.reports), admin.WithExplainer(n.steering.router))
}
