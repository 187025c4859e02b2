package retry

import "time"

// Window of recent requests.
const (
	bucketLength = time.Second
	bucketCount  = 10
	// minRetries is the number of retries in a window that a budget with a
	// share above zero always allows, so that a quiet service can retry too.
	minRetries = 3
)

// Budget bounds retries as a share of the requests of the last ten seconds.
// The zero value allows none. It is not safe for concurrent use.
type Budget struct {
	share    float64
	buckets  [bucketCount]bucket
	requests int
	retries  int
	current  int64
}

type bucket struct{ requests, retries int }

// NewBudget returns a budget of the share, 0 to 1.
func NewBudget(share float64) *Budget { return &Budget{share: share} }

// SetShare changes the share and keeps what was counted.
func (b *Budget) SetShare(share float64) { b.share = share }

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.buckets[b.current%bucketCount].requests++
	b.requests++
}

// Take counts a retry when the budget has room for it, and reports whether it had.
func (b *Budget) Take(now time.Time) bool {
	b.advance(now)
	if b.Left(now) < 1 {
		return false
	}
	b.buckets[b.current%bucketCount].retries++
	b.retries++
	return true
}

// Left returns the number of retries that the budget allows now.
func (b *Budget) Left(now time.Time) int {
	b.advance(now)
	if b.share <= 0 {
		return 0
	}
	return max(0, max(minRetries, int(b.share*float64(b.requests)))-b.retries)
}

// advance empties the buckets that left the window. A time before the last one
// counts as the last one.
func (b *Budget) advance(now time.Time) {
	n := now.UnixNano() / int64(bucketLength)
	if n <= b.current {
		return
	}
	for i := range min(n-b.current, bucketCount) {
		old := &b.buckets[(b.current+1+i)%bucketCount]
		b.requests -= old.requests
		b.retries -= old.retries
		*old = bucket{}
	}
	b.current = n
}
