package hosts

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/plat"
	"magnoliahitch/steer/lease"
)

// Intervals and timeouts of the loop.
const (
	// stepInterval is the maximum time between two steps of the loop.
	stepInterval = 250 * time.Millisecond
	// readsPerWideRead is the number of reads of which one covers all regions, and
	// the others only the local one.
	readsPerWideRead = 5
	// tableTimeout is the maximum duration of a read or a write of the table.
	tableTimeout = 2800 * time.Millisecond
	// messageTimeout is the maximum wait for the response to a message to a host.
	messageTimeout = time.Second
	// quickReadParts sets which reads count as quick: those that take less than the
	// length of a lease divided by it.
	quickReadParts = 6
)

// pageLimit is the maximum number of rows in one page of a read.
const pageLimit = 1000

// Run maintains the lease, the cells and the view of the other hosts until the context
// ends. It reads the table at each interval. Reads and writes of the table run in the
// background, one of each at a time, so that a slow table doesn't delay messages.
func (h *Hosts) Run(ctx context.Context, interval time.Duration) error {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	reading, writing := make(chan struct{}, 1), make(chan struct{}, 1)
	readDue := true
	var last time.Time
	for n := 0; ctx.Err() == nil; {
		h.contactSuccessor(ctx)
		h.sendStatuses(ctx)
		if now := h.clock(); readDue || now.Sub(last) >= interval {
			wide := n%readsPerWideRead == 0 || h.lacksAssignment()
			if startUnlessBusy(&calls, reading, func() { h.readTable(ctx, wide) }) {
				n++
				last, readDue = now, false
			}
		}
		startUnlessBusy(&calls, writing, func() { h.write(ctx) })
		select {
		case <-ctx.Done():
		case <-h.readSignal:
			readDue = true
		case <-h.stepSignal:
		case <-t.C:
		}
	}
	return nil
}

// startUnlessBusy calls f in the background and returns true, unless an earlier call with
// the same slot still runs.
func startUnlessBusy(calls *sync.WaitGroup, slot chan struct{}, f func()) bool {
	select {
	case slot <- struct{}{}:
	default:
		return false
	}
	calls.Go(func() {
		defer func() { <-slot }()
		f()
	})
	return true
}

// readTable reads the local region, or all regions when wide is set, and logs a failure.
func (h *Hosts) readTable(ctx context.Context, wide bool) {
	p := regionPrefix(h.self.Region)
	if wide {
		p = hostsPrefix
	}
	if err := h.read(ctx, p); err != nil && ctx.Err() == nil {
		h.log.Warn("read hosts from table", "error", err)
	}
}

// lacksAssignment reports whether this host hasn't read the assignment of some region that
// has cells. Without it, the keepers of these cells are unknown when the table becomes
// unreachable.
func (h *Hosts) lacksAssignment() bool {
	keys := h.keys()
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, k := range keys {
		if r := h.regions[k.Region]; r == nil || r.cells == nil {
			return true
		}
	}
	return false
}

// signal sends a signal unless one is pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// read reads the rows under the prefix, replaces the regions that it has read, and updates
// the tenants.
func (h *Hosts) read(ctx context.Context, prefix string) error {
	began := h.clock()
	rows, err := h.list(ctx, prefix)
	if err != nil {
		return err
	}
	regions, err := decode(rows)
	if err != nil {
		return err
	}
	now := h.clock()
	h.mu.Lock()
	local := regions[h.self.Region]
	if local == nil {
		local = newRegion()
		regions[h.self.Region] = local
	}
	h.observe(began, now, local)
	for name, r := range regions {
		h.regions[name] = r
	}
	if now.Sub(began) < h.leaseParams.Length/quickReadParts {
		h.quickReadAt = now
	}
	h.mu.Unlock()
	h.updateTenants(now)
	return nil
}

// list returns all rows under the prefix. It reads them page by page.
func (h *Hosts) list(ctx context.Context, prefix string) ([]plat.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	var out []plat.Row
	after := ""
	for {
		rows, err := h.table.List(ctx, prefix, after, pageLimit)
		if err != nil {
			return nil, errors.Wrapf(err, "list rows under %s", prefix)
		}
		out = append(out, rows...)
		if len(rows) < pageLimit {
			return out, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// observe updates the leases by a read of the local region, which began and ended at the
// given times, and records when each lease was first seen.
func (h *Hosts) observe(began, now time.Time, local *region) {
	if !began.After(h.assignedAt) {
		// The read may not contain this host's last write of the assignment.
		last := h.regions[h.self.Region]
		local.cells, local.at = last.cells, last.at
	}
	h.node.Observe(began, now, local.leases)
	firstSeen := make(map[lease.ID]time.Time, len(local.leases))
	for _, r := range local.leases {
		if t, ok := h.firstSeen[r.ID]; ok {
			firstSeen[r.ID] = t
		} else {
			firstSeen[r.ID] = now
		}
	}
	h.firstSeen = firstSeen
}

// write makes the write of a lease that is due, assigns cells and updates the metrics.
func (h *Hosts) write(ctx context.Context) {
	h.mu.Lock()
	w, ok := h.node.Next(h.clock())
	h.mu.Unlock()
	if ok && h.commitLease(ctx, w) && w.Purpose != lease.Renew {
		h.log.Info("lease written", "purpose", w.Purpose, "host", w.Row.Host, "term", w.Row.Term)
		signal(h.stepSignal)
		signal(h.readSignal)
	}
	h.assign(ctx)
	h.updateMetrics()
}

// commitLease writes a lease row and reports whether it was committed.
func (h *Hosts) commitLease(ctx context.Context, w lease.Write) bool {
	h.mu.RLock()
	host := h.self
	if w.Row.Host != host.Name {
		host = h.regions[host.Region].hosts[w.Row.Host]
	}
	region := h.self.Region
	h.mu.RUnlock()
	at, outcome := h.commit(ctx, leaseKey(region, w.Row.Host), w.At, leaseRow{Lease: w.Row, Host: host})
	now := h.clock()
	h.mu.Lock()
	h.node.RecordOutcome(now, w, outcome, at)
	h.mu.Unlock()
	if outcome != lease.Committed {
		h.log.Warn("write lease", "purpose", w.Purpose, "host", w.Row.Host, "outcome", outcome)
		return false
	}
	return true
}

// commit writes a row if its position in the table is the given one, and returns the new
// one. The outcome is Conflicted for another position, Failed when nothing was written,
// and Unknown when the write may have taken effect.
func (h *Hosts) commit(ctx context.Context, key string, at plat.Position, value any) (plat.Position, lease.Outcome) {
	data, err := json.Marshal(value)
	if err != nil {
		return plat.Position{}, lease.Failed
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	v, err := h.table.Commit(ctx, plat.Txn{
		Checks: []plat.Check{{Key: key, At: at}},
		Puts:   []plat.Put{{Key: key, Value: data}},
	})
	switch {
	case err == nil:
		return v, lease.Committed
	case errors.Is(err, plat.ErrConflict):
		return plat.Position{}, lease.Conflicted
	case errors.Is(err, plat.ErrDown):
		return plat.Position{}, lease.Failed
	}
	return plat.Position{}, lease.Unknown
}
