package lease

import "time"

// Defaults of [Terms].
const (
	defaultLength = 3 * time.Second
	defaultMargin = 500 * time.Millisecond
	defaultExtent = 30 * time.Minute
	// defaultRateParts is the inverse of the largest relative difference
	// between the rates of two clocks.
	defaultRateParts = 100
)

// Terms are the durations and clock bounds of leases. They are the same on all
// hosts.
type Terms struct {
	// Length is how long a renewal or a pledge is valid.
	Length time.Duration
	// Margin is added to every wait of an observer for a duration on the
	// holder's clock.
	Margin time.Duration
	// RateParts is the inverse of the largest relative difference between
	// the rates of two clocks; 100 means one part in a hundred. Zero means
	// equal rates.
	RateParts int64
	// Extent is the longest time after the last renewal in the table for
	// which pledges can extend a lease.
	Extent time.Duration
}

// DefaultTerms returns the terms that deployments use.
func DefaultTerms() Terms {
	return Terms{
		Length:    defaultLength,
		Margin:    defaultMargin,
		RateParts: defaultRateParts,
		Extent:    defaultExtent,
	}
}

// Wait returns how long an observer must wait on its own clock to be sure that
// d has passed on the holder's clock.
func (t Terms) Wait(d time.Duration) time.Duration {
	if t.RateParts > 0 {
		d += d / time.Duration(t.RateParts)
	}
	return d + t.Margin
}

// Ask requests a pledge from the successor, that is, the promise not to take
// the lease over.
type Ask struct {
	Regime uint64 `msgpack:"regime"`
	// Sent is when the request was sent, on the holder's clock.
	Sent time.Time `msgpack:"sent"`
}

// Pledge grants an [Ask].
type Pledge struct {
	Regime uint64 `msgpack:"regime"`
	// Sent is copied from the [Ask].
	Sent time.Time `msgpack:"sent"`
}

// Leave requests the successor to end a regime.
type Leave struct {
	Regime uint64 `msgpack:"regime"`
}

// Left acknowledges a [Leave]: the regime and all earlier ones have ended.
type Left struct {
	Regime uint64 `msgpack:"regime"`
}
