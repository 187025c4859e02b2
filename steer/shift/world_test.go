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
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// Shape of the proofs' world.
const (
	worldTick = 10 * time.Millisecond
	// leaseTime is the keeper's lease, and the time that it stands still before
	// another host takes over.
	leaseTime   = 2 * time.Second
	serviceTime = 50 * time.Millisecond
	answerSize  = 20_000
)

// actor is a host with its clock and its buckets.
type actor struct {
	name, region string
	epoch        time.Time
	rate         float64
	buckets      map[Account]*budget.Bucket[int64]
	moved        map[place.Key]float64
	dead         bool
	frozenTil    time.Duration
	// cut keeps the host from all keepers.
	cut   bool
	queue []outgoing
}

// outgoing is an answer on its way out, which the accounts pace.
type outgoing struct {
	left     int64
	accounts []Account
	then     func()
}

// seat is the keeper's place of a budget cell.
type seat struct {
	key      place.Key
	holder   *actor
	lenders  map[Unit]*budget.Lender[int64]
	stepper  *Stepper
	validTil time.Duration
	opens    time.Time
}

type timed struct {
	at  time.Duration
	run func()
}

// world is three regions with hosts, budget cells and one capacity cell each,
// on virtual time. It counts everything that the budgets limit.
type world struct {
	t       testing.TB
	rand    *rand.Rand
	now     time.Duration
	conf    *config.Config
	rules   *Rules
	amounts map[Account]Amount
	paces   map[place.Key]Pace
	// accounts are those of amounts, in order.
	accounts []Account
	hosts    []*actor
	seats    map[place.Key]*seat
	events   []timed

	storeDown, blind bool
	// lost are regions without hosts, apart are pairs that don't reach each other.
	lost  map[string]bool
	apart map[[2]string]bool
	// slow is added to the queue delay that a region reports.
	slow map[string]time.Duration
	// calls are the requests a second of each region's callers.
	calls map[string]int
	slots map[string]int
	busy  map[string]int

	spent  map[Account][]spentAt
	peak   map[Account]int64
	served map[Cause]int
	ran    map[string]int
	refuse map[result.Reason]int
}

type spentAt struct {
	at time.Duration
	n  int64
}

func newWorld(t testing.TB, seed uint64, perRegion int, edits ...func(*config.Records)) *world {
	w := &world{
		t: t, rand: rand.New(rand.NewPCG(seed, 7)), seats: make(map[place.Key]*seat),
		lost: make(map[string]bool), apart: make(map[[2]string]bool), slow: make(map[string]time.Duration),
		calls: map[string]int{"a": 60, "b": 60, "c": 60}, slots: map[string]int{"a": 30, "b": 30, "c": 30},
		busy: make(map[string]int), spent: make(map[Account][]spentAt), peak: make(map[Account]int64),
		served: make(map[Cause]int), ran: make(map[string]int), refuse: make(map[result.Reason]int),
	}
	for _, r := range []string{"a", "b", "c"} {
		for i := range perRegion {
			w.hosts = append(w.hosts, &actor{
				name: fmt.Sprint(r, i), region: r, rate: 1 + (w.rand.Float64()-0.5)/50,
				epoch:   time.Unix(w.rand.Int64N(1<<32), 0),
				buckets: make(map[Account]*budget.Bucket[int64]), moved: make(map[place.Key]float64),
			})
		}
	}
	w.configure(configOf(t, append([]func(*config.Records){withFloors(3 * perRegion)}, edits...)...))
	return w
}

// withFloors gives every budget a floor of a tenth for so many hosts.
func withFloors(hosts int) func(*config.Records) {
	return func(r *config.Records) {
		for i := range r.Links {
			r.Links[i].FloorShare, r.Links[i].MaxHosts = 0.1, hosts
		}
		r.Profiles[0].ShiftFloorShare, r.Profiles[0].MaxHosts = 0.1, hosts
	}
}

func (w *world) configure(c *config.Config) {
	w.conf, w.rules, w.amounts, w.paces = c, NewRules(c), Amounts(c), Paces(c)
	w.accounts = w.accounts[:0]
	for a := range w.amounts {
		w.accounts = append(w.accounts, a)
		if w.seats[a.Key] == nil {
			w.seats[a.Key] = &seat{key: a.Key}
		}
	}
	slices.SortFunc(w.accounts, func(a, b Account) int { return cmp.Compare(a.String(), b.String()) })
	for _, h := range w.hosts {
		for a, m := range w.amounts {
			if h.buckets[a] == nil {
				h.buckets[a] = budget.NewBucket(h.epoch, m.HostFloor)
			}
		}
	}
}

