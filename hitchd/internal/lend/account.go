package lend

import (
	"cmp"
	"sync"
	"time"

	"magnoliahitch/steer/budget"
	"magnoliahitch/steer/shift"
)

// account is this host's bucket of a budget.
type account struct {
	name shift.Account
	meters

	mu     sync.Mutex
	bucket *budget.Bucket[int64]
	// expected is the predicted size of admitted work that isn't spent yet.
	expected int64
	asked    time.Time
	amount   shift.Amount
}

func newAccount(born time.Time, name shift.Account, m shift.Amount) *account {
	return &account{
		name: name, meters: newMeters(name),
		bucket: budget.NewBucket(born, m.HostFloor), amount: m,
	}
}

func (a *account) configure(now time.Time, m shift.Amount) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.amount = m
	a.bucket.SetFloor(now, m.HostFloor)
}

// fit takes the floor away while there are more hosts than share it.
func (a *account) fit(now time.Time, hosts int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	floor := a.amount.HostFloor
	if hosts > a.amount.Hosts {
		floor = 0
	}
	a.bucket.SetFloor(now, floor)
}

func (a *account) before(b *account) int { return cmp.Compare(a.name.String(), b.name.String()) }

// due reports whether the account should ask now.
func (a *account) due(now time.Time, watched bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !now.Before(a.bucket.Expires()) {
		a.lease.Set(0)
	}
	if now.Sub(a.asked) < budget.Renew {
		return false
	}
	return watched || a.amount.Cap > 0 && (a.expected > 0 || !a.bucket.Idle(now))
}

func (a *account) ask(now time.Time, m *moved) askEntry {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked = now
	q := a.bucket.Ask(now, a.expected)
	k := a.name.Key
	e := askEntry{
		Kind: k.Kind, Region: k.Region, Name: k.Name, Unit: a.name.Unit,
		Sequence: q.Sequence, Applied: q.Applied, Want: q.Want,
	}
	if m != nil {
		m.mu.Lock()
		e.Moved = m.share
		m.mu.Unlock()
	}
	return e
}

func (a *account) apply(now time.Time, g grantEntry, m *moved) {
	if !g.Held {
		return
	}
	a.mu.Lock()
	if g.Granted {
		a.bucket.Apply(now, budget.Grant[int64]{Sequence: g.Sequence, Share: g.Share})
		a.lease.Set(float64(g.Share))
	}
	a.mu.Unlock()
	if m != nil && g.Known {
		m.mu.Lock()
		m.share = g.Moved
		m.mu.Unlock()
	}
}

// expect adds to the predicted size of admitted work.
func (a *account) expect(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expected = max(0, a.expected+n)
}

// carries reports whether what is expected, and n more, can be spent within
// the time at the present limit.
func (a *account) carries(now time.Time, n int64, within time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := float64(a.bucket.Limit(now))
	return float64(a.expected+n) <= limit*within.Seconds()
}
