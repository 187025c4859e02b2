// Package quota bounds the bytes that a host holds for requests and responses.
//
// The bound is one for all exchanges together: a bound of each of them bounds no host. No
// exchange waits for bytes. One that doesn't get them goes on with the few that its next
// write needs.
package quota

import "sync"

const (
	// share is the part of a process' memory that requests and responses may take, as a
	// divisor. The collector may need as much again, and the rest is the tables'.
	share = 8
	// spare is the part of the memory that the runtime doesn't know of, as a divisor.
	spare = 16
	// defaultLimit is the bound of a process whose memory isn't known, in bytes.
	defaultLimit = 16 << 20
)

// Of returns the bound in bytes for a process that may use the given memory, 0 if that isn't
// known.
func Of(memory int64) int64 {
	if memory <= 0 {
		return defaultLimit
	}
	return memory / share
}

// HeapLimit returns what the runtime may use of the given memory, in bytes. The rest is for
// bytes that the kernel holds.
func HeapLimit(memory int64) int64 { return memory - Of(memory) - memory/spare }

// Quota counts the bytes that are held. It is safe for concurrent use.
type Quota struct {
	limit int64

	mu   sync.Mutex
	held int64
	// denied counts the calls of Take that failed since the latest call of Turned.
	denied int
	full   bool
}

// New returns a quota of the given number of bytes.
func New(limit int64) *Quota { return &Quota{limit: limit} }

// Take takes n bytes and reports whether that is within the bound. If not, it takes none.
func (q *Quota) Take(n int64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.held+n > q.limit {
		q.denied++
		return false
	}
	q.held += n
	return true
}

// Add takes n bytes that are held in any case.
func (q *Quota) Add(n int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.held += n
}

// Return gives n bytes back.
func (q *Quota) Return(n int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.held -= n
}

// Held returns the number of bytes that are held.
func (q *Quota) Held() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.held
}

// Limit returns the bound in bytes.
func (q *Quota) Limit() int64 { return q.limit }

// Turned reports whether the quota is full, and whether that changed since the latest call.
// It becomes full when bytes are denied, and ends to be when none were denied since the latest
// call and less than half of the bound is held.
func (q *Quota) Turned() (full, changed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	was := q.full
	switch {
	case q.denied > 0:
		q.full = true
	case q.held < q.limit/2:
		q.full = false
	}
	q.denied = 0
	return q.full, q.full != was
}
