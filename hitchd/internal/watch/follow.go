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
	"magnoliahitch/steer/delay"
)

// Intervals and timeouts of reading the tables.
const (
	// defaultOperatorWait is how long a read waits for a change of the operator's
	// table (long polling). The read's timeout is a little longer, and detects a
	// connection without a response.
	defaultOperatorWait = 2 * time.Second
	// hostsWait is the same for the hosts' table, and hostsInterval the least time
	// between two reads. The table is only urgent for starting hosts.
	hostsWait     = 6 * time.Second
	hostsInterval = time.Second
	// serversInterval is the least time between two reads of the servers' table.
	// All hosts must learn of a server that stops well within the 2.5 s during
	// which it continues to serve.
	serversInterval = 500 * time.Millisecond
	// defaultServersWait is how long a read waits for a change of the servers' table.
	// It saves calls while nothing changes.
	defaultServersWait = 700 * time.Millisecond
	// retryBase is the mean backoff after a failed read. The backoff doubles with
	// each further failure up to retryMax: in an outage every host reads the store,
	// and refused calls count as calls too. The limit is retryMaxSourced for a host
	// with a source. It must learn of changes by itself in the time after a cut within
	// which its source may still be cut off.
	retryBase       = 250 * time.Millisecond
	retryMax        = 800 * time.Millisecond
	retryMaxSourced = 1400 * time.Millisecond
	// overdueTime is how long after it was due an answer counts as missing. The read goes on.
	overdueTime = 500 * time.Millisecond
	// lateRetry is the time from the start of a read that failed while this host ran late
	// to the next one.
	lateRetry = 100 * time.Millisecond
)

// follower keeps the replica of one table current.
type follower struct {
	table string
	// wait is how long a read waits for changes, interval the least time between
	// the starts of two reads.
	wait, interval time.Duration
	replica        *replica
	apply          func(read time.Time, rows []plat.Change, whole bool, at plat.Position) bool
	onFailure      func(now time.Time)
	// bootstrap is set for the table that every host reads itself once, since it
	// names the hosts from which the other tables can be fetched.
	bootstrap bool
	// loaded is set once the complete table was read, which may be empty.
	loaded bool
	// failures is the number of consecutive failed reads.
	failures int
	// full is set when the store doesn't have the changes since the replica's
	// position; the next read is then a complete one. compactions counts these
	// without changes that could be read in between.
	full        bool
	compactions int
	down        bool
	// due is when the store is to answer the present read, or was to answer the last one.
	due time.Time
}

// RunOperator keeps the operator's table current until the context ends.
func (w *Watch) RunOperator(ctx context.Context, table string) error {
	return w.follow(ctx, &follower{table: table, wait: w.operatorWait, replica: &w.operator, apply: w.applyOperator})
}

// RunServers keeps the servers' table current until the context ends.
func (w *Watch) RunServers(ctx context.Context, table string) error {
	return w.follow(ctx, &follower{table: table, wait: w.serversWait, interval: serversInterval, replica: &w.servers, apply: w.applyServers, onFailure: func(now time.Time) {
		w.mu.Lock()
		w.fleet.ReadFailed(now)
		w.mu.Unlock()
	}})
}

// RunHosts keeps the hosts' table current until the context ends. Its first read is
// after the delay.
func (w *Watch) RunHosts(ctx context.Context, table string, delay time.Duration) error {
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(delay):
	}
	return w.follow(ctx, &follower{table: table, wait: hostsWait, interval: hostsInterval, bootstrap: true, replica: &w.hosts, apply: w.applyHosts})
}

// SetReading starts or stops this host's own reads of the store. Without them its
// replicas are only updated by [Watch.Adopt].
func (w *Watch) SetReading(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if on == w.readsStore {
		return
	}
	w.readsStore = on
	now := clock.Now()
	w.log.Info("reads of the store", "on", on, "operatorAgeMs", now.Sub(w.operator.confirmed).Milliseconds(),
		"serversAgeMs", now.Sub(w.servers.confirmed).Milliseconds(), "delayMs", w.delays.Standing(now).Milliseconds())
	if on {
		close(w.readable)
		return
	}
	w.readable = make(chan struct{})
}

// SetSourced sets whether another host sends this one its replicas, which allows a
// longer backoff after failed reads of the store.
func (w *Watch) SetSourced(on bool) { w.sourced.Store(on) }

// closed is a closed channel.
var closed = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// tableReadable returns a channel that is closed while this host reads the
// follower's table itself.
func (w *Watch) tableReadable(f *follower) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f.bootstrap && !f.loaded && f.replica.at.IsZero() {
		return closed
	}
	return w.readable
}

