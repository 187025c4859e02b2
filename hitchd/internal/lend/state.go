package lend

import (
	"cmp"
	"slices"
	"time"

	"magnoliahitch/steer/place"
	"magnoliahitch/steer/shift"
)

// State is what this host lends of a cell, for operators.
type State struct {
	Key  place.Key
	Unit shift.Unit
	// Cap is in units a second, as is Lent.
	Cap, Lent int64
	Spenders  int
	// Opens is how long the lender still waits for its predecessor's loans.
	Opens time.Duration
	// Paced is set for moves and drains. Share is how far they have gone, Goal
	// where they go to.
	Paced       bool
	Share, Goal float64
	Paused      bool
}

// States returns the state of every budget that this host keeps, in order.
func (l *Lenders) States(now time.Time) []State {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var out []State
	for a, m := range l.amounts {
		if e := l.cells[a.Key]; e != nil && m.Cap > 0 {
			out = append(out, e.state(now, a, m))
		}
	}
	slices.SortFunc(out, func(a, b State) int {
		return cmp.Or(cmp.Compare(a.Key.String(), b.Key.String()), cmp.Compare(a.Unit, b.Unit))
	})
	return out
}

func (c *cell) state(now time.Time, a shift.Account, m shift.Amount) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.lenders[a.Unit]
	return State{
		Key: a.Key, Unit: a.Unit, Cap: m.Cap, Lent: d.Lent(now), Spenders: d.Spenders(now),
		Opens: max(0, d.Opens().Sub(now)),
		Paced: c.paced, Share: c.stepper.Share(), Goal: c.pace.Goal, Paused: c.pace.Paused,
	}
}
