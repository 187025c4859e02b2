package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// maxStep is the longest time that one step of a simulation takes.
const maxStep = 10 * time.Millisecond

// node is a simulated host: a clock, a bucket and, on the keeper, a lender. Its
// clock runs at rate times the true time, starting at epoch.
type node struct {
	name             string
	epoch            time.Time
	rate             float64
	bucket           *Bucket[Requests]
	incarnation      int
	pausedUntil      time.Duration
	partitionedUntil time.Duration
	lender           *Lender[Requests]
	// leaseUntil is the time at which the node's lease on the cell expires.
	leaseUntil time.Duration
}

// faults are the rates of faults in a simulation, in faults per 10,000 steps or
// messages.
type faults struct {
	lost, late, duplicated                            int
	restart, pause, partition, handover, pauseInGrant int
}

// randomFaults turns each kind of fault on or off at random.
func randomFaults(r *rand.Rand) faults {
	pick := func(n int) int { return n * r.IntN(2) }
	return faults{
		lost: pick(1000), late: pick(2000), duplicated: pick(2000),
		restart: pick(30), pause: pick(30), partition: pick(30), handover: pick(30), pauseInGrant: pick(300),
	}
}

// spending is an accepted spend at a true time.
type spending struct {
	at time.Duration
	n  Requests
}

// event is the delivery of a message or the end of a pause.
type event struct {
	at  time.Duration
	run func()
}

// simulation runs one lender and several buckets under random faults. Only the
// simulation reads the true time; each node has a clock of its own.
type simulation struct {
	t         *testing.T
	rand      *rand.Rand
	now       time.Duration
	nodes     []*node
	keeper    *node
	faults    faults
	limit     Requests
	floor     Requests
	events    []event
	spendings []spending

	spent, granted Requests
	takeovers      int
}

func newSimulation(t *testing.T, seed uint64, nodes int, limit, floor Requests) *simulation {
	s := &simulation{t: t, rand: rand.New(rand.NewPCG(seed, 1)), limit: limit, floor: floor}
	s.faults = randomFaults(s.rand)
	for i := range nodes {
		n := &node{name: fmt.Sprintf("host-%d", i), rate: 1 + (s.rand.Float64()-0.5)/50}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		s.restart(n)
	}
	s.takeOver(s.nodes[0], nil)
	return s
}

func (s *simulation) clock(n *node) time.Time {
	return n.epoch.Add(time.Duration(float64(s.now) * n.rate))
}

func (s *simulation) after(d time.Duration, f func()) {
	s.events = append(s.events, event{s.now + d, f})
}

// restart replaces the node's process. The new clock may differ by years.
func (s *simulation) restart(n *node) {
	n.epoch = time.Unix(s.rand.Int64N(1<<32), 0)
	n.incarnation++
	n.lender = nil
	n.bucket = NewBucket(s.clock(n), s.floor/Requests(len(s.nodes)))
}

func (s *simulation) takeOver(n *node, h *Handover[Requests]) {
	if h != nil {
		n.lender = ResumeLender(s.clock(n), *h)
	} else {
		n.lender = NewLender[Requests](s.clock(n))
	}
	n.lender.Configure(s.clock(n), s.limit, s.floor)
	n.leaseUntil = s.now + 2*time.Second
	s.keeper = n
	s.takeovers++
}

func (s *simulation) running(n *node) bool { return s.now >= n.pausedUntil }

func (s *simulation) chance(of10000 int) bool { return s.rand.IntN(10_000) < of10000 }

// send delivers the message f once, twice, late or never.
func (s *simulation) send(f func()) {
	copies := 1
	if s.chance(s.faults.duplicated) {
		copies = 2
	}
	for range copies {
		d := time.Duration(s.rand.Int64N(int64(20 * time.Millisecond)))
		if s.chance(s.faults.late) {
			d = time.Duration(s.rand.Int64N(int64(4 * time.Second)))
		}
		if !s.chance(s.faults.lost) {
			s.after(d, f)
		}
	}
}

