package lend

import (
	"slices"
	"time"

	"magnoliahitch/steer/shift"
)

// Charge is an amount to spend from an account.
type Charge struct {
	Account shift.Account
	Units   int64
	// Expect is the predicted amount that the same work spends later.
	Expect int64
}

// Spend takes all charges at one moment, or none. It returns the account that
// had no room. Within is the time in which what is expected must be spent.
func (s *Spenders) Spend(now time.Time, within time.Duration, charges ...Charge) (shift.Account, bool) {
	accounts := make([]*account, len(charges))
	for i, c := range charges {
		a := s.account(c.Account)
		if a == nil {
			return c.Account, false
		}
		accounts[i] = a
		if c.Expect > 0 && !a.carries(now, c.Units+c.Expect, within) {
			a.note(c.Units + c.Expect)
			a.refused.Inc()
			return c.Account, false
		}
	}
	i, ok := take(now, accounts, charges, true)
	if !ok {
		accounts[i].refused.Inc()
		return charges[i].Account, false
	}
	for i, a := range accounts {
		a.expect(charges[i].Expect)
	}
	return shift.Account{}, true
}

// Expect changes the predicted amount of an account.
func (s *Spenders) Expect(name shift.Account, n int64) {
	if a := s.account(name); a != nil {
		a.expect(n)
	}
}

// note counts a refused demand, so that the host asks for a share.
func (a *account) note(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.Offer(n)
}

// take spends all charges under the locks of all accounts, which are taken in
// the order of names. Fresh charges count as demand. It returns the index of
// the account without room.
func take(now time.Time, accounts []*account, charges []Charge, fresh bool) (int, bool) {
	order := make([]*account, len(accounts))
	copy(order, accounts)
	slices.SortFunc(order, func(a, b *account) int { return a.before(b) })
	order = slices.Compact(order)
	for _, a := range order {
		a.mu.Lock()
		defer a.mu.Unlock()
	}
	short := -1
	for i, a := range accounts {
		if fresh {
			a.bucket.Offer(charges[i].Units)
		}
		if charges[i].Units > a.bucket.Room(now) {
			short = i
		}
	}
	if short >= 0 {
		return short, false
	}
	for i, a := range accounts {
		a.bucket.Retry(now, charges[i].Units)
		a.spent.Add(int(charges[i].Units))
	}
	return 0, true
}
