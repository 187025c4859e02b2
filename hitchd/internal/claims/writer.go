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

// Bounds of the grouped writes.
const (
	// writeInterval is the least time between two transactions of a host.
	writeInterval = 30 * time.Millisecond
	// writeLinger is how long writes wait that nobody waits for.
	writeLinger = 300 * time.Millisecond
	// writeLimit is the greatest number of rows in a transaction.
	writeLimit = 64
	// inFlight is the greatest number of transactions on their way at once, so
	// that a slow one doesn't hold up all others.
	inFlight = 8
	// settlePause is the time between two tries to settle a lost answer.
	settlePause = 50 * time.Millisecond
	// flushTimeout bounds the last writes of a host that stops.
	flushTimeout = 2 * time.Second
)

// write changes one row when it stands at a version. An empty value deletes it.
type write struct {
	ctx     context.Context
	key     string
	version int64
	value   []byte
	// done gets the outcome: the row's new version, or an error of package plat.
	done chan written
}

type written struct {
	version int64
	err     error
}

// writer commits writes in groups.
type writer struct {
	table plat.Table
	now   func() time.Time

	mu     sync.Mutex
	group  claim.Group[write]
	closed bool
	wake   chan struct{}
}

func newWriter(table plat.Table, now func() time.Time) *writer {
	return &writer{
		table: table,
		now:   now,
		group: claim.Group[write]{
			Key:      func(w write) string { return w.key },
			Interval: writeInterval,
			Linger:   writeLinger,
			Limit:    writeLimit,
		},
		wake: make(chan struct{}, 1),
	}
}

// errStopped reports a write that came after the writer's end.
var errStopped = errors.New("writer stopped")

// submit hands over a write. Its outcome comes on the write's channel.
func (w *writer) submit(wr write, urgent bool) {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		wr.done <- written{err: errStopped}
		return
	}
	w.group.Add(w.now(), wr, urgent)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run commits the groups until the context ends, then what is left.
func (w *writer) run(ctx context.Context) {
	commits := &errgroup.Group{}
	commits.SetLimit(inFlight)
	defer func() {
		_ = commits.Wait()
		w.flush(context.WithoutCancel(ctx))
	}()
	for ctx.Err() == nil {
		w.mu.Lock()
		due, waits := w.group.Due(w.now())
		w.mu.Unlock()
		if !waits {
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
		batch := w.group.Take(w.now())
		w.mu.Unlock()
		commits.Go(func() error {
			w.commit(ctx, batch)
			return nil
		})
	}
}

// flush tries once to commit what is left and fails the rest.
func (w *writer) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for {
		w.mu.Lock()
		batch := w.group.Take(w.now())
		w.closed = len(batch) == 0
		w.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		w.commit(ctx, batch)
	}
}

// commit writes the batch in one transaction. When a row stands in the way
// the others are tried again without it.
func (w *writer) commit(ctx context.Context, batch []write) {
	for len(batch) > 0 {
		version, err := w.table.Commit(ctx, transaction(batch))
		switch {
		case err == nil:
			finish(batch, written{version: version})
			return
		case errors.Is(err, plat.ErrConflict), errors.Is(err, plat.ErrUnknown):
			batch = w.settle(ctx, batch, err)
		default:
			finish(batch, written{err: err})
			return
		}
	}
}

func transaction(batch []write) plat.Txn {
	var t plat.Txn
	for _, b := range batch {
		t.Checks = append(t.Checks, plat.Check{Key: b.key, Version: b.version})
		if b.value == nil {
			t.Deletes = append(t.Deletes, b.key)
		} else {
			t.Puts = append(t.Puts, plat.Put{Key: b.key, Value: b.value})
		}
	}
	return t
}

func finish(batch []write, r written) {
	for _, b := range batch {
		b.done <- r
	}
}

// settle reads the rows of a failed batch back. It finishes the writes that
// took effect or can't, and returns those to try again.
func (w *writer) settle(ctx context.Context, batch []write, cause error) []write {
	var again []write
	for _, b := range batch {
		row, err := w.table.Get(ctx, b.key)
		if errors.Is(err, plat.ErrMissing) {
			row, err = plat.Row{}, nil
		}
		switch {
		case err != nil && b.ctx.Err() == nil && ctx.Err() == nil:
			again = append(again, b)
		case err != nil:
			b.done <- written{err: errors.Wrapf(plat.ErrUnknown, "settle row %s: %v", b.key, cause)}
		case took(b, row):
			b.done <- written{version: row.Version}
		case row.Version != b.version:
			b.done <- written{err: errors.Wrapf(plat.ErrConflict, "row %s", b.key)}
		case b.ctx.Err() != nil && errors.Is(cause, plat.ErrUnknown):
			b.done <- written{err: errors.Wrapf(plat.ErrUnknown, "row %s", b.key)}
		default:
			again = append(again, b)
		}
	}
	if len(again) == len(batch) {
		pause(ctx, settlePause)
	}
	return again
}

// took reports whether the row is what the write made of it. Values carry a
// unique claim id, so equal bytes are proof.
func took(b write, row plat.Row) bool {
	if b.value == nil {
		return row.Version == 0
	}
	return row.Version > b.version && bytes.Equal(row.Value, b.value)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
