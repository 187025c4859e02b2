package plat

import (
	"context"

	"github.com/go-faster/errors"
)

// Errors of the table and the object store.
var (
	// ErrConflict reports that a check of a transaction failed; nothing was written.
	ErrConflict = errors.New("conflict")
	// ErrMissing reports that the row or object doesn't exist.
	ErrMissing = errors.New("missing")
	// ErrUnknown reports a write that may or may not have taken effect.
	ErrUnknown = errors.New("outcome unknown")
	// ErrDown reports that the platform can't be reached; nothing was written.
	ErrDown = errors.New("platform down")
	// ErrSilent is an [ErrDown] of a call that ended without an answer. The answer may have
	// come to a host that runs late.
	ErrSilent = errors.Wrap(ErrDown, "no answer")
)

// Row is a row of the table. Its position increases with each write.
type Row struct {
	Key   string   `json:"key"`
	At    Position `json:"at"`
	Value []byte   `json:"value"`
}

// Check is the condition that a row is at a position. It fails for a position of an
// older era. The zero position is the condition that the row doesn't exist.
type Check struct {
	Key string   `json:"key"`
	At  Position `json:"at"`
}

// Put writes a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a transaction. If all checks hold, all puts and deletes take effect,
// otherwise none.
type Txn struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Table is the platform's transactional table.
type Table interface {
	// Get returns the row, or [ErrMissing].
	Get(ctx context.Context, key string) (Row, error)
	// List returns at most limit rows with the prefix whose keys come after the key
	// after, in the order of keys.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit runs the transaction and returns the position of its writes. It returns
	// [ErrConflict] or [ErrDown] when nothing was written, and [ErrUnknown] when the
	// writes may have taken effect.
	Commit(ctx context.Context, t Txn) (Position, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Load returns the object, or [ErrMissing].
	Load(ctx context.Context, key string) ([]byte, error)
	// Store writes the object.
	Store(ctx context.Context, key string, data []byte) error
}
