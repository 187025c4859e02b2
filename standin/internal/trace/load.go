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

// Load describes the offered load of one service.
type Load struct {
	Service string
	// Rate is the number of requests/s in each region.
	Rate float64
	// WriteShare is the share of non-idempotent requests.
	WriteShare float64
	// MeanCost is the mean service time.
	MeanCost time.Duration
	// Size is the length of a response body, in bytes.
	Size int
	// Deadline is the timeout of the caller.
	Deadline time.Duration
}

// costSigma is the standard deviation of the logarithm of the service time, which
// has a log-normal distribution.
const costSigma = 0.5

// GenerateRequests generates an open-loop load in each region, sorted by time: Poisson
// arrivals with log-normal service times.
func GenerateRequests(rng *rand.Rand, regions []string, loads []Load, length time.Duration) []Line {
	var out []Line
	for _, r := range regions {
		for _, l := range loads {
			for at := interArrivalTime(rng, l.Rate); at < length; at += interArrivalTime(rng, l.Rate) {
				out = append(out, request(rng, r, l, at, len(out)))
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
	return out
}

// request generates the request number n. The factor of the service time has the
// mean 1. Writes get an operation id.
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

// interArrivalTime returns an exponentially distributed time until the next
// request, at the rate in requests/s.
func interArrivalTime(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// Merge returns the lines of all parts sorted by time. Lines of the same time keep
// their order.
func Merge(parts ...[]Line) []Line {
	out := slices.Concat(parts...)
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
	return out
}
