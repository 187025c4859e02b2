package lend

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"magnoliahitch/steer/budget"
	"magnoliahitch/steer/shift"
)

// cell is a budget cell that this host keeps.
type cell struct {
	mu      sync.Mutex
	lenders map[shift.Unit]*budget.Lender[int64]
	pace    shift.Pace
	paced   bool
	stepper *shift.Stepper
	// learns is set while the present share is learnt from the spenders.
	learns bool
}

// handover is what a keeper tells its successor.
type handover struct {
	Lent  map[shift.Unit]budget.Handover[int64] `msgpack:"lent"`
	Moved float64                               `msgpack:"moved"`
	// Learns is set when the keeper hasn't learnt the present share yet.
	Learns bool `msgpack:"learns"`
}

// units are those that every cell has; a link's requests are never lent, as
// their cap is zero.
var units = []shift.Unit{shift.Requests, shift.Bytes}

// newCell returns a cell that goes on from the handover. Without one, or when
// it can't be read, the cell waits until everything lent before has lapsed.
func newCell(now time.Time, data []byte) (*cell, error) {
	c := &cell{lenders: make(map[shift.Unit]*budget.Lender[int64], len(units))}
	for _, u := range units {
		c.lenders[u] = budget.NewLender[int64](now)
	}
	c.stepper, c.learns = shift.NewStepper(now, 0), true
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
	c.stepper, c.learns = shift.NewStepper(now, h.Moved), h.Learns
	return c, nil
}

func (c *cell) opens() time.Time { return c.lenders[shift.Requests].Opens() }

func (c *cell) release(now time.Time) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := handover{Lent: make(map[shift.Unit]budget.Handover[int64], len(units)), Moved: c.stepper.Share(), Learns: !c.known(now)}
	for u, l := range c.lenders {
		h.Lent[u] = l.Release(now)
	}
	return msgpack.Marshal(h)
}

// close ends the lending, also for an ask that is under way.
func (c *cell) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.lenders {
		l.Close()
	}
}

// known reports whether the present share is known: a keeper that took over
// without a handover learns it from the hosts before it lends.
func (c *cell) known(now time.Time) bool { return !c.learns || !now.Before(c.opens()) }

// step moves the share of a planned shift when it is time, and reports each
// change. Moved is the share that the asking host knows of.
func (c *cell) step(now time.Time, v shift.Loads, moved float64, changed func(shift.Verdict)) {
	if !c.paced {
		return
	}
	if !c.known(now) {
		c.stepper.Adopt(now, min(moved, c.pace.Goal))
		return
	}
	before := c.stepper.Share()
	verdict := c.stepper.Step(now, c.pace, v)
	if c.stepper.Share() != before {
		changed(verdict)
	}
}
