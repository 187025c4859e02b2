package lend

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/peer"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/budget"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/shift"
)

// Holder tells whether this host keeps a cell.
type Holder interface {
	Holds(now time.Time, k place.Key) bool
}

// Lenders runs the budget cells that this host keeps. Each cell has its own lock.
type Lenders struct {
	holder Holder
	loads  shift.Loads
	log    hclog.Logger

	mu      sync.RWMutex
	amounts map[shift.Account]shift.Amount
	paces   map[place.Key]shift.Pace
	cells   map[place.Key]*cell
}

// NewLenders returns lenders for a host. Loads are those of the destinations
// of planned shifts.
func NewLenders(holder Holder, loads shift.Loads, log hclog.Logger) *Lenders {
	return &Lenders{holder: holder, loads: loads, log: log, cells: make(map[place.Key]*cell)}
}

// Configure brings every cell to the configuration. A cell without a record
// ends: if it comes back, it waits for what was lent and starts from no share.
func (l *Lenders) Configure(now time.Time, c *config.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.amounts, l.paces = shift.Amounts(c), shift.Paces(c)
	for k, e := range l.cells {
		if _, ok := l.amounts[shift.Account{Key: k, Unit: shift.Bytes}]; !ok {
			l.drop(k)
			continue
		}
		l.configure(now, k, e)
	}
}

func (l *Lenders) configure(now time.Time, k place.Key, e *cell) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for u := range e.lenders {
		a := l.amounts[shift.Account{Key: k, Unit: u}]
		e.lenders[u].Configure(now, a.Cap, a.Floor)
	}
	e.pace, e.paced = l.paces[k]
}

// Run keeps a lender for each cell that this host holds, until the context ends.
func (l *Lenders) Run(ctx context.Context, interval time.Duration) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		l.hold(clock.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// hold starts to lend the cells that this host has come to hold, ahead of the
// first ask, and forgets those that it has lost.
func (l *Lenders) hold(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for a := range l.amounts {
		held := l.holder.Holds(now, a.Key)
		_, known := l.cells[a.Key]
		if held && !known {
			l.acquire(now, a.Key, nil)
		}
		if !held && known {
			l.drop(a.Key)
		}
	}
}

// Acquire starts to lend a cell that this host has become the keeper of. The
// handover is what the predecessor's Release returned, or nil. It tells nothing
// of what this host may have lent of the cell meanwhile, so it isn't used then.
func (l *Lenders) Acquire(now time.Time, k place.Key, handover []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cells[k] != nil {
		handover = nil
	}
	l.acquire(now, k, handover)
}

func (l *Lenders) acquire(now time.Time, k place.Key, handover []byte) *cell {
	e, err := newCell(now, handover)
	if err != nil {
		l.log.Warn("read handover", "cell", k, "error", err)
	}
	l.configure(now, k, e)
	l.cells[k] = e
	l.log.Info("lending starts", "cell", k, "handover", len(handover) > 0 && err == nil, "opens", e.opens().Sub(now))
	return e
}

// Release ends the lending of a cell and returns what its next keeper must know.
func (l *Lenders) Release(now time.Time, k place.Key) []byte {
	l.mu.Lock()
	e := l.cells[k]
	l.drop(k)
	l.mu.Unlock()
	if e == nil {
		return nil
	}
	out, err := e.release(now)
	if err != nil {
		l.log.Warn("write handover", "cell", k, "error", err)
		return nil
	}
	return out
}

// Handler answers the asks of other hosts.
func (l *Lenders) Handler() http.Handler {
	return peer.Message(func(_ *http.Request, in request) (answer, error) { return l.answer(in), nil })
}

func (l *Lenders) answer(in request) answer {
	out := answer{Grants: make([]grantEntry, len(in.Asks))}
	for i, a := range in.Asks {
		out.Grants[i] = l.grant(in.Process, a)
	}
	return out
}

// grant answers one ask. A host that doesn't hold the cell's lease forgets what
// it lent, as another one may lend by now.
func (l *Lenders) grant(process string, a askEntry) grantEntry {
	k := a.key()
	e := l.cell(k)
	e.mu.Lock()
	defer e.mu.Unlock()
	// Read under the lock, so that no grant is older than the check of the lease.
	now := clock.Now()
	if !l.holder.Holds(now, k) {
		l.forget(k, e)
		return grantEntry{}
	}
	e.step(now, l.loads, a.Moved, func(v shift.Verdict) {
		movedGauge(k).Set(e.stepper.Share())
		l.log.Info("placement", "shift", k.Name, "verdict", v, "share", e.stepper.Share(), "goal", e.pace.Goal)
	})
	lender := e.lenders[a.Unit]
	if lender == nil {
		return grantEntry{}
	}
	g, ok := lender.Grant(now, process, budget.Ask[int64]{Sequence: a.Sequence, Applied: a.Applied, Want: a.Want})
	lentGauge(k, a.Unit).Set(float64(lender.Counted()))
	if l.log.IsDebug() {
		l.log.Debug("placement", "cell", k, "unit", a.Unit, "process", process, "want", a.Want, "share", g.Share, "granted", ok)
	}
	return grantEntry{
		Held: true, Granted: ok, Sequence: g.Sequence, Share: g.Share,
		Moved: e.stepper.Share(), Known: e.known(now),
	}
}

// cell returns the cell, which starts to lend if this is its first ask.
func (l *Lenders) cell(k place.Key) *cell {
	l.mu.RLock()
	e := l.cells[k]
	l.mu.RUnlock()
	if e != nil {
		return e
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.cells[k]; e != nil {
		return e
	}
	now := clock.Now()
	if !l.holder.Holds(now, k) {
		e, _ := newCell(now, nil)
		return e
	}
	return l.acquire(now, k, nil)
}

// forget drops a cell that was lost without a release.
func (l *Lenders) forget(k place.Key, e *cell) {
	go func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.cells[k] == e {
			l.drop(k)
		}
	}()
}

// drop takes the cell out and clears what its keeper shows.
func (l *Lenders) drop(k place.Key) {
	if e := l.cells[k]; e != nil {
		e.close()
	}
	delete(l.cells, k)
	for _, u := range units {
		lentGauge(k, u).Set(0)
	}
	movedGauge(k).Set(0)
}
