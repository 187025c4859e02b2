package budget

import "time"

// A bucket counts its spending in slots. Slots in full and the one under way
// always cover a window, also on a clock that runs 2 percent fast.
const (
	slotCount = 20
	slotWidth = Window/slotCount + Window/slotCount/50
)

// Memory of demand.
const (
	// demandPeriods is the number of asks whose demand counts.
	demandPeriods = 3
	// demandMemory is the time for which a share is kept for the largest
	// demand at once.
	demandMemory = 10 * time.Second
)

// Bucket limits what one host spends. It is not safe for concurrent use.
type Bucket[U Unit] struct {
	born  time.Time
	seen  time.Time
	floor raise[U]

	// The lease that the bucket lives by.
	share   U
	expires time.Time
	applied uint64

	// The last ask.
	asked  uint64
	sentAt time.Time

	slots [slotCount + 1]U
	head  int64
	spent U

	// offered is the demand since the last ask, recent that of the periods
	// before it, in units a window.
	offered U
	recent  [demandPeriods]U
	// largest is the largest demand at once, offeredAt the last ask that had any.
	largest   U
	offeredAt time.Time
}

// NewBucket returns a bucket of a process that started at born. The floor is
// what may be spent in each window without a lease.
func NewBucket[U Unit](born time.Time, floor U) *Bucket[U] {
	b := &Bucket[U]{born: born}
	b.floor.put(born, floor)
	return b
}

// SetFloor changes the floor: at once when it falls, after [Settle] when it rises.
func (b *Bucket[U]) SetFloor(now time.Time, floor U) { b.floor.put(now, floor) }

// Spend takes n units if the window has room for them.
func (b *Bucket[U]) Spend(now time.Time, n U) bool {
	b.Offer(n)
	return b.Retry(now, n)
}

// Offer counts demand without spending.
func (b *Bucket[U]) Offer(n U) {
	b.offered += n
	b.largest = max(b.largest, n)
}

// Retry is a Spend that was refused before, and is no new demand.
func (b *Bucket[U]) Retry(now time.Time, n U) bool {
	if n > b.Room(now) {
		return false
	}
	b.slots[b.head%(slotCount+1)] += n
	b.spent += n
	return true
}

// Room returns what may be spent at now.
func (b *Bucket[U]) Room(now time.Time) U {
	b.advance(now)
	return max(0, b.Limit(now)-b.spent)
}

// Limit returns what may be spent in a window that ends at now. A lease that
// has expired doesn't count, and a new process has nothing for a window.
func (b *Bucket[U]) Limit(now time.Time) U {
	if now.Before(b.born.Add(slotCount * slotWidth)) {
		return 0
	}
	limit := b.floor.get(now)
	if now.Before(b.expires) {
		limit += b.share
	}
	return limit
}

// Expires returns the time at which the lease ends.
func (b *Bucket[U]) Expires() time.Time { return b.expires }

// advance drops the slots that the window has left behind. When the clock was
// set back, spending stays counted until it has caught up, and the lease is
// given up, as its end can't be told.
func (b *Bucket[U]) advance(now time.Time) {
	if now.Before(b.seen.Add(-slotWidth)) {
		b.expires = time.Time{}
	}
	if now.After(b.seen) {
		b.seen = now
	}
	at := int64(now.Sub(b.born) / slotWidth)
	if at-b.head > slotCount {
		clear(b.slots[:])
		b.spent, b.head = 0, at
		return
	}
	for b.head < at {
		b.head++
		i := b.head % (slotCount + 1)
		b.spent -= b.slots[i]
		b.slots[i] = 0
	}
}

// Ask returns the next ask, which must be sent after now. From then on the
// bucket applies no grant of an earlier one. Pending is work that waits for room.
func (b *Bucket[U]) Ask(now time.Time, pending U) Ask[U] {
	b.measure(now)
	b.asked++
	b.sentAt = now
	demand := max(b.recent[0], b.recent[1], b.recent[2])
	want := max(demand+demand/4+pending, b.largest)
	return Ask[U]{Sequence: b.asked, Applied: b.applied, Want: want}
}

// measure updates the demand. It follows a rise at once and forgets one after
// a few periods.
func (b *Bucket[U]) measure(now time.Time) {
	period := Renew
	if !b.sentAt.IsZero() {
		period = max(Renew, now.Sub(b.sentAt))
	}
	copy(b.recent[1:], b.recent[:])
	b.recent[0] = U(float64(b.offered) * float64(Window) / float64(period))
	if b.offered > 0 {
		b.offeredAt = now
	}
	if now.Sub(b.offeredAt) > demandMemory {
		b.largest = 0
	}
	b.offered = 0
}

// Apply takes the grant that answers the last ask. It reports false for any
// other grant, for a second copy and for one that came after its end.
func (b *Bucket[U]) Apply(now time.Time, g Grant[U]) bool {
	expires := b.sentAt.Add(Life)
	if g.Sequence != b.asked || g.Sequence == b.applied || !now.Before(expires) {
		return false
	}
	b.applied, b.share, b.expires = g.Sequence, g.Share, expires
	return true
}

// Idle reports whether the bucket spends nothing and has had no demand lately.
func (b *Bucket[U]) Idle(now time.Time) bool {
	b.advance(now)
	return b.spent == 0 && b.offered == 0 && b.largest == 0
}
