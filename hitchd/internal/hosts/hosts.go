// Package hosts maintains this host's lease, its cells and its view of the other hosts.
//
// The table has a lease row for each host and an assignment for each region, which maps
// every cell to the lease of its keeper. [Hosts.Run] reads the rows at intervals, renews
// the lease, assigns vacant cells of its region, and starts and stops the tenants of the
// cells that this host gets and loses. While the table can't be reached, the lease is
// extended by pledges of its successor, as package lease describes.
//
// Hosts also send each other their status: the hosts of a failure domain to one another,
// and delegates of each domain a digest of it to delegates of the others.
package hosts

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
	"magnoliahitch/steer/lease"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

// Tenant runs the cells of one kind on this host.
type Tenant interface {
	// Acquire starts keeping a cell. A nil handover means that the former
	// keeper left none: all that it may have granted counts until it must have
	// expired.
	Acquire(now time.Time, k place.Key, handover []byte)
	// Release stops keeping a cell and returns the state for the next keeper.
	Release(now time.Time, k place.Key) (handover []byte)
}

// Peers sends a message to another host and decodes the response into out.
type Peers interface {
	Call(ctx context.Context, to member.Host, path string, in, out any) error
}

// Registrar registers the handlers of messages from other hosts.
type Registrar interface {
	Handle(pattern string, h http.Handler)
}

// Hosts is this host's view of all hosts, with its own lease and cells.
type Hosts struct {
	table       plat.Table
	peers       Peers
	log         hclog.Logger
	clock       func() time.Time
	keys        func() []place.Key
	leaseParams lease.Params

	// tenantsMu is held while cells are acquired and released. It is locked before
	// mu.
	tenantsMu sync.Mutex
	tenants   map[place.Kind]Tenant
	// readSignal requests a read of the table, stepSignal a step of the loop.
	readSignal chan struct{}
	stepSignal chan struct{}

	mu      sync.RWMutex
	self    member.Host
	node    *lease.Node
	regions map[string]*region
	// held are the cells that were acquired, with the lease that they were assigned
	// to.
	held map[place.Key]lease.ID
	// released are the handovers of the cells that this host has released and that
	// the table still assigns to it.
	released map[place.Key][]byte
	// firstSeen is when a lease was first read.
	firstSeen map[lease.ID]time.Time
	// assignedAt is when this host's last write of the assignment was confirmed.
	assignedAt time.Time
	// yielding is set once this host hands all its cells over.
	yielding bool
	// quickReadAt is when the last quick read of the table ended.
	quickReadAt time.Time
	// statuses are those of the local failure domain and of hosts that are leaving,
	// digests those of the other domains.
	statuses *member.Set
	digests  *member.Digests
	// source returns this host's loads and its revision in force.
	source   func(now time.Time) ([]member.Load, uint64)
	sequence uint64
	// period is the minimum time between two statuses. The next one is due at
	// nextStatus.
	period     time.Duration
	nextStatus time.Time
	// sentTaken is the number of takeovers in the last status, sentLeaving whether
	// it reported that this host is leaving.
	sentTaken   int
	sentLeaving bool
	// takenOver maps each lease that another host reports as taken over without the
	// table to the lease of that host.
	takenOver map[lease.ID]lease.ID
}

// Option sets a parameter of [New].
type Option func(*Hosts)

// WithClock sets the clock of leases. It must also advance while the machine is
// suspended.
func WithClock(now func() time.Time) Option { return func(h *Hosts) { h.clock = now } }

// WithKeys sets the function that returns the cells that need keepers.
func WithKeys(keys func() []place.Key) Option { return func(h *Hosts) { h.keys = keys } }

// WithLeaseParams sets the parameters of leases. They must be the same on all hosts.
func WithLeaseParams(t lease.Params) Option { return func(h *Hosts) { h.leaseParams = t } }

// New returns a view of the hosts that contains only self, without a lease.
func New(self member.Host, table plat.Table, peers Peers, log hclog.Logger, options ...Option) *Hosts {
	h := &Hosts{
		table:       table,
		peers:       peers,
		log:         log,
		clock:       clock.Now,
		keys:        func() []place.Key { return nil },
		leaseParams: lease.DefaultParams(),
		tenants:     make(map[place.Kind]Tenant),
		readSignal:  make(chan struct{}, 1),
		stepSignal:  make(chan struct{}, 1),
		self:        self,
		regions:     map[string]*region{self.Region: newRegion()},
		held:        make(map[place.Key]lease.ID),
		released:    make(map[place.Key][]byte),
		firstSeen:   make(map[lease.ID]time.Time),
		takenOver:   make(map[lease.ID]lease.ID),
		statuses:    member.NewSet(),
		digests:     member.NewDigests(),
		period:      time.Second,
	}
	for _, o := range options {
		o(h)
	}
	row := lease.Row{ID: lease.ID{Host: self.Name}, Domain: self.Domain, Address: self.PeerAddr}
	h.node = lease.NewNode(h.leaseParams, row, self.Incarnation)
	return h
}

// Register sets the tenant of the cells of a kind. It must be called before Run.
func (h *Hosts) Register(k place.Kind, t Tenant) { h.tenants[k] = t }

// Self returns this host.
func (h *Hosts) Self() member.Host {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.self
}

// Live returns the hosts that may be given work, in the order of names. This host is one
// of them unless it is leaving.
func (h *Hosts) Live() []member.Host {
	h.mu.RLock()
	defer h.mu.RUnlock()
	now := h.clock()
	var out []member.Host
	for _, r := range h.regions {
		for _, m := range r.live() {
			if m.Name != h.self.Name && !h.unavailable(now, m) {
				out = append(out, m)
			}
		}
	}
	if !h.self.Leaving {
		out = append(out, h.self)
	}
	slices.SortFunc(out, func(a, b member.Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// unavailable reports whether a host reports that it is leaving, or is in this host's own
// failure domain and hasn't sent a status for so long that it counts as dead. A status of
// another incarnation of the host is ignored.
func (h *Hosts) unavailable(now time.Time, m member.Host) bool {
	s, ok := h.statuses.Status(m.Name)
	if !ok || s.Host.Incarnation != m.Incarnation {
		return false
	}
	state, _ := h.statuses.State(now, m.Name)
	return s.Host.Leaving || state == member.Dead && m.Domain == h.self.Domain
}

// Keeper returns the keeper of the cell in this host's view: the host that the cell is
// assigned to, or the one that reports to have taken over its lease. It returns false
// when the cell isn't assigned or its host has no lease row.
func (h *Hosts) Keeper(now time.Time, k place.Key) (member.Host, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	r, ok := h.regions[k.Region]
	if !ok {
		return member.Host{}, false
	}
	holding, ok := r.cells[k]
	if !ok {
		return member.Host{}, false
	}
	if h.node.MayAct(now, holding.ID) {
		return h.self, true
	}
	if by, ok := h.takenOver[holding.ID]; ok {
		holding.ID = by
	}
	m, ok := r.hosts[holding.Host]
	return m, ok
}

// Holds reports whether this host keeps the cell at now: it has acquired and not released
// the cell, and the lease that the cell is assigned to is valid.
func (h *Hosts) Holds(now time.Time, k place.Key) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	id, ok := h.held[k]
	if !ok {
		return false
	}
	if _, released := h.released[k]; released {
		return false
	}
	return h.node.MayAct(now, id)
}
