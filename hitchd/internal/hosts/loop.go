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
	stepInterval = 250 * time.Millisecond
	// wideParts is how many reads of the own region go to one of all regions.
	wideParts = 5
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
// the table at each interval. Slow calls of the table hold nothing else up.
func (h *Hosts) Run(ctx context.Context, interval time.Duration) error {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	reading, writing := make(chan struct{}, 1), make(chan struct{}, 1)
	woken := true
	var last time.Time
	for n := 0; ctx.Err() == nil; {
		h.tell(ctx)
		h.gossip(ctx)
		if now := h.clock(); woken || now.Sub(last) >= interval {
			wide := n%wideParts == 0 || h.incomplete()
			if start(&calls, reading, func() { h.readNext(ctx, wide) }) {
				n++
				last, woken = now, false
			}
		}
		start(&calls, writing, func() { h.write(ctx) })
		select {
		case <-ctx.Done():
		case <-h.wake:
			woken = true
		case <-h.change:
		case <-t.C:
		}
	}
	return nil
}

// start calls f unless the call before, which holds the same slot, still runs.
func start(calls *sync.WaitGroup, slot chan struct{}, f func()) bool {
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

// readNext reads the own region, or all regions when wide is set.
func (h *Hosts) readNext(ctx context.Context, wide bool) {
	p := regionPrefix(h.self.Region)
	if wide {
		p = prefix
	}
	if err := h.read(ctx, p); err != nil && ctx.Err() == nil {
		h.log.Warn("read hosts", "error", err)
	}
}

// incomplete reports whether this host knows no assignment yet of a region
// that has cells. Until it does, it can't tell who keeps them when the table
// goes away.
func (h *Hosts) incomplete() bool {
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