// sendRequest sends the node's sendRequest to the keeper. The keeper may pause between the check
// of its own lease and the grant.
func (s *simulation) sendRequest(n *node) {
	process := fmt.Sprint(n.name, "/", n.incarnation)
	bucket, keeper := n.bucket, s.keeper
	a := bucket.NextRequest(s.clock(n), 0)
	s.send(func() {
		if !s.running(keeper) || keeper.lender == nil || s.now >= keeper.leaseUntil {
			return
		}
		at, lender := s.clock(keeper), keeper.lender
		grant := func() {
			g, ok := lender.Grant(at, process, a)
			if ok {
				s.granted += g.Share
				s.send(func() {
					if s.running(n) && n.bucket == bucket {
						bucket.Apply(s.clock(n), g)
					}
				})
			}
		}
		if s.chance(s.faults.pauseInGrant) {
			keeper.pausedUntil = max(keeper.pausedUntil, s.now+s.pause())
			s.after(keeper.pausedUntil-s.now, grant)
			return
		}
		grant()
	})
}

func (s *simulation) pause() time.Duration {
	return time.Duration(s.rand.Int64N(int64(5 * time.Second)))
}

// step advances the time and runs one random event.
func (s *simulation) step() {
	s.now += time.Duration(s.rand.Int64N(int64(maxStep)))
	s.deliver()
	if s.running(s.keeper) && s.keeper.lender != nil && s.now < s.keeper.leaseUntil {
		s.keeper.leaseUntil = s.now + 2*time.Second
	}
	n := s.nodes[s.rand.IntN(len(s.nodes))]
	switch f := s.faults; {
	case s.chance(f.restart):
		s.restart(n)
	case s.chance(f.pause):
		n.pausedUntil = max(n.pausedUntil, s.now+s.pause())
	case s.chance(f.partition):
		n.partitionedUntil = s.now + s.pause()
	case s.chance(f.handover) && s.running(s.keeper) && s.keeper.lender != nil && s.now < s.keeper.leaseUntil:
		h := s.keeper.lender.Release(s.clock(s.keeper))
		s.keeper.lender = nil
		s.takeOver(n, &h)
	case s.rand.IntN(10) == 0 && s.running(n) && s.now >= n.partitionedUntil:
		s.sendRequest(n)
	default:
		s.spend(n)
	}
	if s.now >= s.keeper.leaseUntil {
		s.takeOver(n, nil)
	}
}

func (s *simulation) deliver() {
	var due []event
	rest := s.events[:0]
	for _, e := range s.events {
		if e.at <= s.now {
			due = append(due, e)
		} else {
			rest = append(rest, e)
		}
	}
	s.events = rest
	for _, e := range due {
		e.run()
	}
}

// spend spends a few units or all that may be spent. In turn, each node has most
// of the demand for 4 s, so that the shares move between nodes.
func (s *simulation) spend(n *node) {
	amount := 1 + Requests(s.rand.IntN(8))
	if s.rand.IntN(2) == 0 {
		n = s.nodes[int(s.now/(4*time.Second))%len(s.nodes)]
		amount = max(amount, n.bucket.Available(s.clock(n)))
	}
	if !s.running(n) {
		return
	}
	if !n.bucket.Spend(s.clock(n), amount) {
		return
	}
	s.spent += amount
	s.spendings = append(s.spendings, spending{s.now, amount})
	var sum Requests
	for i := len(s.spendings) - 1; i >= 0 && s.spendings[i].at > s.now-Window; i-- {
		sum += s.spendings[i].n
	}
	if sum > s.limit {
		s.t.Fatalf("got %d units in the second before %v, want at most %d", sum, s.now, s.limit)
	}
}

func TestCapHoldsInEveryWindow(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSimulation(t, seed, 3+int(seed)%6, 100, 24)
			for range 20_000 {
				s.step()
			}
			if s.spent == 0 || s.granted == 0 {
				t.Errorf("got %d spent, %d granted, want both above 0", s.spent, s.granted)
			}
			t.Logf("%v: spent %d, %d a second, takeovers %d", s.now, s.spent, int(float64(s.spent)/s.now.Seconds()), s.takeovers)
		})
	}
}
