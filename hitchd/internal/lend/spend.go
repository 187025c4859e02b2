package lend

import (
	"slices"
	"time"

	"magnoliahitch/steer/shift"
)

// Charge is an amount to spend from an account.
type Charge struct {
	Account shift.BudgetKey
	Units   int64
	// Expected is the predicted amount that the same work will spend later.
	Expected int64
}

// Spend spends all charges at once and returns true, or spends none and returns the
// account whose limit they would exceed. Within is the time in which the account must
// be able to spend all predicted amounts, those of admitted work included.
func (s *Spenders) Spend(now time.Time, within time.Duration, charges ...Charge) (shift.BudgetKey, bool) {
	accounts := make([]*account, len(charges))
	for i, c := range charges {
		a := s.account(c.Account)
		if a == nil {
			return c.Account, false
		}
		accounts[i] = a
		if c.Expected > 0 && !a.fits(now, c.Units+c.Expected, within) {
			a.addDemand(c.Units + c.Expected)
			a.refused.Inc()
			return c.Account, false
		}
	}
	i, ok := spendAll(now, accounts, charges, true)
	if !ok {
		accounts[i].refused.Inc()
		return charges[i].Account, false
	}
	for i, a := range accounts {
		a.addExpected(charges[i].Expected)
	}
	return shift.BudgetKey{}, true
}

// AddExpected adds n units, which may be negative, to the predicted amount of an account.
func (s *Spenders) AddExpected(name shift.BudgetKey, n int64) {
	if a := s.account(name); a != nil {
		a.addExpected(n)
	}
}

// addDemand counts n refused units as demand, so that the next share request covers them.
func (a *account) addDemand(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.AddDemand(n)
}

// spendAll spends all charges or none. It holds the locks of all accounts meanwhile and
// takes them in the order of names, so that no two calls deadlock. With countDemand the
// charges count as demand. When it returns false, the index is that of the last account
// whose limit its charge would exceed.
func spendAll(now time.Time, accounts []*account, charges []Charge, countDemand bool) (int, bool) {
	order := make([]*account, len(accounts))
	copy(order, accounts)
	slices.SortFunc(order, func(a, b *account) int { return a.compare(b) })
	order = slices.Compact(order)
	for _, a := range order {
		a.mu.Lock()
		defer a.mu.Unlock()
	}
	short := -1
	for i, a := range accounts {
		if countDemand {
			a.bucket.AddDemand(charges[i].Units)
		}
		if charges[i].Units > a.bucket.Available(now) {
			short = i
		}
	}
	if short >= 0 {
		return short, false
	}
	for i, a := range accounts {
		a.bucket.SpendOffered(now, charges[i].Units)
		a.spent.Add(int(charges[i].Units))
	}
	return 0, true
}
