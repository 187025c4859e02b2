package retry

import (
	"math"
	"time"
)

// Shape of the latency histogram.
const (
	// lowest is the upper bound of the first bucket.
	lowest = 100 * time.Microsecond
	// growth is the ratio of two neighbouring bounds.
	growth = 1.1
	// bounds covers latencies up to about a minute.
	bounds = 140
	// minSamples is the number of samples below which there is no quantile.
	minSamples = 100
	// halfLife is the number of samples after which older ones count half.
	halfLife = 5000
)

// Latency holds the distribution of recent latencies, correct to a tenth. The
// zero value holds none. It is not safe for concurrent use.
type Latency struct {
	counts [bounds]uint32
	total  uint32
}

// Observe adds a sample.
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

// Quantile returns the upper bound of the quantile q, 0 to 1. It reports false
// while there are too few samples.
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
	return boundOf(bounds - 1), true
}

// HedgeAfter returns the delay after which a request without an answer is sent
// to a second server. It reports false when hedging is off or not yet possible.
func (l *Latency) HedgeAfter(quantile float64) (time.Duration, bool) {
	if quantile <= 0 {
		return 0, false
	}
	return l.Quantile(quantile)
}

func bucketOf(d time.Duration) int {
	if d <= lowest {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(lowest)) / math.Log(growth)))
	return min(i, bounds-1)
}

func boundOf(i int) time.Duration {
	return time.Duration(float64(lowest) * math.Pow(growth, float64(i)))
}
