package watch

import (
	"context"
	"math/rand/v2"
	"time"

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
	hostsWait = 6 * time.Second
	// serversInterval is the time between two reads of the servers' table. A
	// server that leaves must be known well within the 2.5 s that it goes on serving.
	serversInterval = 700 * time.Millisecond
	// retryInterval is the mean pause after a failed read.
	retryInterval = 300 * time.Millisecond
)

// Tables are the names of the tables to follow.
type Tables struct{ Operator, Servers, Hosts string }

// follower keeps the copy of one table current.
type follower struct {
	table string
	// wait is how long a read waits for changes, interval the least time between two reads.
	wait, interval time.Duration
	apply          func(rows []plat.Change, whole bool, version int64)
	failed         func(now time.Time)
	version        int64
	down           bool
}

// RunOperator follows the operator's table until the context ends.
func (w *Watch) RunOperator(ctx context.Context, table string) error {
	return w.follow(ctx, &follower{table: table, wait: operatorWait, apply: w.applyOperator})
}

// RunServers follows the servers' table until the context ends.
func (w *Watch) RunServers(ctx context.Context, table string) error {
	return w.follow(ctx, &follower{table: table, interval: serversInterval, apply: w.applyServers, failed: func(now time.Time) {
		w.mu.Lock()
		w.fleet.Outage(now)
		w.mu.Unlock()
	}})
}

// RunHosts follows the hosts' table until the context ends.
func (w *Watch) RunHosts(ctx context.Context, table string) error {
	return w.follow(ctx, &follower{table: table, wait: hostsWait, interval: time.Second, apply: w.applyHosts})
}

func (w *Watch) follow(ctx context.Context, f *follower) error {
	for ctx.Err() == nil {
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

// read reads the table, or its changes since the last read.
func (w *Watch) read(ctx context.Context, f *follower) error {
	var rows []plat.Change
	var version int64
	var err error
	whole := f.version == 0
	if whole {
		rows, version, err = w.store.Rows(ctx, f.table)
	} else {
		rows, version, err = w.store.Changes(ctx, f.table, f.version, f.wait)
	}
	if err != nil {
		return err
	}
	f.apply(rows, whole, version)
	f.version = version
	if f.down {
		f.down = false
		w.log.Info("store regained", "table", f.table, "version", version)
	}
	return nil
}

// failed takes note of a failed read and returns the pause before the next one.
func (w *Watch) failed(f *follower, err error) time.Duration {
	if errors.Is(err, plat.ErrCompacted) {
		w.log.Info("history of the table is gone, reading it whole", "table", f.table, "version", f.version)
		f.version = 0
		return 0
	}
	if !f.down {
		f.down = true
		w.log.Warn("store lost", "table", f.table, "version", f.version, "error", err)
	}
	if f.failed != nil {
		f.failed(clock.Now())
	}
	return retryInterval/2 + rand.N(retryInterval)
}
