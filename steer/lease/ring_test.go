package lease

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"magnoliahitch/steer/eras"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "25")
	_ = flag.Set("rapid.nofailfile", "true")
}

// Parameters of the simulated ring.
const (
	simNodes        = 4
	simStep         = 250 * time.Millisecond
	simMaxDelay     = 4 * time.Second
	simMaxExtension = 40 * time.Second
	// healSteps is the number of steps after the end of all faults within
	// which every host must hold a lease again.
	healSteps = int(2 * simMaxExtension / simStep)
)

// event is an action that is due at a time of the simulation.
type event struct {
	at  time.Duration
	run func()
}

// ring simulates a region of nodes with a table on one reference time. The
// nodes' clocks differ from it in offset and rate.
type ring struct {
	random      *rand.Rand
	params      Params
	now         time.Duration
	events      []event
	table       map[string]Stored
	at          eras.Position
	nodes       [simNodes]*simNode
	tableDown   bool
	tableDelay  time.Duration
	partitioned [simNodes][simNodes]bool
	// faultFree turns off lost messages, long delays and unknown outcomes.
	faultFree bool
	// retired holds the nodes of processes that have ended.
	retired []*simNode
	steps   int
	counts  Counts
}

type simNode struct {
	*Node
	index            int
	rate             float64
	offset           time.Duration
	paused           bool
	tableUnreachable bool
	reading          bool
	writing          bool
	stopped          bool
}

func newRing(seed uint64) *ring {
	r := &ring{random: rand.New(rand.NewPCG(seed, 1)), params: DefaultParams(), table: make(map[string]Stored)}
	r.params.MaxExtension = simMaxExtension
	for i := range r.nodes {
		r.startNode(i)
	}
	return r
}

func (r *ring) startNode(i int) {
	row := Row{Domain: fmt.Sprintf("domain-%d", i%2), Address: fmt.Sprintf("127.0.0.1:%d", i)}
	row.Host = fmt.Sprintf("host-%d", i)
	r.nodes[i] = &simNode{
		Node:   NewNode(r.params, row, uint64(r.now)+1),
		index:  i,
		rate:   1 + (r.random.Float64()-0.5)/100,
		offset: time.Duration(r.random.Int64N(int64(time.Hour))),
	}
}

// clock returns the current time on the node's clock.
func (r *ring) clock(n *simNode) time.Time {
	return time.Unix(0, 0).UTC().Add(n.offset + time.Duration(float64(r.now)*n.rate))
}

func (r *ring) schedule(d time.Duration, f func()) {
	r.events = append(r.events, event{r.now + d, f})
}

// delay returns a random delay that is usually short and sometimes long.
func (r *ring) delay() time.Duration {
	if !r.faultFree && r.random.IntN(20) == 0 {
		return time.Duration(r.random.Int64N(int64(simMaxDelay)))
	}
	return time.Duration(r.random.Int64N(int64(20 * time.Millisecond)))
}

func (r *ring) tableReachable(n *simNode) bool { return !r.tableDown && !n.tableUnreachable }

// step advances the time by one interval, runs the events that are due in
// random order, then each node that isn't paused.
func (r *ring) step(check func()) {
	r.now += simStep
	r.steps++
	var due, rest []event
	for _, e := range r.events {
		if e.at <= r.now {
			due = append(due, e)
		} else {
			rest = append(rest, e)
		}
	}
	r.events = rest
	r.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, e := range due {
		e.run()
		check()
	}
	for _, n := range r.nodes {
		if !n.paused {
			r.runNode(n)
			check()
		}
	}
}

func (r *ring) runNode(n *simNode) {
	now := r.clock(n)
	if !n.reading {
		n.reading = true
		r.read(n, now)
	}
	if !n.writing {
		if w, ok := n.Next(now); ok {
			n.writing = true
			r.write(n, w)
		}
	}
	n.TakeOver(now)
	for _, p := range r.nodes {
		if p != n && !r.partitioned[n.index][p.index] {
			n.RecordTakeovers(p.ID(), p.Taken(r.clock(p)))
		}
	}
	if m, ok := n.Message(now, r.tableReachable(n) && r.tableDelay == 0); ok {
		r.send(n, m)
	}
}

func (r *ring) read(n *simNode, began time.Time) {
	r.schedule(r.tableDelay+r.delay(), func() {
		if !r.tableReachable(n) {
			n.reading = false
			return
		}
		rows := make([]Stored, 0, len(r.table))
		for _, s := range r.table {
			rows = append(rows, s)
		}
		r.schedule(r.delay(), func() { r.whenRunning(n, func() { n.reading = false; n.Observe(began, r.clock(n), rows) }) })
	})
}

// whenRunning runs f as soon as the node isn't paused, or never if it has stopped.
func (r *ring) whenRunning(n *simNode, f func()) {
	switch {
	case n.stopped:
	case n.paused:
		r.schedule(simStep, func() { r.whenRunning(n, f) })
	default:
		f()
	}
}

