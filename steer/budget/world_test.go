package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// tick is the greatest time between two events of a world.
const tick = 10 * time.Millisecond

// node is a host of a world: a clock, a bucket and, on a keeper, a lender.
type node struct {
	name      string
	epoch     time.Time
	rate      float64
	bucket    *Bucket[Requests]
	starts    int
	pausedTil time.Duration
	cutTil    time.Duration
	lender    *Lender[Requests]
	// validTil is the end of the node's lease on the cell.
	validTil time.Duration
}

// faults are the rates of faults in a world, in events of 10,000 steps or
// messages.
type faults struct {
	lost, late, doubled                   int
	restart, pause, cut, handover, inHand int
}

// randomFaults turns each kind of fault on or off.
func randomFaults(r *rand.Rand) faults {
	pick := func(n int) int { return n * r.IntN(2) }
	return faults{
		lost: pick(1000), late: pick(2000), doubled: pick(2000),
		restart: pick(30), pause: pick(30), cut: pick(30), handover: pick(30), inHand: pick(300),
	}
}

type spending struct {
	at time.Duration
	n  Requests
}

type event struct {
	at  time.Duration
	run func()
}

// world drives one lender and many spenders through random faults. Real time
// is known to it alone.
type world struct {
	t      *testing.T
	rand   *rand.Rand
	now    time.Duration
	nodes  []*node
	keeper *node
	faults faults
	limit  Requests
	floor  Requests
	events []event
	log    []spending

	spent, granted Requests
	takeovers      int
}

func newWorld(t *testing.T, seed uint64, nodes int, limit, floor Requests) *world {
	w := &world{t: t, rand: rand.New(rand.NewPCG(seed, 1)), limit: limit, floor: floor}
	w.faults = randomFaults(w.rand)
	for i := range nodes {
		n := &node{name: fmt.Sprintf("host-%d", i), rate: 1 + (w.rand.Float64()-0.5)/50}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		w.restart(n)
	}
	w.takeOver(w.nodes[0], nil)
	return w
}

func (w *world) clock(n *node) time.Time {
	return n.epoch.Add(time.Duration(float64(w.now) * n.rate))
}

func (w *world) after(d time.Duration, f func()) { w.events = append(w.events, event{w.now + d, f}) }

// restart gives the node a new process. Its clock may have been stepped by years.
func (w *world) restart(n *node) {
	n.epoch = time.Unix(w.rand.Int64N(1<<32), 0)
	n.starts++
	n.lender = nil
	n.bucket = NewBucket(w.clock(n), w.floor/Requests(len(w.nodes)))
}

func (w *world) takeOver(n *node, h *Handover[Requests]) {
	if h != nil {
		n.lender = ResumeLender(w.clock(n), *h)
	} else {
		n.lender = NewLender[Requests](w.clock(n))
	}
	n.lender.Configure(w.clock(n), w.limit, w.floor)
	n.validTil = w.now + 2*time.Second
	w.keeper = n
	w.takeovers++
}

func (w *world) awake(n *node) bool { return w.now >= n.pausedTil }

func (w *world) chance(of10000 int) bool { return w.rand.IntN(10_000) < of10000 }

// send delivers f once, twice, late or never.
func (w *world) send(f func()) {
	copies := 1
	if w.chance(w.faults.doubled) {
		copies = 2
	}
	for range copies {
		d := time.Duration(w.rand.Int64N(int64(20 * time.Millisecond)))
		if w.chance(w.faults.late) {
			d = time.Duration(w.rand.Int64N(int64(4 * time.Second)))
		}
		if !w.chance(w.faults.lost) {
			w.after(d, f)
		}
	}
}

// ask sends the node's ask to the keeper, which may be paused between the
// check of its lease and the grant.
func (w *world) ask(n *node) {
	process := fmt.Sprint(n.name, "/", n.starts)
	bucket, keeper := n.bucket, w.keeper
	a := bucket.Ask(w.clock(n), 0)
	w.send(func() {
		if !w.awake(keeper) || keeper.lender == nil || w.now >= keeper.validTil {
			return
		}
		at, lender := w.clock(keeper), keeper.lender
		grant := func() {
			g, ok := lender.Grant(at, process, a)
			if ok {
				w.granted += g.Share
				w.send(func() {
					if w.awake(n) && n.bucket == bucket {
						bucket.Apply(w.clock(n), g)
					}
				})
			}
		}
		if w.chance(w.faults.inHand) {
			keeper.pausedTil = max(keeper.pausedTil, w.now+w.pause())
			w.after(keeper.pausedTil-w.now, grant)
			return
		}
		grant()
	})
}

func (w *world) pause() time.Duration { return time.Duration(w.rand.Int64N(int64(5 * time.Second))) }

// step lets some time pass and something happen.
func (w *world) step() {
	w.now += time.Duration(w.rand.Int64N(int64(tick)))
	w.deliver()
	if w.awake(w.keeper) && w.keeper.lender != nil && w.now < w.keeper.validTil {
		w.keeper.validTil = w.now + 2*time.Second
	}
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	switch f := w.faults; {
	case w.chance(f.restart):
		w.restart(n)
	case w.chance(f.pause):
		n.pausedTil = max(n.pausedTil, w.now+w.pause())
	case w.chance(f.cut):
		n.cutTil = w.now + w.pause()
	case w.chance(f.handover) && w.awake(w.keeper) && w.keeper.lender != nil && w.now < w.keeper.validTil:
		h := w.keeper.lender.Release(w.clock(w.keeper))
		w.keeper.lender = nil
		w.takeOver(n, &h)
	case w.rand.IntN(10) == 0 && w.awake(n) && w.now >= n.cutTil:
		w.ask(n)
	default:
		w.spend(n)
	}
	if w.now >= w.keeper.validTil {
		w.takeOver(n, nil)
	}
}

func (w *world) deliver() {
	var due []event
	rest := w.events[:0]
	for _, e := range w.events {
		if e.at <= w.now {
			due = append(due, e)
		} else {
			rest = append(rest, e)
		}
	}
	w.events = rest
	for _, e := range due {
		e.run()
	}
}

// spend takes a few units or all there is. Some hosts are hot for a while, so
// that shares wander.
func (w *world) spend(n *node) {
	amount := 1 + Requests(w.rand.IntN(8))
	if w.rand.IntN(2) == 0 {
		n = w.nodes[int(w.now/(4*time.Second))%len(w.nodes)]
		amount = max(amount, n.bucket.Room(w.clock(n)))
	}
	if !w.awake(n) {
		return
	}
	if !n.bucket.Spend(w.clock(n), amount) {
		return
	}
	w.spent += amount
	w.log = append(w.log, spending{w.now, amount})
	var sum Requests
	for i := len(w.log) - 1; i >= 0 && w.log[i].at > w.now-Window; i-- {
		sum += w.log[i].n
	}
	if sum > w.limit {
		w.t.Fatalf("got %d units in the second before %v, want at most %d", sum, w.now, w.limit)
	}
}

func TestCapHoldsInEveryWindow(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newWorld(t, seed, 3+int(seed)%6, 100, 24)
			for range 20_000 {
				w.step()
			}
			if w.spent == 0 || w.granted == 0 {
				t.Errorf("got %d spent, %d granted, want some of each", w.spent, w.granted)
			}
			t.Logf("%v: spent %d, %d a second, takeovers %d", w.now, w.spent, int(float64(w.spent)/w.now.Seconds()), w.takeovers)
		})
	}
}
