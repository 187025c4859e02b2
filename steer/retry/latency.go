package retry

import (
	"math"
	"time"
)

// Parameters of the latency histogram.
const (
	// firstBound is the upper bound of the first bucket.
	firstBound = 100 * time.Microsecond
	// growth is the ratio of the upper bounds of neighbouring buckets.
	growth = 1.1
	// latencyBuckets is the number of buckets. They cover latencies up to about a
	// minute; the last one also counts all longer ones.
	latencyBuckets = 140
	// minSamples is the least number of samples for a quantile.
	minSamples = 100
	// halfLife is the number of samples between two halvings of the counts. The
	// first halving comes at twice that number.
	halfLife = 5000
)

// Latency is a histogram of recent latencies with exponential buckets. Within the
// bounds of the buckets, its quantiles are at most a tenth too high. The zero value is
// empty. It is not safe for concurrent use.
type Latency struct {
	counts [latencyBuckets]uint32
	total  uint32
}

// Observe adds a sample. It first halves all counts when there are twice halfLife
// samples, so that older ones lose weight.
func (l *Latency) Observe(d time.Duration) {
	if l.total >= 2*halfLife {
		l.total = 0
		for i := range l.counts {
			l.counts[i] /= 2
			l.total += l.counts[i]
		}
	}
	l.counts[bucketOf(d)]++
	l.total++
}

// Quantile returns an upper bound of the quantile q, 0 to 1. It reports false while
// there are fewer than minSamples samples.
func (l *Latency) Quantile(q float64) (time.Duration, bool) {
	if l.total < minSamples {
		return 0, false
	}
	rank := uint32(math.Ceil(q * float64(l.total)))
	var seen uint32
	for i, n := range l.counts {
		seen += n
		if seen >= rank {
			return boundOf(i), true
		}
	}
	return boundOf(latencyBuckets - 1), true
}

// HedgeAfter returns the delay after which a request without a response is also sent
// to a second server. It reports false when the quantile is zero, which turns hedging
// off, or while there are too few samples.
func (l *Latency) HedgeAfter(quantile float64) (time.Duration, bool) {
	if quantile <= 0 {
		return 0, false
	}
	return l.Quantile(quantile)
}

// bucketOf returns the index of the bucket that counts the latency.
func bucketOf(d time.Duration) int {
	if d <= firstBound {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(firstBound)) / math.Log(growth)))
	return min(i, latencyBuckets-1)
}

// boundOf returns the upper bound of the bucket.
func boundOf(i int) time.Duration {
	return time.Duration(float64(firstBound) * math.Pow(growth, float64(i)))
}
