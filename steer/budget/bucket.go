package budget

import "time"

// A bucket counts its spending in intervals of fixed length. The complete
// intervals and the current one always cover a window, also on a clock that
// runs 2 percent fast.
const (
	intervalCount  = 20
	intervalLength = Window/intervalCount + Window/intervalCount/50
)

// Retention of past demand.
const (
	// demandPeriods is the number of periods between share requests over which the
	// greatest demand is taken.
	demandPeriods = 3
	// largestRetention is the time after the last demand for which share requests still
	// cover the largest single demand.
	largestRetention = 10 * time.Second
)

// Bucket limits what one host spends to its floor and its leased share. It is
// not safe for concurrent use.
type Bucket[U Unit] struct {
	startedAt time.Time
	// latest is the latest clock reading so far.
	latest time.Time
	floor  delayedRise[U]

	// The grant in force, and the sequence of its share request.
	share   U
	expires time.Time
	applied uint64

	// The sequence and the time of the last share request.
	sequence    uint64
	requestedAt time.Time

	// intervals is a ring of the units spent in each interval, current the number
	// of the current interval since the start, spent the sum of the ring.
	intervals [intervalCount + 1]U
	current   int64
	spent     U

	// offered is the demand since the last share request in units, recent the demand of
	// the last periods before it in units per window, newest first.
	offered U
	recent  [demandPeriods]U
	// largest is the largest single demand, offeredAt the time of the last share request
	// that followed any demand.
	largest   U
	offeredAt time.Time
}

// NewBucket returns the bucket of a process that started at startedAt. The floor
// is what it may spend in each window without a lease, in units.
func NewBucket[U Unit](startedAt time.Time, floor U) *Bucket[U] {
	b := &Bucket[U]{startedAt: startedAt}
	b.floor.put(startedAt, floor)
	return b
}

// SetFloor changes the floor. A lower floor applies at once, a higher one after
// [RiseDelay].
func (b *Bucket[U]) SetFloor(now time.Time, floor U) { b.floor.put(now, floor) }

// Spend counts n units as demand and spends them. It returns false and spends
// nothing when they would exceed the limit of the window.
func (b *Bucket[U]) Spend(now time.Time, n U) bool {
	b.AddDemand(n)
	return b.SpendOffered(now, n)
}

// AddDemand counts n units as demand without spending them.
func (b *Bucket[U]) AddDemand(n U) {
	b.offered += n
	b.largest = max(b.largest, n)
}

// SpendOffered spends like [Bucket.Spend] but counts no demand. It is for units that
// were counted as demand before.
func (b *Bucket[U]) SpendOffered(now time.Time, n U) bool {
	if n > b.Available(now) {
		return false
	}
	b.intervals[b.current%(intervalCount+1)] += n
	b.spent += n
	return true
}

// Available returns the number of units that may be spent at now.
func (b *Bucket[U]) Available(now time.Time) U {
	b.advance(now)
	return max(0, b.Limit(now)-b.spent)
}

// Limit returns the number of units that may be spent in a window that ends at
// now: the floor and the share of an unexpired grant. It is 0 in the first window
// of a process.
func (b *Bucket[U]) Limit(now time.Time) U {
	if now.Before(b.startedAt.Add(intervalCount * intervalLength)) {
		return 0
	}
	limit := b.floor.get(now)
	if now.Before(b.expires) {
		limit += b.share
	}
	return limit
}

// Expires returns the time at which the applied grant expires. It is zero
// without a grant.
func (b *Bucket[U]) Expires() time.Time { return b.expires }

// advance clears the intervals that have left the window. When now is more than
// one interval before the latest clock reading, the clock was set back: the grant
// is dropped, because its expiry can no longer be determined, and spending stays
// counted until the clock has caught up.
func (b *Bucket[U]) advance(now time.Time) {
	if now.Before(b.latest.Add(-intervalLength)) {
		b.expires = time.Time{}
	}
	if now.After(b.latest) {
		b.latest = now
	}
	at := int64(now.Sub(b.startedAt) / intervalLength)
	if at-b.current > intervalCount {
		clear(b.intervals[:])
		b.spent, b.current = 0, at
		return
	}
	for b.current < at {
		b.current++
		i := b.current % (intervalCount + 1)
		b.spent -= b.intervals[i]
		b.intervals[i] = 0
	}
}

// NextRequest returns the next share request, which must be sent after now. From then on the
// bucket applies no grant of an earlier share request. Pending is the number of units that
// wait to be spent. The share request covers them and the recent demand with a headroom of a
// quarter, and at least the largest single demand.
func (b *Bucket[U]) NextRequest(now time.Time, pending U) ShareRequest[U] {
	b.updateDemand(now)
	b.sequence++
	b.requestedAt = now
	demand := max(b.recent[0], b.recent[1], b.recent[2])
	want := max(demand+demand/4+pending, b.largest)
	return ShareRequest[U]{Sequence: b.sequence, Applied: b.applied, Want: want}
}

// updateDemand ends the period since the last share request and records its demand. As the
// greatest demand of the last [demandPeriods] periods counts, share requests follow a rise
// at once and a fall after these periods.
func (b *Bucket[U]) updateDemand(now time.Time) {
	period := RenewInterval
	if !b.requestedAt.IsZero() {
		period = max(RenewInterval, now.Sub(b.requestedAt))
	}
	copy(b.recent[1:], b.recent[:])
	b.recent[0] = U(float64(b.offered) * float64(Window) / float64(period))
	if b.offered > 0 {
		b.offeredAt = now
	}
	if now.Sub(b.offeredAt) > largestRetention {
		b.largest = 0
	}
	b.offered = 0
}

// Apply puts the grant of the last share request into force. It returns false and changes
// nothing for the grant of an earlier share request, for a duplicate and for a grant that
// has expired.
func (b *Bucket[U]) Apply(now time.Time, g Grant[U]) bool {
	expires := b.requestedAt.Add(GrantValidity)
	if g.Sequence != b.sequence || g.Sequence == b.applied || !now.Before(expires) {
		return false
	}
	b.applied, b.share, b.expires = g.Sequence, g.Share, expires
	return true
}

// Idle reports whether the bucket spent nothing in the window and had no recent
// demand.
func (b *Bucket[U]) Idle(now time.Time) bool {
	b.advance(now)
	return b.spent == 0 && b.offered == 0 && b.largest == 0
}
