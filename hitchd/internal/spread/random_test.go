package spread

import (
	"errors"
	"fmt"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"magnoliahitch/links/mem"
	"magnoliahitch/steer/member"
)

// TestNothingAcceptedIsLost runs seeded mixtures of faults and commits. In the
// end all hosts must have the same history, which contains every change that a
// host reported as accepted, once. The revision of a host must never decrease.
func TestNothingAcceptedIsLost(t *testing.T) {
	for seed := range int64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, seed, 12)
				defer c.stop()
				time.Sleep(time.Second)
				c.requireInForce(inForceLimit, c.nodes[0].commit("first"))
				accepted := c.injectFaults(rand.New(rand.NewSource(seed)))
				c.clearFaults()
				last := c.nodes[0].revision()
				for _, n := range c.nodes {
					last = max(last, n.revision())
				}
				c.requireInForce(catchUpLimit, last)
				c.requireRising()
				for _, n := range c.nodes {
					if got, want := n.spread.heldChanges().End(), c.nodes[0].spread.heldChanges().End(); got != want {
						t.Errorf("host %s: got %v, want %v", n.self.Name, got, want)
					}
				}
				held := c.nodes[0].spread.heldChanges()
				for id, revision := range accepted {
					if e, ok := held.ByWriteID(id); !ok || e.Change.Revision != revision {
						t.Errorf("accepted change %s: got revision %d, want %d", id, e.Change.Revision, revision)
					}
				}
			})
		})
	}
}

// clearFaults ends every fault.
func (c *cluster) clearFaults() {
	c.store.SetFault(mem.Fault{})
	for _, n := range c.nodes {
		n.resume()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = nil
	for _, n := range c.nodes {
		n.storeUnreachable = false
	}
}

// injectFaults mixes faults with commits and returns the revisions of the
// accepted changes by write id.
func (c *cluster) injectFaults(random *rand.Rand) map[string]uint64 {
	accepted := make(map[string]uint64)
	old := c.store.Snapshot()
	for range 60 {
		n := c.nodes[random.Intn(len(c.nodes))]
		switch random.Intn(12) {
		case 0:
			c.store.SetFault(mem.Fault{Down: true})
		case 1:
			c.store.SetFault(mem.Fault{LoseCommits: 1 + random.Intn(3)})
		case 2:
			c.store.SetFault(mem.Fault{Delay: time.Duration(random.Intn(1000)) * time.Millisecond})
		case 3:
			n.pause()
		case 4:
			n.stop()
			n.start()
		case 5:
			region := n.self.Region
			c.mu.Lock()
			c.partitioned = func(a, b member.Host) bool { return (a.Region == region) != (b.Region == region) }
			for _, o := range c.nodes {
				o.storeUnreachable = o.self.Region == region
			}
			c.mu.Unlock()
		case 6:
			c.clearFaults()
		case 7:
			// The store is restored from an old copy while the hosts continue to run.
			c.clearFaults()
			time.Sleep(catchUpLimit)
			c.store.Restore(old)
		default:
			c.clearFaults()
			ch := n.change(fmt.Sprint("op", random.Intn(3)))
			ch.WriteID = fmt.Sprint("w", len(accepted), "-", random.Int63())
			e, err := n.commitChange(ch)
			var lost *Conflict
			switch {
			case err == nil:
				accepted[ch.WriteID] = e.Change.Revision
			case !errors.As(err, &lost) && !errors.Is(err, ErrUnknown):
				c.t.Errorf("commit at %s: got %v, want accepted or a conflict", n.self.Name, err)
			}
		}
		time.Sleep(time.Duration(random.Intn(3000)) * time.Millisecond)
	}
	return accepted
}
