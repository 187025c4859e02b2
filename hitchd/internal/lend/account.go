package lend

import (
	"cmp"
	"sync"
	"time"

	"magnoliahitch/steer/budget"
	"magnoliahitch/steer/shift"
)

// account is this host's bucket of a budget, with its metrics.
type account struct {
	name shift.BudgetKey
	meters

	mu     sync.Mutex
	bucket *budget.Bucket[int64]
	// expected is the number of units that admitted work is predicted to spend
	// and hasn't spent yet.
	expected int64
	// requestedAt is when the last share request was made.
	requestedAt time.Time
	size        shift.BudgetSize
}

func newAccount(startedAt time.Time, name shift.BudgetKey, m shift.BudgetSize) *account {
	return &account{
		name: name, meters: newMeters(name),
		bucket: budget.NewBucket(startedAt, m.HostFloor), size: m,
	}
}

// configure sets the size of the budget, and with it the floor.
func (a *account) configure(now time.Time, m shift.BudgetSize) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.size = m
	a.bucket.SetFloor(now, m.HostFloor)
}

// updateFloor sets the floor to 0 while there are more hosts than it is divided
// between. Otherwise their floors together would exceed the part that is never lent.
func (a *account) updateFloor(now time.Time, hosts int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	floor := a.size.HostFloor
	if hosts > a.size.Hosts {
		floor = 0
	}
	a.bucket.SetFloor(now, floor)
}

func (a *account) compare(b *account) int { return cmp.Compare(a.name.String(), b.name.String()) }

// due reports whether the next share request is due: [budget.RenewInterval] has passed since the last
// one, and the account is watched or its budget has a cap and demand. When the grant
// has expired, due sets the gauge of the share to 0.
func (a *account) due(now time.Time, watched bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !now.Before(a.bucket.Expires()) {
		a.lease.Set(0)
	}
	if now.Sub(a.requestedAt) < budget.RenewInterval {
		return false
	}
	return watched || a.size.Cap > 0 && (a.expected > 0 || !a.bucket.Idle(now))
}

// nextRequest returns the next share request of the bucket and records its time. For a planned shift
// it reports the share that this host received last.
func (a *account) nextRequest(now time.Time, m *shiftShare) requestEntry {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestedAt = now
	q := a.bucket.NextRequest(now, a.expected)
	k := a.name.Key
	e := requestEntry{
		Kind: k.Kind, Region: k.Region, Name: k.Name, Unit: a.name.Unit,
		Sequence: q.Sequence, Applied: q.Applied, Want: q.Want,
	}
	if m != nil {
		m.mu.Lock()
		e.ShiftShare = m.share
		m.mu.Unlock()
	}
	return e
}

// apply puts a grant into force and records the share of a planned shift. The entry of
// a host that doesn't keep the cell changes nothing.
func (a *account) apply(now time.Time, g grantEntry, m *shiftShare) {
	if !g.Held {
		return
	}
	a.mu.Lock()
	if g.Granted {
		a.bucket.Apply(now, budget.Grant[int64]{Sequence: g.Sequence, Share: g.Share})
		a.lease.Set(float64(g.Share))
	}
	a.mu.Unlock()
	if m != nil && g.ShiftShareKnown {
		m.mu.Lock()
		m.share = g.ShiftShare
		m.mu.Unlock()
	}
}

// addExpected adds n units, which may be negative, to the units that admitted work is
// predicted to spend. The sum never falls below 0.
func (a *account) addExpected(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expected = max(0, a.expected+n)
}

// fits reports whether n more units can be spent within the time at the current limit,
// together with those that admitted work is predicted to spend.
func (a *account) fits(now time.Time, n int64, within time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := float64(a.bucket.Limit(now))
	return float64(a.expected+n) <= limit*within.Seconds()
}
