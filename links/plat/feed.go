package plat

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrCompacted reports that the store doesn't have the changes since a position, which
// are no longer kept or belong to another era, so that the complete table must be read.
var ErrCompacted = errors.New("history compacted")

// Change is the new state of a row.
type Change struct {
	Row
	// Removed reports that the row was removed. The store sends no value then; hosts
	// send each other the last one.
	Removed bool
}

// Feed reads tables and follows their changes.
type Feed interface {
	// Rows returns all rows of the table and the moment at which they were read.
	// Rows that change meanwhile are in the changes after that position.
	Rows(ctx context.Context, table string) ([]Change, Moment, error)
	// Changes returns the changes after the position, in order, and the moment from
	// which to continue. It waits at most wait for a change, and returns
	// [ErrCompacted] when the complete table must be read.
	Changes(ctx context.Context, table string, after Position, wait time.Duration) ([]Change, Moment, error)
	// Put writes a row and returns its position.
	Put(ctx context.Context, table, key string, value []byte) (Position, error)
	// Delete removes the row if it is at the position, or at any for the zero position. It
	// returns [ErrConflict] if the row isn't, or if the store has begun a newer era.
	Delete(ctx context.Context, table, key string, at Position) error
}
