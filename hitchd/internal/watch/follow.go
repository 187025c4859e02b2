package watch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
)

// Times of following a table.
const (
	// operatorWait is how long a read waits for a change of the operator's table.
	// A connection that went silent is noticed a little later.
	operatorWait = 2 * time.Second
	// hostsWait is the same for the hosts' table, which only helps starting hosts.
	hostsWait     = 6 * time.Second
	hostsInterval = time.Second
	// serversInterval is the time between two reads of the servers' table. A
	// server that leaves must be known everywhere well within the 2.5 s that it
	// goes on serving.
	serversInterval = 500 * time.Millisecond
	// serversWait is how long a read waits for changes, so that a quiet fleet
	// costs fewer calls.
	serversWait = 700 * time.Millisecond
	// retryFirst is the mean pause after a failed read. It doubles with each
	// further one up to a limit: all hosts of the fleet read in an outage, and
	// refused calls count as well. A host with a source leaves most to that.
	retryFirst      = 250 * time.Millisecond
	retryMax        = 800 * time.Millisecond
	retryMaxSourced = 2500 * time.Millisecond
)

// follower keeps the copy of one table current.
type follower struct {
	table string
	// wait is how long a read waits for changes, interval the least time between two reads.
	wait, interval time.Duration
	copy           *copied
	apply          func(read time.Time, rows []plat.Change, whole bool, version int64)
	failed         func(now time.Time)
	// first tables are read once by every host, to learn whom to ask for the rest.
	first bool
	// fails counts failed reads in a row.
	fails int
	// whole tells that the history since the copy's version is gone.
	whole bool
	down  bool
}

// RunOperator follows the operator's table until the context ends.
func (w *Watch) RunOperator(ctx context.Context, table string) error {
	return w.follow(ctx, &follower{table: table, wait: operatorWait, copy: &w.operator, apply: w.applyOperator})
}

// RunServers follows the servers' table until the context ends.
func (w *Watch) RunServers(ctx context.Context, table string) error {
	return w.follow(ctx, &follower{table: table, wait: serversWait, interval: serversInterval, copy: &w.servers, apply: w.applyServers, failed: func(now time.Time) {
		w.mu.Lock()
		w.fleet.Outage(now)
		w.mu.Unlock()
	}})
}

// RunHosts follows the hosts' table until the context ends.
func (w *Watch) RunHosts(ctx context.Context, table string) error {
	return w.follow(ctx, &follower{table: table, wait: hostsWait, interval: hostsInterval, first: true, copy: &w.hosts, apply: w.applyHosts})
}

// Read makes this host read the store itself, or leaves that to others.
func (w *Watch) Read(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if on == w.reads {
		return
	}
	w.reads = on
	w.log.Info("reads of the store", "on", on, "operatorAgeMs", clock.Now().Sub(w.operator.read).Milliseconds(),
		"serversAgeMs", clock.Now().Sub(w.servers.read).Milliseconds())
	if on {
		close(w.reading)
		return
	}
	w.reading = make(chan struct{})
}

// Sourced tells whether this host has another one to learn from.
func (w *Watch) Sourced(on bool) { w.sourced.Store(on) }

// always is closed.
var always = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// turn returns a channel that is closed while this host reads the table.
func (w *Watch) turn(f *follower) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f.first && f.copy.version == 0 {
		return always
	}
	return w.reading
}

func (w *Watch) follow(ctx context.Context, f *follower) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-w.turn(f):
		}
		began := clock.Now()
		pause := f.interval
		if err := w.read(ctx, f); err != nil && ctx.Err() == nil {
			pause = w.failed(f, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause - clock.Now().Sub(began)):
		}
	}
	return nil
}

// read reads the table, or its changes since the copy's version.
func (w *Watch) read(ctx context.Context, f *follower) error {
	w.mu.Lock()
	since := f.copy.version
	w.mu.Unlock()
	var rows []plat.Change
	var version int64
	var err error
	read := clock.Now()
	whole := f.whole || since == 0
	if whole {
		rows, version, err = w.store.Rows(ctx, f.table)
	} else {
		rows, version, err = w.store.Changes(ctx, f.table, since, f.wait)
	}
	if err != nil {
		return err
	}
	if f.wait > 0 {
		// A read that waits is current when it is answered.
		read = clock.Now()
	}
	reads(f.table, "read").Inc()
	f.apply(read, rows, whole, version)
	f.whole, f.fails = false, 0
	if f.down {
		f.down = false
		w.log.Info("store regained", "table", f.table, "version", version)
	}
	return nil
}

// failed takes note of a failed read and returns the pause before the next one.
func (w *Watch) failed(f *follower, err error) time.Duration {
	if errors.Is(err, plat.ErrCompacted) {
		reads(f.table, "compacted").Inc()
		w.log.Info("history of the table is gone, reading it whole", "table", f.table)
		f.whole = true
		return 0
	}
	reads(f.table, "failed").Inc()
	if !f.down {
		f.down = true
		w.log.Warn("store lost", "table", f.table, "error", err)
	}
	if f.failed != nil {
		f.failed(clock.Now())
	}
	limit := retryMax
	if w.sourced.Load() {
		limit = retryMaxSourced
	}
	pause := min(limit, retryFirst<<min(f.fails, 4))
	f.fails++
	return pause/2 + rand.N(pause)
}

func reads(table, result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_watch_reads_total{table=%q,result=%q}`, table, result))
}
