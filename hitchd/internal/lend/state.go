package lend

import (
	"cmp"
	"slices"
	"time"

	"magnoliahitch/steer/place"
	"magnoliahitch/steer/shift"
)

// State is the state of a budget that this host keeps, for operators.
type State struct {
	Key  place.Key
	Unit shift.Unit
	// Cap is the limit of the budget, Lent the sum of the shares that are lent,
	// both in units a second. Spenders is the number of processes with a share or
	// a recent share request.
	Cap, Lent int64
	Spenders  int
	// LendsIn is the time until the lender starts to lend. It is greater than 0
	// while grants of a former keeper may still be valid.
	LendsIn time.Duration
	// Planned is set for moves and drains. Share is the share of the traffic that
	// they shift now, Goal the share at which they are complete, both 0 to 1.
	// Paused is set while an operator holds the share.
	Planned     bool
	Share, Goal float64
	Paused      bool
}

// States returns the state of every budget with a cap that this host keeps, in the
// order of keys and units.
func (l *Lenders) States(now time.Time) []State {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var out []State
	for a, m := range l.sizes {
		if e := l.cells[a.Key]; e != nil && m.Cap > 0 {
			out = append(out, e.state(now, a, m))
		}
	}
	slices.SortFunc(out, func(a, b State) int {
		return cmp.Or(cmp.Compare(a.Key.String(), b.Key.String()), cmp.Compare(a.Unit, b.Unit))
	})
	return out
}

func (c *cell) state(now time.Time, a shift.BudgetKey, m shift.BudgetSize) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.lenders[a.Unit]
	return State{
		Key: a.Key, Unit: a.Unit, Cap: m.Cap, Lent: d.Lent(now), Spenders: d.Spenders(now),
		LendsIn: max(0, d.LendsFrom().Sub(now)),
		Planned: c.planned, Share: c.stepper.Share(), Goal: c.pace.Goal, Paused: c.pace.Paused,
	}
}
