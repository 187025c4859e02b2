package budget

import "time"

// Unit is the type of a quantity that a budget limits.
type Unit interface{ ~int64 }

// Requests counts requests.
type Requests int64

// Bytes counts bytes.
type Bytes int64

// Time limits of the lending protocol.
const (
	// Window is the length of the intervals in which the cap holds. They may
	// start at any time.
	Window = time.Second
	// Life is the validity of a grant from the sending of its ask.
	Life = 2 * time.Second
	// Renew is the time between two asks of a host for the same budget.
	Renew = 500 * time.Millisecond
	// Margin covers the drift between two clocks over the validity of a grant
	// and a window.
	Margin = 100 * time.Millisecond
	// Settle is the time from a rise of a cap or a floor until the rise may be
	// used. It covers the propagation of the change to all hosts and the validity
	// of the grants that were made before.
	Settle = 6 * time.Second
	// grantRetention is the time for which the lender counts a grant as lent.
	grantRetention = Life + Window + Margin
	// droppedRetention is the time for which the lender counts a grant after an
	// ask has shown that the process no longer spends by it: what was spent by it
	// stays in the window for that long.
	droppedRetention = Window + Margin
)

// Ask is the request of a process for a share.
type Ask[U Unit] struct {
	// Sequence increases with each ask of a process. The process applies only the
	// grant of its last ask.
	Sequence uint64 `msgpack:"sequence"`
	// Applied is the sequence of the ask whose grant the process applied last, 0
	// for none.
	Applied uint64 `msgpack:"applied"`
	// Want is the demand of the process in units per window.
	Want U `msgpack:"want"`
}

// Grant is a lease on a share of the cap.
type Grant[U Unit] struct {
	// Sequence is the sequence of the ask.
	Sequence uint64 `msgpack:"sequence"`
	// Share is the number of units that may be spent in each window.
	Share U `msgpack:"share"`
}

// delayedRise is a value whose falls apply at once and whose rises apply after
// [Settle].
type delayedRise[U Unit] struct {
	// next replaces value at risesAt. It equals value when no rise is pending.
	value, next U
	risesAt     time.Time
	set         bool
}

// put sets the value. The first value applies at once.
func (r *delayedRise[U]) put(now time.Time, v U) {
	if !r.set || v <= r.get(now) {
		*r = delayedRise[U]{value: v, next: v, set: true}
		return
	}
	if v != r.next {
		r.next, r.risesAt = v, now.Add(Settle)
	}
}

// get returns the value at now.
func (r *delayedRise[U]) get(now time.Time) U {
	if r.next != r.value && !now.Before(r.risesAt) {
		r.value = r.next
	}
	return r.value
}
