package shift

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"magnoliahitch/steer/budget"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// Parameters of the simulation.
const (
	tick = 10 * time.Millisecond
	// leaseDuration is the validity of a keeper's lease from its last renewal.
	// After that time another host takes over.
	leaseDuration = 2 * time.Second
	serviceTime   = 50 * time.Millisecond
	responseSize  = 20_000
)

// simulatedHost is a host with a clock and buckets of its own. Its clock runs at rate
// times the true time, starting at epoch.
type simulatedHost struct {
	name, region string
	epoch        time.Time
	rate         float64
	buckets      map[BudgetKey]*budget.Bucket[int64]
	shares       map[place.Key]float64
	crashed      bool
	pausedUntil  time.Duration
	// partitioned means that the host and all keepers on other hosts can't reach
	// each other.
	partitioned bool
	responses   []response
}

// response is a response in a host's send queue. It spends from the budgets, and
// then runs when it has been sent completely.
type response struct {
	unsent     int64
	budgetKeys []BudgetKey
	then       func()
}

// budgetCell is the state of a budget cell: its keeper, the keeper's lease and what
// the keeper runs for the cell.
type budgetCell struct {
	key        place.Key
	keeper     *simulatedHost
	lenders    map[Unit]*budget.Lender[int64]
	stepper    *Stepper
	leaseUntil time.Duration
	lendsFrom  time.Time
}

// event is an action at a time of the simulation.
type event struct {
	at  time.Duration
	run func()
}

// simulation runs three regions with hosts, budget cells and one capacity cell each
// on virtual time. It records all spending that the budgets limit.
type simulation struct {
	t     testing.TB
	rand  *rand.Rand
	now   time.Duration
	conf  *config.Config
	rules *Rules
	sizes map[BudgetKey]BudgetSize
	paces map[place.Key]Pace
	// budgetKeys are the keys of sizes, sorted.
	budgetKeys []BudgetKey
	hosts      []*simulatedHost
	cells      map[place.Key]*budgetCell
	events     []event

	// storeDown means that no lease changes hands, noLoads that no load is known.
	storeDown, noLoads bool
	// failedRegions are regions whose hosts are all down, partitions pairs of regions
	// of which the first can't reach the second.
	failedRegions map[string]bool
	partitions    map[[2]string]bool
	// queueDelay is added to the queue delay that a region reports.
	queueDelay map[string]time.Duration
	// callRate is the number of requests a second of each region's callers.
	callRate map[string]int
	// slots is the number of slots of each region, busy those in use.
	slots map[string]int
	busy  map[string]int

	// spendings is the spending of each budget in the last window, peak the most
	// in any window.
	spendings map[BudgetKey][]spending
	peak      map[BudgetKey]int64
	// served counts the requests that ran by cause, ran by region, and refused the
	// others by reason.
	served  map[Cause]int
	ran     map[string]int
	refused map[result.Reason]int
}

// spending is an accepted spend at a time of the simulation.
type spending struct {
	at time.Duration
	n  int64
}

func newSimulation(t testing.TB, seed uint64, perRegion int, edits ...func(*config.Records)) *simulation {
	s := &simulation{
		t: t, rand: rand.New(rand.NewPCG(seed, 7)), cells: make(map[place.Key]*budgetCell),
		failedRegions: make(map[string]bool), partitions: make(map[[2]string]bool), queueDelay: make(map[string]time.Duration),
		callRate: map[string]int{"a": 60, "b": 60, "c": 60}, slots: map[string]int{"a": 30, "b": 30, "c": 30},
		busy: make(map[string]int), spendings: make(map[BudgetKey][]spending), peak: make(map[BudgetKey]int64),
		served: make(map[Cause]int), ran: make(map[string]int), refused: make(map[result.Reason]int),
	}
	for _, r := range []string{"a", "b", "c"} {
		for i := range perRegion {
			s.hosts = append(s.hosts, &simulatedHost{
				name: fmt.Sprint(r, i), region: r, rate: 1 + (s.rand.Float64()-0.5)/50,
				epoch:   time.Unix(s.rand.Int64N(1<<32), 0),
				buckets: make(map[BudgetKey]*budget.Bucket[int64]), shares: make(map[place.Key]float64),
			})
		}
	}
	s.configure(configOf(t, append([]func(*config.Records){withFloors(3 * perRegion)}, edits...)...))
	return s
}

// withFloors gives every budget a floor of a tenth of its cap for the number of hosts.
func withFloors(hosts int) func(*config.Records) {
	return func(r *config.Records) {
		for i := range r.Links {
			r.Links[i].FloorShare, r.Links[i].MaxHosts = 0.1, hosts
		}
		r.Profiles[0].ShiftFloorShare, r.Profiles[0].MaxHosts = 0.1, hosts
	}
}

func (s *simulation) configure(c *config.Config) {
	s.conf, s.rules, s.sizes, s.paces = c, NewRules(c), BudgetSizes(c), Paces(c)
	s.budgetKeys = s.budgetKeys[:0]
	for a := range s.sizes {
		s.budgetKeys = append(s.budgetKeys, a)
		if s.cells[a.Key] == nil {
			s.cells[a.Key] = &budgetCell{key: a.Key}
		}
	}
	slices.SortFunc(s.budgetKeys, func(a, b BudgetKey) int { return cmp.Compare(a.String(), b.String()) })
	for _, h := range s.hosts {
		for a, m := range s.sizes {
			if h.buckets[a] == nil {
				h.buckets[a] = budget.NewBucket(h.epoch, m.HostFloor)
			}
		}
	}
}

