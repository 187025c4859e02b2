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

// Intervals of the loops.
const (
	writeInterval = 250 * time.Millisecond
	tellInterval  = 250 * time.Millisecond
	// wideParts is how many reads of the own region go to one of all regions.
	wideParts = 5
	// readSpacing is the least time between two reads.
	readSpacing = 100 * time.Millisecond
	// callTimeout bounds a call of the table.
	callTimeout = 2800 * time.Millisecond
	// askTimeout bounds a message to the successor.
	askTimeout = time.Second
	// quickParts is the share of a lease within which a read counts as quick.
	quickParts = 6
)

// pageLimit bounds the rows read at once.
const pageLimit = 1000

// Run takes this host's part among the others until the context ends. It reads
// the table at each interval.
func (h *Hosts) Run(ctx context.Context, interval time.Duration) error {
	var loops sync.WaitGroup
	loops.Go(func() { h.readLoop(ctx, interval) })
	loops.Go(func() { every(ctx, writeInterval, h.change, h.write) })
	loops.Go(func() { every(ctx, tellInterval, nil, h.tell) })
	loops.Go(func() { every(ctx, interval, nil, h.gossip) })
	loops.Wait()
	return nil
}

// every calls f at each interval and when it is woken.
func every(ctx context.Context, interval time.Duration, wake <-chan struct{}, f func(context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-t.C:
		}
	}
}

func (h *Hosts) readLoop(ctx context.Context, interval time.Duration) {
	n := 0
	every(ctx, interval, h.wake, func(ctx context.Context) {
		p := regionPrefix(h.self.Region)
		if n%wideParts == 0 {
			p = prefix
		}
		n++
		if err := h.read(ctx, p); err != nil && ctx.Err() == nil {
			h.log.Warn("read hosts", "error", err)
		}
		sleep(ctx, readSpacing)
	})
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// signal wakes a loop unless it is about to wake.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// read takes over what the table holds under the prefix.
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
	own := regions[h.self.Region]
	if own == nil {
		own = newRegion()
		regions[h.self.Region] = own
	}
	h.observe(began, now, own)
	for name, r := range regions {
		h.regions[name] = r
	}
	if now.Sub(began) < h.terms.Length/quickParts {
		h.tabled = now
	}
	h.mu.Unlock()
	h.settle(now)
	return nil
}

// list reads all rows under the prefix, page by page.
func (h *Hosts) list(ctx context.Context, prefix string) ([]plat.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out []plat.Row
	after := ""
	for {
		rows, err := h.table.List(ctx, prefix, after, pageLimit)
		if err != nil {
			return nil, errors.Wrapf(err, "list %s", prefix)
		}
		out = append(out, rows...)
		if len(rows) < pageLimit {
			return out, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// observe counts a read of the own region.
func (h *Hosts) observe(began, now time.Time, own *region) {
	if !began.After(h.assigned) {
		// The read may be older than this host's own last change.
		last := h.regions[h.self.Region]
		own.cells, own.version = last.cells, last.version
	}
	h.node.Observe(began, now, own.leases)
	since := make(map[lease.ID]time.Time, len(own.leases))
	for _, r := range own.leases {
		if t, ok := h.since[r.ID]; ok {
			since[r.ID] = t
		} else {
			since[r.ID] = now
		}
	}
	h.since = since
}

// write makes the writes that are due.
func (h *Hosts) write(ctx context.Context) {
	h.mu.Lock()
	w, ok := h.node.Next(h.clock())
	h.mu.Unlock()
	if ok && h.commitLease(ctx, w) && w.Purpose != lease.Renew {
		h.log.Info("lease written", "purpose", w.Purpose, "host", w.Row.Host, "term", w.Row.Term)
		signal(h.change)
		signal(h.wake)
	}
	h.assign(ctx)
	h.report()
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
	version, outcome := h.commit(ctx, leaseKey(region, w.Row.Host), w.Version, leaseRow{Lease: w.Row, Host: host})
	now := h.clock()
	h.mu.Lock()
	h.node.Settle(now, w, outcome, version)
	h.mu.Unlock()
	if outcome != lease.Committed {
		h.log.Warn("write lease", "purpose", w.Purpose, "host", w.Row.Host, "outcome", outcome)
		return false
	}
	return true
}

// commit writes a row that stands at a version.
func (h *Hosts) commit(ctx context.Context, key string, version int64, value any) (int64, lease.Outcome) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, lease.Failed
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := h.table.Commit(ctx, plat.Txn{
		Checks: []plat.Check{{Key: key, Version: version}},
		Puts:   []plat.Put{{Key: key, Value: data}},
	})
	switch {
	case err == nil:
		return v, lease.Committed
	case errors.Is(err, plat.ErrConflict):
		return 0, lease.Conflicted
	case errors.Is(err, plat.ErrDown):
		return 0, lease.Failed
	}
	return 0, lease.Unknown
}
