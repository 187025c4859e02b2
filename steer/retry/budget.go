package retry

import "time"

// Parameters of the sliding window.
const (
	bucketLength = time.Second
	bucketCount  = 10
	// minRetries is the number of retries per window that every budget with a share
	// above zero allows, so that a service with few requests can retry too.
	minRetries = 3
)

// Budget limits retries to a share of the requests in a sliding window of ten
// seconds. The zero value allows none. It is not safe for concurrent use.
type Budget struct {
	share   float64
	buckets [bucketCount]bucket
	// requests and retries are the sums over all buckets.
	requests int
	retries  int
	// current is the number of the latest bucket: the time since the Unix epoch divided
	// by bucketLength.
	current int64
}

type bucket struct{ requests, retries int }

// NewBudget returns a budget that allows retries for the share of requests, 0 to 1.
func NewBudget(share float64) *Budget { return &Budget{share: share} }

// SetShare changes the share and keeps the counts.
func (b *Budget) SetShare(share float64) { b.share = share }

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest(now time.Time) {
	b.advance(now)
	b.buckets[b.current%bucketCount].requests++
	b.requests++
}

// Take reports whether the budget allows a retry now, and counts it if so.
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

// advance clears the buckets that have left the window. A time before the
// latest bucket counts in that bucket.
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
