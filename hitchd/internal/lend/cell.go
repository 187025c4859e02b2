package lend

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"magnoliahitch/steer/budget"
	"magnoliahitch/steer/shift"
)

// cell is the state of a budget cell that this host keeps.
type cell struct {
	mu      sync.Mutex
	lenders map[shift.Unit]*budget.Lender[int64]
	// pace describes the growth of a planned shift; planned is set for such a cell.
	pace    shift.Pace
	planned bool
	stepper *shift.Stepper
	// recovering is set for a cell that started without the share of its planned
	// shift. The share is then recovered from share requests until the lender starts to lend.
	recovering bool
}

// handover is the state that a keeper leaves to the next one when it stops.
type handover struct {
	Lent       map[shift.Unit]budget.Handover[int64] `msgpack:"lent"`
	ShiftShare float64                               `msgpack:"moved"`
	// Recovering is set when the keeper hasn't recovered the current share yet, so that
	// the next one must go on recovering it.
	Recovering bool `msgpack:"learns"`
}

// units are the units of every cell. The requests of a link are never lent, because
// their cap is 0.
var units = []shift.Unit{shift.Requests, shift.Bytes}

// newCell returns a cell that continues from the handover. Without a handover, or with
// one that can't be decoded, the cell lends nothing until all earlier grants have
// expired, and recovers the share of a planned shift meanwhile. The cell is usable also
// when an error is returned.
func newCell(now time.Time, data []byte) (*cell, error) {
	c := &cell{lenders: make(map[shift.Unit]*budget.Lender[int64], len(units))}
	for _, u := range units {
		c.lenders[u] = budget.NewLender[int64](now)
	}
	c.stepper, c.recovering = shift.NewStepper(now, 0), true
	if len(data) == 0 {
		return c, nil
	}
	var h handover
	if err := msgpack.Unmarshal(data, &h); err != nil {
		return c, errors.Wrap(err, "decode handover")
	}
	for _, u := range units {
		if b, ok := h.Lent[u]; ok {
			c.lenders[u] = budget.ResumeLender(now, b)
		}
	}
	c.stepper, c.recovering = shift.NewStepper(now, h.ShiftShare), h.Recovering
	return c, nil
}

// lendsFrom returns the time from which the lender of requests lends. It stands for those
// of all units.
func (c *cell) lendsFrom() time.Time { return c.lenders[shift.Requests].LendsFrom() }

// release closes the lenders and returns the encoded handover.
func (c *cell) release(now time.Time) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := handover{Lent: make(map[shift.Unit]budget.Handover[int64], len(units)), ShiftShare: c.stepper.Share(), Recovering: !c.shareKnown(now)}
	for u, l := range c.lenders {
		h.Lent[u] = l.Release(now)
	}
	return msgpack.Marshal(h)
}

// close closes the lenders, so that a share request that is already being handled gets no grant.
func (c *cell) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.lenders {
		l.Close()
	}
}

// shareKnown reports whether the current share of a planned shift is known. A keeper that
// took over without a handover recovers it from the share requests of the hosts until it starts to
// lend.
func (c *cell) shareKnown(now time.Time) bool { return !c.recovering || !now.Before(c.lendsFrom()) }

// step makes the next step of a planned shift when it is due, and calls changed for
// each change of the share. ShiftShare is the share that the requesting host received last. While
// the current share isn't known, step raises it to shiftShare, up to the goal.
func (c *cell) step(now time.Time, v shift.Loads, shiftShare float64, changed func(shift.Verdict)) {
	if !c.planned {
		return
	}
	if !c.shareKnown(now) {
		c.stepper.Adopt(now, min(shiftShare, c.pace.Goal))
		return
	}
	before := c.stepper.Share()
	verdict := c.stepper.Step(now, c.pace, v)
	if c.stepper.Share() != before {
		changed(verdict)
	}
}
