package lease

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "25")
	_ = flag.Set("rapid.nofailfile", "true")
}

// Bounds of the simulated ring.
const (
	simNodes    = 4
	simStep     = 250 * time.Millisecond
	simMaxDelay = 4 * time.Second
	simExtent   = 40 * time.Second
	// healSteps is the time in which every host must hold a lease again.
	healSteps = int(2 * simExtent / simStep)
)

// event is something that happens at a true time.
type event struct {
	at time.Duration
	do func()
}

// ring is a region of nodes with a table, on true time. Clocks differ in
// offset and rate.
type ring struct {
	random  *rand.Rand
	terms   Terms
	now     time.Duration
	events  []event
	table   map[string]Stored
	version int64
	nodes   [simNodes]*simNode
	down    bool
	slow    time.Duration
	cutLink [simNodes][simNodes]bool
	// calm stops losses and long delays.
	calm bool
	// retired are the nodes of processes that ended.
	retired []*simNode
	steps   int
	counts  Counts
}

type simNode struct {
	*Node
	index    int
	rate     float64
	offset   time.Duration
	paused   bool
	cutTable bool
	reading  bool
	writing  bool
	dead     bool
}

func newRing(seed uint64) *ring {
	r := &ring{random: rand.New(rand.NewPCG(seed, 1)), terms: DefaultTerms(), table: make(map[string]Stored)}
	r.terms.Extent = simExtent
	for i := range r.nodes {
		r.start(i)
	}
	return r
}

func (r *ring) start(i int) {
	row := Row{Domain: fmt.Sprintf("domain-%d", i%2), Address: fmt.Sprintf("127.0.0.1:%d", i)}
	row.Host = fmt.Sprintf("host-%d", i)
	r.nodes[i] = &simNode{
		Node:   NewNode(r.terms, row, uint64(r.now)+1),
		index:  i,
		rate:   1 + (r.random.Float64()-0.5)/100,
		offset: time.Duration(r.random.Int64N(int64(time.Hour))),
	}
}

// clock returns the node's present time.
func (r *ring) clock(n *simNode) time.Time {
	return time.Unix(0, 0).UTC().Add(n.offset + time.Duration(float64(r.now)*n.rate))
}

func (r *ring) after(d time.Duration, f func()) {
	r.events = append(r.events, event{r.now + d, f})
}

// delay is short mostly and long at times.
func (r *ring) delay() time.Duration {
	if !r.calm && r.random.IntN(20) == 0 {
		return time.Duration(r.random.Int64N(int64(simMaxDelay)))
	}
	return time.Duration(r.random.Int64N(int64(20 * time.Millisecond)))
}

func (r *ring) reaches(n *simNode) bool { return !r.down && !n.cutTable }

// step lets one interval pass: events that are due, then each node's turn.
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
		e.do()
		check()
	}
	for _, n := range r.nodes {
		if !n.paused {
			r.turn(n)
			check()
		}
	}
}

func (r *ring) turn(n *simNode) {
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
	n.Take(now)
	for _, p := range r.nodes {
		if p != n && !r.cutLink[n.index][p.index] {
			n.Heard(p.ID(), p.Taken(r.clock(p)))
		}
	}
	if m, ok := n.Message(now, r.reaches(n) && r.slow == 0); ok {
		r.send(n, m)
	}
}

func (r *ring) read(n *simNode, began time.Time) {
	r.after(r.slow+r.delay(), func() {
		if !r.reaches(n) {
			n.reading = false
			return
		}
		rows := make([]Stored, 0, len(r.table))
		for _, s := range r.table {
			rows = append(rows, s)
		}
		r.after(r.delay(), func() { r.resume(n, func() { n.reading = false; n.Observe(began, r.clock(n), rows) }) })
	})
}

// resume runs f once the node isn't paused.
func (r *ring) resume(n *simNode, f func()) {
	switch {
	case n.dead:
	case n.paused:
		r.after(simStep, func() { r.resume(n, f) })
	default:
		f()
	}
}

