package trace

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// Load is the load of one service.
type Load struct {
	Service string
	// Rate is the number of requests/s in each region.
	Rate float64
	// WriteShare is the share of non-idempotent requests.
	WriteShare float64
	// MeanCost is the mean time that a server works.
	MeanCost time.Duration
	// Size is the length of an answer, in bytes.
	Size int
	// Deadline is how long the caller waits.
	Deadline time.Duration
}

// costSigma is the spread of the log-normal cost.
const costSigma = 0.5

// Requests draws an open-loop load over the regions: exponential gaps and
// log-normal costs.
func Requests(rng *rand.Rand, regions []string, loads []Load, length time.Duration) []Line {
	var out []Line
	for _, r := range regions {
		for _, l := range loads {
			for at := gap(rng, l.Rate); at < length; at += gap(rng, l.Rate) {
				out = append(out, request(rng, r, l, at, len(out)))
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
	return out
}

func request(rng *rand.Rand, region string, l Load, at time.Duration, n int) Line {
	cost := l.MeanCost.Seconds() * math.Exp(costSigma*rng.NormFloat64()-costSigma*costSigma/2)
	q := &Request{
		Region:     region,
		Service:    l.Service,
		Method:     http.MethodGet,
		Path:       fmt.Sprintf("/item/%d", rng.IntN(1000)),
		CostMs:     int(math.Ceil(cost * 1000)),
		Size:       l.Size,
		DeadlineMs: int(l.Deadline.Milliseconds()),
	}
	if rng.Float64() < l.WriteShare {
		q.Method = http.MethodPost
		q.Operation = fmt.Sprintf("op-%d-%d", n, rng.Uint32())
	}
	return Line{At: int(at.Milliseconds()), Request: q}
}

func gap(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// Merge puts the lines into the order of time.
func Merge(parts ...[]Line) []Line {
	out := slices.Concat(parts...)
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
	return out
}
