package plat

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrCompacted reports that the changes since a version are no longer kept, so
// that the complete table must be read.
var ErrCompacted = errors.New("history compacted")

// Change is the new state of a row.
type Change struct {
	Row
	// Removed reports that the row was removed. It has no value then.
	Removed bool
}

// Feed reads tables and follows their changes.
type Feed interface {
	// Rows returns all rows of the table and the version at which they were read.
	// Rows that change meanwhile are in the changes after that version.
	Rows(ctx context.Context, table string) ([]Change, int64, error)
	// Changes returns the changes after the version, in order, and the version from
	// which to continue. It waits at most wait for a change, and returns
	// [ErrCompacted] when the complete table must be read.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]Change, int64, error)
	// Put writes a row.
	Put(ctx context.Context, table, key string, value []byte) error
	// Delete removes the row if it has the version, 0 for any version.
	Delete(ctx context.Context, table, key string, version int64) error
}
