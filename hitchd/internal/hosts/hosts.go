// Package hosts keeps this host's lease, its cells and its knowledge of the
// other hosts.
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

// Tenant is what keeps cells of one kind on this host.
type Tenant interface {
	// Acquire starts keeping a cell. A nil handover says that the keeper
	// before left nothing: all that it may have given out counts until it
	// must have lapsed.
	Acquire(now time.Time, k place.Key, handover []byte)
	// Release stops keeping a cell and returns what the next keeper needs.
	Release(now time.Time, k place.Key) (handover []byte)
}

// Peers reaches other hosts.
type Peers interface {
	Tell(ctx context.Context, to member.Host, path string, in, out any) error
}

// Handler takes the handlers of messages from other hosts.
type Handler interface {
	Handle(pattern string, h http.Handler)
}

// Hosts is the set of hosts that this host knows, and its part among them.
type Hosts struct {
	table plat.Table
	peers Peers
	log   hclog.Logger
	clock func() time.Time
	keys  func() []place.Key
	terms lease.Terms

	// turn is held by whoever acquires and releases cells.
	turn    sync.Mutex
	tenants map[place.Kind]Tenant
	wake    chan struct{}
	change  chan struct{}

	mu      sync.RWMutex
	self    member.Host
	node    *lease.Node
	regions map[string]*region
	// held are the cells that were acquired, by the lease they belong to.
	held map[place.Key]lease.ID
	// released are own cells on their way to another host.
	released map[place.Key][]byte
	// since is when a lease was first seen.
	since map[lease.ID]time.Time
	// assigned is when the own last change of the assignment became known.
	assigned time.Time
	// yielding is set once all cells are given away.
	yielding bool
	// tabled is when the last quick read of the table began.
	tabled time.Time
	// statuses are those of the own failure domain, digests the others'.
	statuses *member.Set
	digests  *member.Digests
	source   func(now time.Time) ([]member.Load, uint64)
	sequence uint64
	period   time.Duration
	nextTell time.Time
	// told and toldLeaving are what the last status said of takeovers and leaving.
	told        int
	toldLeaving bool
	// taken are the leases that other hosts say they took over.
	taken map[lease.ID]lease.ID
}

// Option changes the hosts.
type Option func(*Hosts)

// WithClock sets the clock of leases. It must count suspension.
func WithClock(now func() time.Time) Option { return func(h *Hosts) { h.clock = now } }

// WithKeys sets where the cells that need keepers come from.
func WithKeys(keys func() []place.Key) Option { return func(h *Hosts) { h.keys = keys } }

// WithTerms sets the times of leases. They must be the same on all hosts.
func WithTerms(t lease.Terms) Option { return func(h *Hosts) { h.terms = t } }

// New returns the set that holds self alone.
func New(self member.Host, table plat.Table, peers Peers, log hclog.Logger, options ...Option) *Hosts {
	h := &Hosts{
		table:    table,
		peers:    peers,
		log:      log,
		clock:    clock.Now,
		keys:     func() []place.Key { return nil },
		terms:    lease.DefaultTerms(),
		tenants:  make(map[place.Kind]Tenant),
		wake:     make(chan struct{}, 1),
		change:   make(chan struct{}, 1),
		self:     self,
		regions:  map[string]*region{self.Region: newRegion()},
		held:     make(map[place.Key]lease.ID),
		released: make(map[place.Key][]byte),
		since:    make(map[lease.ID]time.Time),
		taken:    make(map[lease.ID]lease.ID),
		statuses: member.NewSet(),
		digests:  member.NewDigests(),
		period:   time.Second,
	}
	for _, o := range options {
		o(h)
	}
	row := lease.Row{ID: lease.ID{Host: self.Name}, Domain: self.Domain, Address: self.PeerAddr}
	h.node = lease.NewNode(h.terms, row, self.Incarnation)
	return h
}

// Register sets who keeps the cells of a kind. It must be called before Run.
func (h *Hosts) Register(k place.Kind, t Tenant) { h.tenants[k] = t }

// Self returns this host.
func (h *Hosts) Self() member.Host {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.self
}

// Live returns the hosts that may be given work, in the order of names.
func (h *Hosts) Live() []member.Host {
	h.mu.RLock()
	defer h.mu.RUnlock()
	now := h.clock()
	var out []member.Host
	for _, r := range h.regions {
		for _, m := range r.live() {
			if m.Name != h.self.Name && !h.away(now, m) {
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

// away reports whether a host says that it is leaving, or has been silent in
// this host's own failure domain for so long that it counts as dead.
func (h *Hosts) away(now time.Time, m member.Host) bool {
	s, ok := h.statuses.Status(m.Name)
	if !ok || s.Host.Incarnation != m.Incarnation {
		return false
	}
	state, _ := h.statuses.State(now, m.Name)
	return s.Host.Leaving || state == member.Dead && m.Domain == h.self.Domain
}

// Keeper returns the host that keeps the cell, as far as this host knows.
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
	if h.node.Acts(now, holding.ID) {
		return h.self, true
	}
	if by, ok := h.taken[holding.ID]; ok {
		holding.ID = by
	}
	m, ok := r.hosts[holding.Host]
	return m, ok
}

// Holds reports whether this host keeps the cell at now.
func (h *Hosts) Holds(now time.Time, k place.Key) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	id, ok := h.held[k]
	if !ok {
		return false
	}
	if _, gone := h.released[k]; gone {
		return false
	}
	return h.node.Acts(now, id)
}