func (r *ring) write(n *simNode, w Write) {
	r.schedule(r.tableDelay+r.delay(), func() {
		outcome := Failed
		var position eras.Position
		if r.tableReachable(n) {
			outcome, position = r.commit(w)
		}
		if !r.faultFree && r.random.IntN(15) == 0 {
			outcome = Unknown
		}
		r.schedule(r.delay(), func() {
			r.whenRunning(n, func() { n.writing = false; n.RecordOutcome(r.clock(n), w, outcome, position) })
		})
	})
	if !r.faultFree && r.random.IntN(30) == 0 {
		// The outcome is unknown at first; the write takes effect later.
		r.whenRunning(n, func() { n.writing = false; n.RecordOutcome(r.clock(n), w, Unknown, eras.Position{}) })
	}
}

func (r *ring) commit(w Write) (Outcome, eras.Position) {
	if r.table[w.Row.Host].At != w.At {
		return Conflicted, eras.Position{}
	}
	r.at.Version++
	r.table[w.Row.Host] = Stored{Row: w.Row, At: r.at}
	return Committed, r.at
}

func (r *ring) send(n *simNode, m Message) {
	for range 1 + r.random.IntN(8)/7 {
		if r.faultFree || r.random.IntN(10) > 0 {
			r.schedule(r.delay(), func() { r.deliver(n, m) })
		}
	}
}

func (r *ring) deliver(n *simNode, m Message) {
	for _, p := range r.nodes {
		if p.self.Host != m.To.Host || r.partitioned[n.index][p.index] {
			continue
		}
		r.whenRunning(p, func() {
			reply := p.Handle(r.clock(p), m)
			r.schedule(r.delay(), func() { r.whenRunning(n, func() { n.Receive(reply) }) })
		})
	}
}

// restart stops the node's process and starts another at its address.
func (r *ring) restart(i int) {
	old := r.nodes[i]
	old.stopped = true
	r.addCounts(old)
	r.startNode(i)
}

func (r *ring) addCounts(n *simNode) {
	c := n.Counts()
	r.counts.Renewals += c.Renewals
	r.counts.Pledged += c.Pledged
	r.counts.Evictions += c.Evictions
	r.counts.Takeovers += c.Takeovers
	r.counts.Regimes += c.Regimes
}

// violation describes a lease under which several nodes act, or one that has
// ended while a node acts under it. It returns "" if there is none.
func (r *ring) violation() string {
	leases := make(map[ID]bool)
	for _, n := range r.nodes {
		leases[n.ID()] = true
		for id := range n.watches {
			leases[id] = true
		}
	}
	for id := range leases {
		var acting []string
		for _, n := range r.nodes {
			if n.MayAct(r.clock(n), id) {
				acting = append(acting, n.self.Host)
			}
		}
		if len(acting) > 1 {
			return fmt.Sprintf("at %v hosts %v act for %v", r.now, acting, id)
		}
		row := r.table[id.Host]
		if len(acting) > 0 && (row.Ended || row.Term != id.Term) {
			return fmt.Sprintf("at %v hosts %v act for %v, which has ended", r.now, acting, id)
		}
	}
	return ""
}

// injectFault toggles a fault of node i or of the table, restarts node i, or heals
// the ring. The fault is a number from 0 to 6.
func (r *ring) injectFault(fault, i, j int) {
	n := r.nodes[i]
	switch fault {
	case 0:
		n.paused = !n.paused
	case 1:
		n.tableUnreachable = !n.tableUnreachable
	case 2:
		r.tableDown = !r.tableDown
	case 3:
		r.partitioned[i][j] = !r.partitioned[i][j]
	case 4:
		r.tableDelay = 2*time.Second - r.tableDelay
	case 5:
		r.restart(i)
	case 6:
		r.heal()
	}
}

func (r *ring) heal() {
	for _, n := range r.nodes {
		n.paused, n.tableUnreachable = false, false
	}
	r.tableDown, r.tableDelay = false, 0
	r.partitioned = [simNodes][simNodes]bool{}
}

func TestRingHasOneHolderUnderRandomFaults(t *testing.T) {
	var total Counts
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		r := newRing(rapid.Uint64().Draw(t, "seed"))
		check := func() {
			if got := r.violation(); got != "" {
				t.Fatalf("got %s, want one host at most", got)
			}
		}
		for range rapid.IntRange(10, 40).Draw(t, "faults") {
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				r.step(check)
			}
			r.injectFault(rapid.IntRange(0, 6).Draw(t, "fault"), rapid.IntRange(0, simNodes-1).Draw(t, "host"), rapid.IntRange(0, simNodes-1).Draw(t, "peer"))
			check()
		}
		r.heal()
		r.faultFree = true
		for range healSteps {
			r.step(check)
		}
		for _, n := range r.nodes {
			if got := n.Valid(r.clock(n)); !got {
				t.Fatalf("got no lease at %s after the faults ended, want one", n.self.Host)
			}
			r.addCounts(n)
		}
		steps += r.steps * simNodes
		total.Renewals += r.counts.Renewals
		total.Pledged += r.counts.Pledged
		total.Evictions += r.counts.Evictions
		total.Takeovers += r.counts.Takeovers
		total.Regimes += r.counts.Regimes
	})
	if want := 10_000; steps < want {
		t.Errorf("got %d steps, want at least %d", steps, want)
	}
	if total.Evictions == 0 || total.Takeovers == 0 || total.Regimes == 0 {
		t.Errorf("got %+v, want some of each", total)
	}
	t.Logf("%d steps: %+v", steps, total)
}
