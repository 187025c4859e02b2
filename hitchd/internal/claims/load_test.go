package claims

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"magnoliahitch/links/mem"
)

// TestGroupsClaims sends 400 operations/s through six keepers to a store in
// another region. The store may get at most 200 writes/s, and the 99th
// percentile of the time of a claim may be at most two round trips. Each
// operation has its own record in the table and its own outcome.
func TestGroupsClaims(t *testing.T) {
	const (
		keepers   = 6
		rate      = 400
		seconds   = 20
		roundTrip = 70 * time.Millisecond
	)
	simulate(t, keepers, 3, func(_ context.Context, c *cluster) {
		c.store.SetFault(mem.Fault{Delay: roundTrip})
		var wg sync.WaitGroup
		var mu sync.Mutex
		var waits []time.Duration
		for i := range rate * seconds {
			wg.Go(func() {
				o := &operation{key: fmt.Sprint(keyPrefix, i), id: fmt.Sprint(i), done: make(chan struct{})}
				d := c.hosts[c.draw(keepers)]
				began := time.Now()
				rec, at, err := d.claims.claim(context.Background(), o)
				wait := time.Since(began)
				if err != nil {
					t.Errorf("claim %d: %v", i, err)
					return
				}
				d.claims.recordOutcome(o.key, at, rec.WithResponse(nil))
				mu.Lock()
				defer mu.Unlock()
				waits = append(waits, wait)
			})
			time.Sleep(time.Second / rate)
		}
		wg.Wait()
		_, writes := c.store.Counts()
		slices.Sort(waits)
		p99 := waits[len(waits)*99/100]
		t.Logf("%d operations, %.0f writes/s, claim p50 %s p99 %s", len(waits), float64(writes)/seconds, waits[len(waits)/2], p99)
		if got, want := float64(writes)/seconds, 200.0; got > want {
			t.Errorf("got %.0f writes/s, want at most %.0f", got, want)
		}
		if got, want := p99, 2*roundTrip; got > want {
			t.Errorf("got claim p99 %s, want at most %s", got, want)
		}
	})
}
