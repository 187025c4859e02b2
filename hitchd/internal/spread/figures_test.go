package spread

import (
	"flag"
	"math/rand"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"magnoliahitch/links/mem"
)

// Sizes of the measured cluster.
var (
	figureHosts   = flag.Int("hosts", defaultHosts, "number of hosts")
	figureChanges = flag.Int("changes", 20, "number of changes of a distribution")
)

// storeDelay is the delay of a table in another region.
const storeDelay = 35 * time.Millisecond

// TestFigures measures on virtual time how long a change takes to come into
// force on all hosts, and its cost in messages, bytes and table reads. The
// results are logged.
func TestFigures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 7, *figureHosts)
		defer c.stop()
		random := rand.New(rand.NewSource(7))
		time.Sleep(5 * time.Second)
		c.requireInForce(inForceLimit, c.nodes[0].commit("first"))
		time.Sleep(10 * time.Second)
		c.store.SetFault(mem.Fault{Delay: storeDelay})
		c.dropExpired = true
		hosts, changes := float64(len(c.nodes)), float64(*figureChanges)
		const idle = 30 * time.Second
		messages, bytes, reads := c.cost(func() { time.Sleep(idle) })
		t.Logf("%d hosts idle: %.2f messages/s and %.0f bytes/s per host, %.1f table reads/s in all",
			len(c.nodes), messages/hosts/idle.Seconds(), bytes/hosts/idle.Seconds(), reads/idle.Seconds())

		for _, n := range c.nodes {
			if ok, at := n.spread.Current(time.Now()); !ok {
				t.Errorf("host %s: got not current since %v with the store up, want current", n.self.Name, time.Since(at))
			}
		}

		var times []time.Duration
		const pause = 2 * time.Second
		begin := time.Now()
		m, b, r := c.cost(func() {
			for range *figureChanges {
				n := c.nodes[random.Intn(len(c.nodes))]
				sent := time.Now()
				c.requireInForce(inForceLimit, n.commit("ann"))
				times = append(times, time.Since(sent))
				time.Sleep(pause)
			}
		})
		share := float64(time.Since(begin)) / float64(idle)
		t.Logf("in force on all of %d hosts after: %s", len(c.nodes), distribution(times))
		t.Logf("per change: %.2f messages and %.0f bytes per host, %.1f table reads",
			(m-messages*share)/hosts/changes, (b-bytes*share)/hosts/changes, (r-reads*share)/changes)

		times = nil
		for range *figureChanges {
			n := c.nodes[random.Intn(len(c.nodes))]
			n.pause()
			time.Sleep(time.Duration(random.Intn(1000)) * time.Millisecond)
			o := c.nodes[random.Intn(len(c.nodes))]
			for o == n {
				o = c.nodes[random.Intn(len(c.nodes))]
			}
			revision := o.commit("ann")
			time.Sleep(time.Duration(random.Intn(20000)) * time.Millisecond)
			n.resume()
			times = append(times, c.requireInForce(catchUpLimit, revision))
		}
		t.Logf("in force on all of %d hosts after a paused one resumed: %s", len(c.nodes), distribution(times))
		c.requireRising()
	})
}

// cost returns the number of messages, bytes and table reads during f.
func (c *cluster) cost(f func()) (messages, bytes, reads float64) {
	c.mu.Lock()
	m, b := c.messages, c.bytes
	c.mu.Unlock()
	r, _ := c.store.Counts()
	f()
	after, _ := c.store.Counts()
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.messages - m), float64(c.bytes - b), float64(after - r)
}

// distribution formats the quantiles of the times.
func distribution(times []time.Duration) string {
	slices.Sort(times)
	at := func(q float64) string { return times[int(q*float64(len(times)-1))].String() }
	return "p50 " + at(0.5) + ", p90 " + at(0.9) + ", p99 " + at(0.99) + ", max " + at(1)
}
