package claims

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"magnoliahitch/links/plat"
	"magnoliahitch/steer/claim"
)

// Times and limits of the batches.
const (
	// writeInterval is the minimum time between two transactions of a host.
	writeInterval = 30 * time.Millisecond
	// writeLinger is how long writes without a waiting request may wait for a
	// batch.
	writeLinger = 300 * time.Millisecond
	// writeLimit is the maximum number of rows in a transaction.
	writeLimit = 64
	// maxInFlight is the maximum number of concurrent transactions. It is above
	// 1 so that a slow one doesn't delay all others.
	maxInFlight = 8
	// resolveInterval is the time between two attempts to resolve a batch whose
	// outcome is unknown.
	resolveInterval = 50 * time.Millisecond
	// flushTimeout bounds the last writes of a host that stops.
	flushTimeout = 2 * time.Second
)

// write puts or deletes a row on condition that it is at the position. A nil value
// deletes it.
type write struct {
	ctx   context.Context
	key   string
	at    plat.Position
	value []byte
	// done receives the outcome.
	done chan writeResult
}

// writeResult is the row's new position, or an error of package plat.
type writeResult struct {
	at  plat.Position
	err error
}

// writer commits writes to the table in batches.
type writer struct {
	table plat.Table
	now   func() time.Time

	mu      sync.Mutex
	batcher claim.Batcher[write]
	closed  bool
	wake    chan struct{}
}

func newWriter(table plat.Table, now func() time.Time) *writer {
	return &writer{
		table: table,
		now:   now,
		batcher: claim.Batcher[write]{
			Key:      func(w write) string { return w.key },
			Interval: writeInterval,
			Linger:   writeLinger,
			Limit:    writeLimit,
		},
		wake: make(chan struct{}, 1),
	}
}

// errStopped reports a write that was submitted after the writer stopped.
var errStopped = errors.New("claim writer stopped")

// submit queues a write, or fails it once the writer has stopped. The outcome
// is sent to the write's done channel.
func (w *writer) submit(wr write, urgent bool) {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		wr.done <- writeResult{err: errStopped}
		return
	}
	w.batcher.Add(w.now(), wr, urgent)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run commits batches until the context ends, then flushes the remaining
// writes.
func (w *writer) run(ctx context.Context) {
	commits := &errgroup.Group{}
	commits.SetLimit(maxInFlight)
	defer func() {
		_ = commits.Wait()
		w.flush(context.WithoutCancel(ctx))
	}()
	for ctx.Err() == nil {
		w.mu.Lock()
		due, pending := w.batcher.Due(w.now())
		w.mu.Unlock()
		if !pending {
			due = time.Hour
		}
		if due > 0 {
			t := time.NewTimer(due)
			select {
			case <-ctx.Done():
			case <-w.wake:
			case <-t.C:
			}
			t.Stop()
			continue
		}
		w.mu.Lock()
		batch := w.batcher.Next(w.now())
		w.mu.Unlock()
		commits.Go(func() error {
			w.commit(ctx, batch)
			return nil
		})
	}
}

// flush commits the remaining writes until none is queued and closes the
// writer. Commits fail after flushTimeout.
func (w *writer) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for {
		w.mu.Lock()
		batch := w.batcher.Next(w.now())
		w.closed = len(batch) == 0
		w.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		w.commit(ctx, batch)
	}
}

// commit writes the batch in one transaction. When that conflicts or its
// outcome is unknown, it resolves the batch and retries the writes that are
// left.
func (w *writer) commit(ctx context.Context, batch []write) {
	for len(batch) > 0 {
		at, err := w.table.Commit(ctx, transaction(batch))
		switch {
		case err == nil:
			finish(batch, writeResult{at: at})
			return
		case errors.Is(err, plat.ErrConflict), errors.Is(err, plat.ErrUnknown):
			batch = w.resolve(ctx, batch, err)
		default:
			finish(batch, writeResult{err: err})
			return
		}
	}
}

func transaction(batch []write) plat.Txn {
	var t plat.Txn
	for _, b := range batch {
		t.Checks = append(t.Checks, plat.Check{Key: b.key, At: b.at})
		if b.value == nil {
			t.Deletes = append(t.Deletes, b.key)
		} else {
			t.Puts = append(t.Puts, plat.Put{Key: b.key, Value: b.value})
		}
	}
	return t
}

func finish(batch []write, r writeResult) {
	for _, b := range batch {
		b.done <- r
	}
}

// resolve reads the rows of a failed batch. It reports the outcome of the
// writes that took effect, conflict, or stay unknown after their context ended,
// and returns the writes to retry.
func (w *writer) resolve(ctx context.Context, batch []write, cause error) []write {
	var retry []write
	for _, b := range batch {
		row, err := w.table.Get(ctx, b.key)
		if errors.Is(err, plat.ErrMissing) {
			row, err = plat.Row{}, nil
		}
		switch {
		case err != nil && b.ctx.Err() == nil && ctx.Err() == nil:
			retry = append(retry, b)
		case err != nil:
			b.done <- writeResult{err: errors.Wrapf(plat.ErrUnknown, "resolve write of row %s after: %v", b.key, cause)}
		case applied(b, row):
			b.done <- writeResult{at: row.At}
		case row.At != b.at:
			b.done <- writeResult{err: errors.Wrapf(plat.ErrConflict, "write row %s", b.key)}
		case b.ctx.Err() != nil && errors.Is(cause, plat.ErrUnknown):
			b.done <- writeResult{err: errors.Wrapf(plat.ErrUnknown, "write row %s", b.key)}
		default:
			retry = append(retry, b)
		}
	}
	if len(retry) == len(batch) {
		pause(ctx, resolveInterval)
	}
	return retry
}

// applied reports whether the row is the result of the write. Each value
// contains a unique claim id, so equal bytes prove it.
func applied(b write, row plat.Row) bool {
	if b.value == nil {
		return row.At.IsZero()
	}
	return b.at.Before(row.At) && bytes.Equal(row.Value, b.value)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
