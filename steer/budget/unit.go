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
	// GrantValidity is the validity of a grant from the sending of its share request.
	GrantValidity = 2 * time.Second
	// RenewInterval is the time between two share requests of a host for the same budget.
	RenewInterval = 500 * time.Millisecond
	// DriftMargin covers the drift between two clocks over the validity of a grant
	// and a window.
	DriftMargin = 100 * time.Millisecond
	// RiseDelay is the time from a rise of a cap or a floor until the rise may be
	// used. It covers the propagation of the change to all hosts and the validity
	// of the grants that were made before.
	RiseDelay = 6 * time.Second
	// grantRetention is the time for which the lender counts a grant as lent.
	grantRetention = GrantValidity + Window + DriftMargin
	// droppedRetention is the time for which the lender counts a grant after a
	// share request has shown that the process no longer spends under it: what was spent
	// under it stays in the window for that long.
	droppedRetention = Window + DriftMargin
)

// ShareRequest is the request of a process for a share.
type ShareRequest[U Unit] struct {
	// Sequence increases with each share request of a process. The process applies only the
	// grant of its last share request.
	Sequence uint64 `msgpack:"sequence"`
	// Applied is the sequence of the share request whose grant the process applied last, 0
	// for none.
	Applied uint64 `msgpack:"applied"`
	// Want is the demand of the process in units per window.
	Want U `msgpack:"want"`
}

// Grant is a lease on a share of the cap.
type Grant[U Unit] struct {
	// Sequence is the sequence of the share request.
	Sequence uint64 `msgpack:"sequence"`
	// Share is the number of units that may be spent in each window.
	Share U `msgpack:"share"`
}

// delayedRise is a value whose falls apply at once and whose rises apply after
// [RiseDelay].
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
		r.next, r.risesAt = v, now.Add(RiseDelay)
	}
}

// get returns the value at now.
func (r *delayedRise[U]) get(now time.Time) U {
	if r.next != r.value && !now.Before(r.risesAt) {
		r.value = r.next
	}
	return r.value
}