func (w *Watch) follow(ctx context.Context, f *follower) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-w.tableReadable(f):
		}
		start := clock.Now()
		pause := f.interval
		if err := w.read(ctx, f); err != nil && ctx.Err() == nil {
			pause = w.readFailed(f, start, err)
		}
		wait := pause - clock.Now().Sub(start)
		if wait <= 0 {
			// A timer that is due at once crashes the race detector in a bubble of synctest.
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return nil
}

// errStale reports a response of the store that is before the replica, such as one that
// a restored store gave late.
var errStale = errors.New("response is before the replica")

// read reads the changes of the table since the replica's position, or the
// complete table. It returns errStale for a response that is before the replica.
func (w *Watch) read(ctx context.Context, f *follower) error {
	w.mu.Lock()
	since, age := f.replica.at, clock.Now().Sub(f.replica.confirmed)
	w.mu.Unlock()
	var rows []plat.Change
	var at plat.Moment
	var err error
	full := f.full || since.IsZero() && !f.loaded
	// The age of the replica counts: one that is old is confirmed at once. The timeout of a
	// call includes its wait, so that a call that a cut swallowed ends sooner then.
	wait := max(0, f.wait-age)
	if f.down || full {
		wait = 0
	}
	due := clock.Now().Add(wait)
	f.due = due
	overdue := time.AfterFunc(wait+overdueTime, func() {
		// The answer may wait for its turn at a host that runs late.
		if delay.Conclusive(w.delays, clock.Now(), due) {
			w.noteUnanswered(f.replica, due)
		}
	})
	defer overdue.Stop()
	if full {
		rows, at, err = w.store.Rows(ctx, f.table)
	} else {
		rows, at, err = w.store.Changes(ctx, f.table, since, wait)
	}
	if err != nil {
		return err
	}
	if !f.apply(at.Current, rows, full, at.Position) {
		return errors.Wrapf(errStale, "read table %s: got version %d of era %d", f.table, at.Version, at.Era)
	}
	reads(f.table, "read").Inc()
	f.full, f.failures, f.loaded = false, 0, true
	if !full {
		f.compactions = 0
	}
	if f.down {
		f.down = false
		w.log.Info("store regained", "table", f.table, "era", at.Era, "version", at.Version)
	}
	return nil
}

// noteUnanswered records that the store had no answer for a read of the table at the time.
func (w *Watch) noteUnanswered(c *replica, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(c.unanswered) {
		c.unanswered = at
		w.publish()
	}
}

// readFailed records a failed read that began at the time start, and returns the time from
// then to the next read. It is 0 when the store doesn't have the changes, except after a complete
// read that didn't help.
func (w *Watch) readFailed(f *follower, start time.Time, err error) time.Duration {
	now := clock.Now()
	switch {
	case errors.Is(err, plat.ErrCompacted):
		reads(f.table, "compacted").Inc()
		w.log.Info("store doesn't have the changes of the table, reading the complete table", "table", f.table, "reason", err)
		f.full = true
		f.compactions++
		if f.compactions == 1 {
			return 0
		}
		return f.backoff(retryMax)
	case errors.Is(err, errStale):
		// The replica may have got ahead by what another host sent meanwhile.
		reads(f.table, "discarded").Inc()
		w.log.Info("discarded a read", "table", f.table, "reason", err)
		f.full = false
		return f.backoff(retryMax)
	}
	if errors.Is(err, plat.ErrSilent) && !delay.Conclusive(w.delays, now, start) {
		reads(f.table, "late").Inc()
		w.log.Info("read ended while this host ran late", "table", f.table, "tookMs", now.Sub(start).Milliseconds(), "delayMs", w.delays.Worst(now, start).Milliseconds(), "error", err)
		return lateRetry
	}
	if errors.Is(err, plat.ErrSilent) {
		w.noteUnanswered(f.replica, f.due)
	} else {
		w.noteUnanswered(f.replica, now)
	}
	reads(f.table, "failed").Inc()
	if !f.down {
		f.down = true
		w.log.Warn("store lost", "table", f.table, "tookMs", now.Sub(start).Milliseconds(), "delayMs", w.delays.Worst(now, start).Milliseconds(), "error", err)
	}
	if f.onFailure != nil {
		f.onFailure(now)
	}
	limit := retryMax
	if w.sourced.Load() {
		limit = retryMaxSourced
	}
	return f.backoff(limit)
}

// backoff counts a failed read and returns the time until the next one, which is at most
// one and a half times the limit.
func (f *follower) backoff(limit time.Duration) time.Duration {
	pause := min(limit, retryBase<<min(f.failures, 4))
	f.failures++
	return pause/2 + rand.N(pause)
}

func reads(table, result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_watch_reads_total{table=%q,result=%q}`, table, result))
}