func (r *ring) write(n *simNode, w Write) {
	r.after(r.slow+r.delay(), func() {
		outcome := Failed
		var version int64
		if r.reaches(n) {
			outcome, version = r.commit(w)
		}
		if !r.calm && r.random.IntN(15) == 0 {
			outcome = Unknown
		}
		r.after(r.delay(), func() { r.resume(n, func() { n.writing = false; n.Settle(r.clock(n), w, outcome, version) }) })
	})
	if !r.calm && r.random.IntN(30) == 0 {
		// The write is answered as unknown now and takes effect later.
		r.resume(n, func() { n.writing = false; n.Settle(r.clock(n), w, Unknown, 0) })
	}
}

func (r *ring) commit(w Write) (Outcome, int64) {
	if r.table[w.Row.Host].Version != w.Version {
		return Conflicted, 0
	}
	r.version++
	r.table[w.Row.Host] = Stored{Row: w.Row, Version: r.version}
	return Committed, r.version
}

func (r *ring) send(n *simNode, m Message) {
	for range 1 + r.random.IntN(8)/7 {
		if r.calm || r.random.IntN(10) > 0 {
			r.after(r.delay(), func() { r.deliver(n, m) })
		}
	}
}

func (r *ring) deliver(n *simNode, m Message) {
	for _, p := range r.nodes {
		if p.self.Host != m.To.Host || r.cutLink[n.index][p.index] {
			continue
		}
		r.resume(p, func() {
			reply := p.Answer(r.clock(p), m)
			r.after(r.delay(), func() { r.resume(n, func() { n.Receive(reply) }) })
		})
	}
}

// restart ends the node's process and starts another at its address.
func (r *ring) restart(i int) {
	old := r.nodes[i]
	old.dead = true
	r.tally(old)
	r.start(i)
}

func (r *ring) tally(n *simNode) {
	c := n.Counts()
	r.counts.Renewals += c.Renewals
	r.counts.Pledged += c.Pledged
	r.counts.Evictions += c.Evictions
	r.counts.Takeovers += c.Takeovers
	r.counts.Regimes += c.Regimes
}

// fault returns what is wrong with the set of nodes that act.
func (r *ring) fault() string {
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
			if n.Acts(r.clock(n), id) {
				acting = append(acting, n.self.Host)
			}
		}
		if len(acting) > 1 {
			return fmt.Sprintf("at %v hosts %v act for %v", r.now, acting, id)
		}
		row := r.table[id.Host]
		if len(acting) > 0 && (row.Over || row.Term != id.Term) {
			return fmt.Sprintf("at %v hosts %v act for %v, which is over", r.now, acting, id)
		}
	}
	return ""
}

// disturb changes one thing at random.
func (r *ring) disturb(what, i, j int) {
	n := r.nodes[i]
	switch what {
	case 0:
		n.paused = !n.paused
	case 1:
		n.cutTable = !n.cutTable
	case 2:
		r.down = !r.down
	case 3:
		r.cutLink[i][j] = !r.cutLink[i][j]
	case 4:
		r.slow = 2*time.Second - r.slow
	case 5:
		r.restart(i)
	case 6:
		r.heal()
	}
}

func (r *ring) heal() {
	for _, n := range r.nodes {
		n.paused, n.cutTable = false, false
	}
	r.down, r.slow = false, 0
	r.cutLink = [simNodes][simNodes]bool{}
}

func TestRingHasOneHolderUnderRandomFaults(t *testing.T) {
	var total Counts
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		r := newRing(rapid.Uint64().Draw(t, "seed"))
		check := func() {
			if got := r.fault(); got != "" {
				t.Fatalf("got %s, want one host at most", got)
			}
		}
		for range rapid.IntRange(10, 40).Draw(t, "disturbances") {
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				r.step(check)
			}
			r.disturb(rapid.IntRange(0, 6).Draw(t, "what"), rapid.IntRange(0, simNodes-1).Draw(t, "host"), rapid.IntRange(0, simNodes-1).Draw(t, "peer"))
			check()
		}
		r.heal()
		r.calm = true
		for range healSteps {
			r.step(check)
		}
		for _, n := range r.nodes {
			if got := n.Valid(r.clock(n)); !got {
				t.Fatalf("got no lease at %s after the faults ended, want one", n.self.Host)
			}
			r.tally(n)
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
