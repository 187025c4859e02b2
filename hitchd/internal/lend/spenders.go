package lend

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/shift"
)

// Hosts returns this host, the hosts that take work, and the keeper of a cell.
type Hosts interface {
	Self() member.Host
	Live() []member.Host
	Keeper(now time.Time, k place.Key) (member.Host, bool)
}

// Peers sends a message to another host and decodes the response into out.
type Peers interface {
	Call(ctx context.Context, to member.Host, path string, in, out any) error
}

// Spenders holds this host's bucket of each budget. Each bucket has its own lock.
type Spenders struct {
	hosts     Hosts
	peers     Peers
	local     *Lenders
	log       hclog.Logger
	startedAt time.Time

	mu       sync.RWMutex
	accounts map[shift.BudgetKey]*account
	shares   map[place.Key]*shiftShare
	// configured is set by the first call of Configure.
	configured bool

	// pending contains the hosts with a message that waits for its response.
	pendingMu sync.Mutex
	pending   map[string]bool
}

// shiftShare is the share of a planned shift that the keeper last reported.
type shiftShare struct {
	mu    sync.Mutex
	share float64
	// watched is set when share requests are sent also while nothing is spent, so that the
	// share stays current.
	watched bool
}

// NewSpenders returns the spenders of a process that started at startedAt, without
// buckets. Share requests for cells that this host keeps go to local without a message.
func NewSpenders(startedAt time.Time, hosts Hosts, peers Peers, local *Lenders, log hclog.Logger) *Spenders {
	return &Spenders{
		hosts: hosts, peers: peers, local: local, log: log, startedAt: startedAt,
		accounts: make(map[shift.BudgetKey]*account),
		shares:   make(map[place.Key]*shiftShare),
		pending:  make(map[string]bool),
	}
}

// Configure applies the configuration to the buckets, adds those of new budgets and
// removes those of deleted ones.
func (s *Spenders) Configure(now time.Time, c *config.Config) {
	sizes, paces := shift.BudgetSizes(c), shift.Paces(c)
	region := s.hosts.Self().Region
	s.mu.Lock()
	defer s.mu.Unlock()
	// A budget that is added later may be a renamed one that this process has
	// spent from. Its bucket starts now, so that it spends nothing for one window.
	startedAt := s.startedAt
	if s.configured {
		startedAt = now
	}
	for a, m := range sizes {
		if old := s.accounts[a]; old != nil {
			old.configure(now, m)
			continue
		}
		s.accounts[a] = newAccount(startedAt, a, m)
	}
	s.configured = true
	maps.DeleteFunc(s.accounts, func(a shift.BudgetKey, _ *account) bool { _, ok := sizes[a]; return !ok })
	for k, p := range paces {
		if s.shares[k] == nil {
			s.shares[k] = &shiftShare{watched: p.From == region}
		}
	}
	maps.DeleteFunc(s.shares, func(k place.Key, _ *shiftShare) bool { _, ok := paces[k]; return !ok })
}

// Share returns the share of a planned shift that its keeper last reported, or 0
// when there is no such shift. From the first call on, share requests for the shift are sent
// also while nothing is spent.
func (s *Spenders) Share(_ time.Time, k place.Key) float64 {
	m := s.shareOf(k)
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watched = true
	return m.share
}

func (s *Spenders) shareOf(k place.Key) *shiftShare {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.shares[k]
}

func (s *Spenders) account(a shift.BudgetKey) *account {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.accounts[a]
}

// floorInterval is the time between two comparisons of the number of hosts with the
// number that the floors are divided by.
const floorInterval = time.Second

// Run renews the shares and updates the floors until the context ends. The interval
// is the time between two checks for due share requests.
func (s *Spenders) Run(ctx context.Context, interval time.Duration) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	var floorsAt time.Time
	for {
		now := clock.Now()
		if now.Sub(floorsAt) >= floorInterval {
			s.updateFloors(now)
			floorsAt = now
		}
		s.renew(ctx, now)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// updateFloors compares the number of live hosts with the number that each floor is
// divided by. For a link only the hosts of this region count, as only they spend
// from it.
func (s *Spenders) updateFloors(now time.Time) {
	live := s.hosts.Live()
	inRegion := len(place.InRegion(live, s.hosts.Self().Region))
	s.mu.RLock()
	defer s.mu.RUnlock()
	for n, a := range s.accounts {
		count := len(live)
		if n.Key.Kind == place.Link {
			count = inRegion
		}
		a.updateFloor(now, count)
	}
}

// renew sends the due share requests, in one message for each keeper. It skips a keeper while
// an earlier message waits for its response: a bucket applies only the grant of its
// last share request, so a second message would make the response to the first useless.
func (s *Spenders) renew(ctx context.Context, now time.Time) {
	due := make(map[member.Host][]*account)
	for _, a := range s.due(now) {
		if host, ok := s.hosts.Keeper(now, a.name.Key); ok && len(due[host]) < maxRequestsPerMessage {
			due[host] = append(due[host], a)
		}
	}
	for host, list := range due {
		if !s.beginMessage(host.Name) {
			continue
		}
		go func() {
			defer s.endMessage(host.Name)
			s.sendRequests(ctx, host, list)
		}()
	}
}

// due returns the accounts whose next share request is due, in the order of names.
func (s *Spenders) due(now time.Time) []*account {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []*account
	for a, e := range s.accounts {
		m := s.shares[a.Key]
		if e.due(now, a.Unit == shift.Requests && m != nil && m.isWatched()) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *account) int { return a.compare(b) })
	return out
}

func (m *shiftShare) isWatched() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watched
}

// beginMessage records that a message to the host waits for its response. It returns false when
// an earlier one does.
func (s *Spenders) beginMessage(host string) bool {
	s.pendingMu.Lock()
	defer s.pendingMu.Unlock()
	if s.pending[host] {
		return false
	}
	s.pending[host] = true
	return true
}

// endMessage records that the message to the host has got its response or failed.
func (s *Spenders) endMessage(host string) {
	s.pendingMu.Lock()
	defer s.pendingMu.Unlock()
	delete(s.pending, host)
}

// requestTimeout is the maximum wait for the response to a message.
const requestTimeout = time.Second

// sendRequests sends one message with the share requests of the accounts to the keeper and applies the
// grants of its response. A failure is logged only; the accounts send their next
// share requests when these are due.
func (s *Spenders) sendRequests(ctx context.Context, host member.Host, list []*account) {
	self := s.hosts.Self()
	in := request{Process: fmt.Sprintf("%s/%d", self.Name, self.Incarnation)}
	for _, a := range list {
		in.Entries = append(in.Entries, a.nextRequest(clock.Now(), s.shareOf(a.name.Key)))
	}
	var out response
	if host.Name == self.Name {
		out = s.local.respond(in)
	} else {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		if err := s.peers.Call(ctx, host, lendPath, in, &out); err != nil {
			requestsFailed.Inc()
			s.log.Debug("send share requests to keeper", "host", host.Name, "asks", len(in.Entries), "error", err)
			return
		}
	}
	if len(out.Grants) != len(list) {
		s.log.Warn("response of keeper has another number of grants than requested", "host", host.Name, "asks", len(list), "grants", len(out.Grants))
		return
	}
	for i, a := range list {
		a.apply(clock.Now(), out.Grants[i], s.shareOf(a.name.Key))
	}
}
