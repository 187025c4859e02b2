package lease

import "time"

// Defaults of [Params].
const (
	defaultLength       = 3 * time.Second
	defaultMargin       = 500 * time.Millisecond
	defaultMaxExtension = 30 * time.Minute
	// defaultRateParts is the inverse of the largest relative difference
	// between the rates of two clocks.
	defaultRateParts = 100
)

// Params are the durations and clock bounds of leases. They are the same on all
// hosts.
type Params struct {
	// Length is how long a renewal or a pledge is valid.
	Length time.Duration
	// Margin is added to every wait of an observer for a duration on the
	// holder's clock.
	Margin time.Duration
	// RateParts is the inverse of the largest relative difference between
	// the rates of two clocks; 100 means one part in a hundred. Zero means
	// equal rates.
	RateParts int64
	// MaxExtension is the longest time after the last renewal in the table for
	// which pledges can extend a lease.
	MaxExtension time.Duration
}

// DefaultParams returns the parameters that deployments use.
func DefaultParams() Params {
	return Params{
		Length:       defaultLength,
		Margin:       defaultMargin,
		RateParts:    defaultRateParts,
		MaxExtension: defaultMaxExtension,
	}
}

// Wait returns how long an observer must wait on its own clock to be sure that
// d has passed on the holder's clock.
func (t Params) Wait(d time.Duration) time.Duration {
	if t.RateParts > 0 {
		d += d / time.Duration(t.RateParts)
	}
	return d + t.Margin
}

// PledgeRequest requests a pledge from the successor, that is, the promise not to take
// the lease over.
type PledgeRequest struct {
	Regime uint64 `msgpack:"regime"`
	// Sent is when the request was sent, on the holder's clock.
	Sent time.Time `msgpack:"sent"`
}

// Pledge grants a [PledgeRequest].
type Pledge struct {
	Regime uint64 `msgpack:"regime"`
	// Sent is copied from the [PledgeRequest].
	Sent time.Time `msgpack:"sent"`
}

// EndRegime requests the successor to end a regime.
type EndRegime struct {
	Regime uint64 `msgpack:"regime"`
}

// RegimeEnded acknowledges an [EndRegime]: the regime and all earlier ones have ended.
type RegimeEnded struct {
	Regime uint64 `msgpack:"regime"`
}
