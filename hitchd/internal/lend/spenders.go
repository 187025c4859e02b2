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

// Hosts tells who this host is and who keeps a cell.
type Hosts interface {
	Self() member.Host
	Live() []member.Host
	Keeper(now time.Time, k place.Key) (member.Host, bool)
}

// Teller sends a message to another host.
type Teller interface {
	Tell(ctx context.Context, to member.Host, path string, in, out any) error
}

// Spenders holds this host's bucket of each budget. Each has its own lock.
type Spenders struct {
	hosts  Hosts
	teller Teller
	local  *Lenders
	log    hclog.Logger
	born   time.Time

	mu       sync.RWMutex
	accounts map[shift.Account]*account
	moved    map[place.Key]*moved
	// configured is set once there was a configuration.
	configured bool

	busyMu sync.Mutex
	busy   map[string]bool
}

// moved is the present share of a planned shift as this host was last told.
type moved struct {
	mu    sync.Mutex
	share float64
	// watched shifts are asked for also when nothing is spent.
	watched bool
}

// NewSpenders returns the buckets of a process that started at born. Cells that
// this host keeps are asked at local.
func NewSpenders(born time.Time, hosts Hosts, teller Teller, local *Lenders, log hclog.Logger) *Spenders {
	return &Spenders{
		hosts: hosts, teller: teller, local: local, log: log, born: born,
		accounts: make(map[shift.Account]*account),
		moved:    make(map[place.Key]*moved),
		busy:     make(map[string]bool),
	}
}

// Configure brings the buckets to the configuration.
func (s *Spenders) Configure(now time.Time, c *config.Config) {
	amounts, paces := shift.Amounts(c), shift.Paces(c)
	region := s.hosts.Self().Region
	s.mu.Lock()
	defer s.mu.Unlock()
	// A budget that appears later may have had another name before, under
	// which this process spent.
	born := s.born
	if s.configured {
		born = now
	}
	for a, m := range amounts {
		if old := s.accounts[a]; old != nil {
			old.configure(now, m)
			continue
		}
		s.accounts[a] = newAccount(born, a, m)
	}
	s.configured = true
	maps.DeleteFunc(s.accounts, func(a shift.Account, _ *account) bool { _, ok := amounts[a]; return !ok })
	for k, p := range paces {
		if s.moved[k] == nil {
			s.moved[k] = &moved{watched: p.From == region}
		}
	}
	maps.DeleteFunc(s.moved, func(k place.Key, _ *moved) bool { _, ok := paces[k]; return !ok })
}

// Share returns the present share of a planned shift, as last told. From the
// first call on the host asks for it all the time.
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

func (s *Spenders) shareOf(k place.Key) *moved {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.moved[k]
}

func (s *Spenders) account(a shift.Account) *account {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.accounts[a]
}

// fitInterval is the time between two counts of the hosts that share floors.
const fitInterval = time.Second

// Run renews leases until the context ends.
func (s *Spenders) Run(ctx context.Context, interval time.Duration) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	var fitted time.Time
	for {
		now := clock.Now()
		if now.Sub(fitted) >= fitInterval {
			s.fit(now)
			fitted = now
		}
		s.renew(ctx, now)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// fit compares the number of hosts with those that the floors are divided
// over. Only hosts of its region spend from a link.
func (s *Spenders) fit(now time.Time) {
	live := s.hosts.Live()
	near := len(place.InRegion(live, s.hosts.Self().Region))
	s.mu.RLock()
	defer s.mu.RUnlock()
	for n, a := range s.accounts {
		count := len(live)
		if n.Key.Kind == place.Link {
			count = near
		}
		a.fit(now, count)
	}
}

// renew asks each keeper for the leases that are due, unless an ask to it is
// under way: a second one would make the answer to the first worthless.
func (s *Spenders) renew(ctx context.Context, now time.Time) {
	due := make(map[member.Host][]*account)
	for _, a := range s.due(now) {
		if host, ok := s.hosts.Keeper(now, a.name.Key); ok && len(due[host]) < asksPerMessage {
			due[host] = append(due[host], a)
		}
	}
	for host, list := range due {
		if !s.begin(host.Name) {
			continue
		}
		go func() {
			defer s.end(host.Name)
			s.ask(ctx, host, list)
		}()
	}
}

// due returns the accounts that ask now, in order.
func (s *Spenders) due(now time.Time) []*account {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []*account
	for a, e := range s.accounts {
		m := s.moved[a.Key]
		if e.due(now, a.Unit == shift.Requests && m != nil && m.isWatched()) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *account) int { return a.before(b) })
	return out
}

func (m *moved) isWatched() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watched
}

func (s *Spenders) begin(host string) bool {
	s.busyMu.Lock()
	defer s.busyMu.Unlock()
	if s.busy[host] {
		return false
	}
	s.busy[host] = true
	return true
}

func (s *Spenders) end(host string) {
	s.busyMu.Lock()
	defer s.busyMu.Unlock()
	delete(s.busy, host)
}

// askTimeout bounds the time for which an answer is waited for.
const askTimeout = time.Second

func (s *Spenders) ask(ctx context.Context, host member.Host, list []*account) {
	self := s.hosts.Self()
	in := request{Process: fmt.Sprintf("%s/%d", self.Name, self.Incarnation)}
	for _, a := range list {
		in.Asks = append(in.Asks, a.ask(clock.Now(), s.shareOf(a.name.Key)))
	}
	var out answer
	if host.Name == self.Name {
		out = s.local.answer(in)
	} else {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		if err := s.teller.Tell(ctx, host, path, in, &out); err != nil {
			asksFailed.Inc()
			s.log.Debug("ask for leases", "host", host.Name, "asks", len(in.Asks), "error", err)
			return
		}
	}
	if len(out.Grants) != len(list) {
		s.log.Warn("ask for leases", "host", host.Name, "asks", len(list), "grants", len(out.Grants))
		return
	}
	for i, a := range list {
		a.apply(clock.Now(), out.Grants[i], s.shareOf(a.name.Key))
	}
}
