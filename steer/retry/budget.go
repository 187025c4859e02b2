package retry

import (
	"math"
	"time"
)

// Parameters of the sliding window.
const (
	bucketLength = 250 * time.Millisecond
	// windowBuckets is the number of buckets of a window, windowLength its length.
	windowBuckets = 40
	windowLength  = windowBuckets * bucketLength
	// bucketCount covers the present bucket, those that the window reaches into and a window
	// before them.
	bucketCount = 2*windowBuckets + 1
	// minRetries is the number of retries per window that every budget with a share
	// above zero allows without [WithLeast], so that a service with few requests can retry too.
	minRetries = 3
)

// Budget limits retries to a share of the requests in each window of ten seconds that
// ends now or later. The requests are those in the window, in the one before it or in the one
// half a window before it, whichever has most. The zero value allows none. It is not safe for
// concurrent use.
type Budget struct {
	share   float64
	least   func(now time.Time) int
	buckets [bucketCount]bucket
	// current is the number of the latest bucket: the time since the Unix epoch divided
	// by bucketLength.
	current int64
}

type bucket struct {
	requests, retries int
	// lastRetry is the time of the latest retry in nanoseconds since the Unix epoch.
	lastRetry int64
}

// Option configures a [Budget].
type Option func(*Budget)

// WithLeast sets a function that returns the number of retries in a window that a budget
// with a share above zero allows now whatever the number of requests is.
func WithLeast(f func(now time.Time) int) Option { return func(b *Budget) { b.least = f } }

// NewBudget returns a budget that allows retries for the share of requests, 0 to 1.
func NewBudget(share float64, options ...Option) *Budget {
	b := &Budget{share: share}
	for _, o := range options {
		o(b)
	}
	return b
}

// SetShare changes the share and keeps the counts.
func (b *Budget) SetShare(share float64) { b.share = share }

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest(now time.Time) {
	b.advance(now)
	b.at(0).requests++
}

// Take reports whether the budget allows a retry now, and counts it if so.
func (b *Budget) Take(now time.Time) bool {
	if b.Left(now) < 1 {
		return false
	}
	x := b.at(0)
	x.retries++
	x.lastRetry = max(x.lastRetry, now.UnixNano())
	return true
}

// Left returns the number of retries that the budget allows now.
func (b *Budget) Left(now time.Time) int {
	b.advance(now)
	if b.share <= 0 {
		return 0
	}
	least := minRetries
	if b.least != nil {
		least = b.least(now)
	}
	// sums[i] is the number of requests in the latest i buckets.
	var sums [bucketCount + 1]int
	for back := range bucketCount {
		sums[back+1] = sums[back] + b.at(back).requests
	}
	left, retries := math.MaxInt, 0
	for back := range windowBuckets + 1 {
		if x := b.at(back); back < windowBuckets || now.UnixNano()-x.lastRetry < int64(windowLength) {
			retries += x.retries
		}
		// A window that begins in the oldest bucket reaches into the current one.
		most := mostRequests(&sums, min(back, windowBuckets-1))
		left = min(left, max(least, int(b.share*float64(most)))-retries)
	}
	return max(0, left)
}

// mostRequests returns the greatest number of requests in the window that begins with the
// bucket so many before the current one, in the window before it and in the one half a
// window before it. Sums holds the numbers of requests in the latest buckets.
func mostRequests(sums *[bucketCount + 1]int, back int) int {
	most := 0
	for _, first := range []int{back, back + windowBuckets/2, back + windowBuckets} {
		most = max(most, sums[first+1]-sums[max(0, first+1-windowBuckets)])
	}
	return most
}

// at returns the bucket so many before the current one.
func (b *Budget) at(back int) *bucket {
	return &b.buckets[((b.current-int64(back))%bucketCount+bucketCount)%bucketCount]
}

// advance clears the buckets that have left the window. A time before the
// latest bucket counts in that bucket.
func (b *Budget) advance(now time.Time) {
	n := now.UnixNano() / int64(bucketLength)
	if n <= b.current {
		return
	}
	for i := range min(n-b.current, bucketCount) {
		b.buckets[(b.current+1+i)%bucketCount] = bucket{}
	}
	b.current = n
}