func (w *world) clock(h *actor) time.Time {
	return h.epoch.Add(time.Duration(float64(w.now) * h.rate))
}

func (w *world) up(h *actor) bool { return !h.dead && !w.lost[h.region] && w.now >= h.frozenTil }

func (w *world) reach(a, b *actor) bool {
	return w.up(a) && w.up(b) && !a.cut && !b.cut && !w.apart[[2]string{a.region, b.region}]
}

func (w *world) hostsIn(region string) []*actor {
	var out []*actor
	for _, h := range w.hosts {
		if h.region == region && w.up(h) {
			out = append(out, h)
		}
	}
	return out
}

func (w *world) after(d time.Duration, f func()) { w.events = append(w.events, timed{w.now + d, f}) }

// run lets the time pass.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += worldTick
		w.deliver()
		for _, a := range w.keys() {
			w.sit(w.seats[a])
		}
		for i, h := range w.hosts {
			if !w.up(h) {
				continue
			}
			if (int(w.now/worldTick)+i)%int(budget.Renew/worldTick) == 0 {
				w.renew(h)
			}
			w.drainQueue(h)
		}
		w.arrive()
	}
}

func (w *world) keys() []place.Key {
	out := make([]place.Key, 0, len(w.seats))
	for k := range w.seats {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b place.Key) int {
		return slices.Compare([]string{a.Region, a.Name}, []string{b.Region, b.Name})
	})
	return out
}

func (w *world) deliver() {
	var due []timed
	w.events = slices.DeleteFunc(w.events, func(e timed) bool {
		if e.at <= w.now {
			due = append(due, e)
		}
		return e.at <= w.now
	})
	for _, e := range due {
		e.run()
	}
}

// sit renews the keeper's lease or, when that stood still and the store is
// up, gives the cell to another host of the region. A keeper that can't reach
// the store goes on by its successor's pledge.
func (w *world) sit(s *seat) {
	if s.holder != nil && w.up(s.holder) && w.now < s.validTil {
		s.validTil = w.now + leaseTime
		return
	}
	if w.now < s.validTil || w.storeDown {
		return
	}
	hosts := w.hostsIn(s.key.Region)
	if len(hosts) == 0 {
		return
	}
	h := hosts[w.rand.IntN(len(hosts))]
	s.holder, s.validTil = h, w.now+leaseTime
	s.lenders = make(map[Unit]*budget.Lender[int64])
	s.stepper = NewStepper(w.clock(h), 0)
	for _, u := range []Unit{Requests, Bytes} {
		s.lenders[u] = budget.NewLender[int64](w.clock(h))
		s.lenders[u].Configure(w.clock(h), w.amounts[Account{s.key, u}].Cap, w.amounts[Account{s.key, u}].Floor)
		s.opens = s.lenders[u].Opens()
	}
}

// renew asks for the leases of the host. One message in 50 is lost.
func (w *world) renew(h *actor) {
	for _, a := range w.accounts {
		b, s := h.buckets[a], w.seats[a.Key]
		_, paced := w.paces[a.Key]
		if b.Idle(w.clock(h)) && !paced {
			continue
		}
		ask := b.Ask(w.clock(h), 0)
		if s.holder == nil || w.rand.IntN(50) == 0 {
			continue
		}
		known := h.moved[a.Key]
		w.after(w.delay(), func() {
			k := s.holder
			if !w.reach(h, k) && h != k || !w.up(k) || w.now >= s.validTil {
				return
			}
			at, lender := w.clock(k), s.lenders[a.Unit]
			if at.Before(s.opens) {
				s.stepper.Adopt(at, known)
			} else if paced {
				s.stepper.Step(at, w.paces[a.Key], w.viewOf(k))
			}
			g, ok := lender.Grant(at, h.name, ask)
			share, told := s.stepper.Share(), !at.Before(s.opens)
			w.after(w.delay(), func() {
				if ok && w.up(h) {
					b.Apply(w.clock(h), g)
					if told {
						h.moved[a.Key] = share
					}
				}
			})
		})
	}
}

func (w *world) delay() time.Duration {
	return time.Duration(w.rand.Int64N(int64(70 * time.Millisecond)))
}

// spend records spending and checks the cap in the window that it ends.
func (w *world) spend(a Account, n int64) {
	log := append(w.spent[a], spentAt{w.now, n})
	for log[0].at <= w.now-budget.Window {
		log = log[1:]
	}
	w.spent[a] = log
	var sum int64
	for _, s := range log {
		sum += s.n
	}
	w.peak[a] = max(w.peak[a], sum)
	if limit := w.amounts[a].Cap; sum > limit {
		w.t.Fatalf("%v: got %d spent of %s in the second before, want at most %d", w.now, sum, a, limit)
	}
}

