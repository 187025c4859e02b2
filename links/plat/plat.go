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
)

// Row is a row of the table. Version grows with each write of the row.
type Row struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// Check demands that a row stands at a version. Version 0 demands that the
// row doesn't exist.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a transaction: when all checks hold, all writes happen.
type Txn struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Table is the platform's transactional table.
type Table interface {
	// Get returns the row, or [ErrMissing].
	Get(ctx context.Context, key string) (Row, error)
	// List returns at most limit rows under the prefix that follow the key
	// after, in the order of keys.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit runs the transaction and returns the version that its writes got.
	Commit(ctx context.Context, t Txn) (int64, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Load returns the object, or [ErrMissing].
	Load(ctx context.Context, key string) ([]byte, error)
	// Store writes the object.
	Store(ctx context.Context, key string, data []byte) error
}