func (s *simulation) clock(h *simulatedHost) time.Time {
	return h.epoch.Add(time.Duration(float64(s.now) * h.rate))
}

func (s *simulation) up(h *simulatedHost) bool {
	return !h.crashed && !s.failedRegions[h.region] && s.now >= h.pausedUntil
}

func (s *simulation) reachable(a, b *simulatedHost) bool {
	return s.up(a) && s.up(b) && !a.partitioned && !b.partitioned && !s.partitions[[2]string{a.region, b.region}]
}

func (s *simulation) hostsIn(region string) []*simulatedHost {
	var out []*simulatedHost
	for _, h := range s.hosts {
		if h.region == region && s.up(h) {
			out = append(out, h)
		}
	}
	return out
}

func (s *simulation) after(d time.Duration, f func()) {
	s.events = append(s.events, event{s.now + d, f})
}

// run advances the time by d.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += tick
		s.deliver()
		for _, a := range s.cellKeys() {
			s.renewLease(s.cells[a])
		}
		for i, h := range s.hosts {
			if !s.up(h) {
				continue
			}
			if (int(s.now/tick)+i)%int(budget.RenewInterval/tick) == 0 {
				s.requestShares(h)
			}
			s.sendResponses(h)
		}
		s.arrive()
	}
}

func (s *simulation) cellKeys() []place.Key {
	out := make([]place.Key, 0, len(s.cells))
	for k := range s.cells {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b place.Key) int {
		return slices.Compare([]string{a.Region, a.Name}, []string{b.Region, b.Name})
	})
	return out
}

func (s *simulation) deliver() {
	var due []event
	s.events = slices.DeleteFunc(s.events, func(e event) bool {
		if e.at <= s.now {
			due = append(due, e)
		}
		return e.at <= s.now
	})
	for _, e := range due {
		e.run()
	}
}

// renewLease renews the lease of a keeper that runs. When the lease has expired and
// the store is up, it gives the cell to a host of the region. A keeper renews also
// while the store is down, as its successor's pledge allows that.
func (s *simulation) renewLease(c *budgetCell) {
	if c.keeper != nil && s.up(c.keeper) && s.now < c.leaseUntil {
		c.leaseUntil = s.now + leaseDuration
		return
	}
	if s.now < c.leaseUntil || s.storeDown {
		return
	}
	hosts := s.hostsIn(c.key.Region)
	if len(hosts) == 0 {
		return
	}
	h := hosts[s.rand.IntN(len(hosts))]
	c.keeper, c.leaseUntil = h, s.now+leaseDuration
	c.lenders = make(map[Unit]*budget.Lender[int64])
	c.stepper = NewStepper(s.clock(h), 0)
	for _, u := range []Unit{Requests, Bytes} {
		c.lenders[u] = budget.NewLender[int64](s.clock(h))
		c.lenders[u].Configure(s.clock(h), s.sizes[BudgetKey{c.key, u}].Cap, s.sizes[BudgetKey{c.key, u}].Floor)
		c.lendsFrom = c.lenders[u].LendsFrom()
	}
}

// requestShares sends the host's asks to the keepers of its budgets and applies their
// grants and shares of shifts. One ask in 50 is lost.
func (s *simulation) requestShares(h *simulatedHost) {
	for _, a := range s.budgetKeys {
		b, c := h.buckets[a], s.cells[a.Key]
		_, paced := s.paces[a.Key]
		if b.Idle(s.clock(h)) && !paced {
			continue
		}
		ask := b.NextRequest(s.clock(h), 0)
		if c.keeper == nil || s.rand.IntN(50) == 0 {
			continue
		}
		hostShare := h.shares[a.Key]
		s.after(s.delay(), func() {
			keeper := c.keeper
			if !s.reachable(h, keeper) && h != keeper || !s.up(keeper) || s.now >= c.leaseUntil {
				return
			}
			at, lender := s.clock(keeper), c.lenders[a.Unit]
			if at.Before(c.lendsFrom) {
				c.stepper.Adopt(at, hostShare)
			} else if paced {
				c.stepper.Step(at, s.paces[a.Key], s.viewOf(keeper))
			}
			g, ok := lender.Grant(at, h.name, ask)
			share, lends := c.stepper.Share(), !at.Before(c.lendsFrom)
			s.after(s.delay(), func() {
				if ok && s.up(h) {
					b.Apply(s.clock(h), g)
					if lends {
						h.shares[a.Key] = share
					}
				}
			})
		})
	}
}

func (s *simulation) delay() time.Duration {
	return time.Duration(s.rand.Int64N(int64(70 * time.Millisecond)))
}

// spend records spending and checks the cap in the window that ends now.
func (s *simulation) spend(a BudgetKey, n int64) {
	recent := append(s.spendings[a], spending{s.now, n})
	for recent[0].at <= s.now-budget.Window {
		recent = recent[1:]
	}
	s.spendings[a] = recent
	var sum int64
	for _, e := range recent {
		sum += e.n
	}
	s.peak[a] = max(s.peak[a], sum)
	if limit := s.sizes[a].Cap; sum > limit {
		s.t.Fatalf("%v: got %d spent of %s in the second before, want at most %d", s.now, sum, a, limit)
	}
}
