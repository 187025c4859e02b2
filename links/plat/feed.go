package plat

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrCompacted reports that the changes since a version are no longer kept;
// the table must be read as a whole.
var ErrCompacted = errors.New("history compacted")

// Change is the new state of a row.
type Change struct {
	Row
	// Removed tells that the row is gone; it has no value then.
	Removed bool
}

// Feed reads tables and follows their changes.
type Feed interface {
	// Rows returns the whole table and the version at which it was read.
	Rows(ctx context.Context, table string) ([]Change, int64, error)
	// Changes returns what changed after the version, in order, and the version
	// to go on from. It waits for a change for at most the time, and returns
	// [ErrCompacted] when the table must be read as a whole.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]Change, int64, error)
	// Put writes a row.
	Put(ctx context.Context, table, key string, value []byte) error
	// Delete removes the row, if it stands at the version; 0 removes any.
	Delete(ctx context.Context, table, key string, version int64) error
}
