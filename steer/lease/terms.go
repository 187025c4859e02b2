package lease

import "time"

// Defaults of [Terms].
const (
	defaultLength = 3 * time.Second
	defaultMargin = 500 * time.Millisecond
	defaultExtent = 30 * time.Minute
	// defaultRateParts is the inverse of the greatest difference of clock rates.
	defaultRateParts = 100
)

// Terms are the times that all hosts agree on.
type Terms struct {
	// Length is how long a renewal or a pledge holds.
	Length time.Duration
	// Margin is what an observer waits beyond a time of the holder's.
	Margin time.Duration
	// RateParts is the inverse of the greatest relative difference between
	// two clocks' rates; 100 stands for one part in a hundred. Zero stands
	// for equal rates.
	RateParts int64
	// Extent bounds how far pledges reach past the last renewal in the table.
	Extent time.Duration
}

// DefaultTerms returns the terms of a deployment.
func DefaultTerms() Terms {
	return Terms{
		Length:    defaultLength,
		Margin:    defaultMargin,
		RateParts: defaultRateParts,
		Extent:    defaultExtent,
	}
}

// Wait returns how long an observer waits, on its own clock, to be sure that
// d has passed on the holder's.
func (t Terms) Wait(d time.Duration) time.Duration {
	if t.RateParts > 0 {
		d += d / time.Duration(t.RateParts)
	}
	return d + t.Margin
}

// Ask asks the successor not to take over.
type Ask struct {
	Regime uint64 `msgpack:"regime"`
	// Sent is on the holder's clock.
	Sent time.Time `msgpack:"sent"`
}

// Pledge answers an [Ask].
type Pledge struct {
	Regime uint64 `msgpack:"regime"`
	// Sent repeats the time of the [Ask].
	Sent time.Time `msgpack:"sent"`
}

// Leave asks the successor to end a regime.
type Leave struct {
	Regime uint64 `msgpack:"regime"`
}

// Left answers a [Leave]: the regime and all before it have ended.
type Left struct {
	Regime uint64 `msgpack:"regime"`
}