// hostView is what one host of the world knows.
type hostView struct {
	*world
	host *actor
}

func (w *world) viewOf(h *actor) hostView { return hostView{w, h} }

func (v hostView) Load(_ time.Time, c place.Cell) (member.Load, bool) {
	l := member.Load{
		Slots: v.slots[c.Region], Free: v.slots[c.Region] - v.busy[c.Region], QueueDelay: v.slow[c.Region],
	}
	return l, !v.blind && v.Alive(time.Time{}, c)
}

func (v hostView) Alive(_ time.Time, c place.Cell) bool {
	return slices.ContainsFunc(v.hosts, func(h *actor) bool { return h.region == c.Region && v.up(h) }) &&
		!v.apart[[2]string{v.host.region, c.Region}]
}

func (v hostView) Share(_ time.Time, k place.Key) float64 { return v.host.moved[k] }

// arrive makes this tick's requests. Callers of a lost region come to others.
func (w *world) arrive() {
	for _, r := range []string{"a", "b", "c"} {
		mean := float64(w.calls[r]) * worldTick.Seconds()
		for range int(2*mean*w.rand.Float64() + w.rand.Float64()) {
			hosts := w.hostsIn(r)
			for _, o := range []string{"a", "b", "c"} {
				if len(hosts) == 0 {
					hosts = w.hostsIn(o)
				}
			}
			if len(hosts) > 0 {
				w.route(hosts[w.rand.IntN(len(hosts))], r)
			}
		}
	}
}

// route follows the plan of a request.
func (w *world) route(h *actor, origin string) {
	q := Request{ID: fmt.Sprint(w.rand.Uint64()), Service: "care", Origin: origin, At: h.region}
	p := w.rules.Decide(w.clock(h), q, w.viewOf(h))
	reason := p.Reason()
	for _, o := range p.Options {
		if o.Cause == CauseOverflow && reason != result.ReasonQueueFull {
			break
		}
		if reason = w.take(h, o); reason == "" {
			w.served[o.Cause]++
			w.ran[o.Cell.Region]++
			return
		}
	}
	w.refuse[reason]++
}

func (w *world) take(h *actor, o Option) result.Reason {
	for _, k := range o.Shifts {
		if h.buckets[Account{k, Requests}].Room(w.clock(h)) < 1 {
			h.buckets[Account{k, Requests}].Offer(1)
			return result.ReasonShiftCap
		}
	}
	for _, k := range o.Shifts {
		h.buckets[Account{k, Requests}].Spend(w.clock(h), 1)
		w.spend(Account{k, Requests}, 1)
	}
	region := o.Cell.Region
	if w.busy[region] >= w.slots[region] {
		return result.ReasonQueueFull
	}
	w.busy[region]++
	w.after(serviceTime, func() { w.answer(h, o) })
	return ""
}

// answer sends an answer back over the link and to the caller.
func (w *world) answer(h *actor, o Option) {
	region := o.Cell.Region
	w.busy[region]--
	var caps []Account
	for _, k := range o.Shifts {
		caps = append(caps, Account{k, Bytes})
	}
	deliver := func() { h.queue = append(h.queue, outgoing{left: answerSize, accounts: caps}) }
	back, crosses := w.rules.links.Key(region, h.region)
	if hosts := w.hostsIn(region); crosses && len(hosts) > 0 {
		s := hosts[w.rand.IntN(len(hosts))]
		s.queue = append(s.queue, outgoing{left: answerSize, accounts: []Account{{back, Bytes}}, then: deliver})
		return
	}
	deliver()
}

// drainQueue sends what the buckets allow.
func (w *world) drainQueue(h *actor) {
	for len(h.queue) > 0 {
		q := &h.queue[0]
		n := q.left
		for _, a := range q.accounts {
			n = min(n, h.buckets[a].Room(w.clock(h)))
			h.buckets[a].Offer(q.left / 10)
		}
		for _, a := range q.accounts {
			h.buckets[a].Retry(w.clock(h), n)
			w.spend(a, n)
		}
		if q.left -= n; q.left > 0 {
			return
		}
		then := q.then
		h.queue = h.queue[1:]
		if then != nil {
			then()
		}
	}
}

func newBucketAt(born time.Time, m Amount) *budget.Bucket[int64] {
	return budget.NewBucket(born, m.HostFloor)
}
