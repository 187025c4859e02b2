package budget

import "time"

// Unit is what a budget counts.
type Unit interface{ ~int64 }

// Requests counts requests.
type Requests int64

// Bytes counts bytes.
type Bytes int64

// Times of lending.
const (
	// Window is the interval in which the cap holds wherever it starts.
	Window = time.Second
	// Life is the time that a grant lasts from the sending of its ask.
	Life = 2 * time.Second
	// Renew is the time between two asks of a spender.
	Renew = 500 * time.Millisecond
	// Margin covers the difference between the rates of two clocks over the
	// life of a grant and a window.
	Margin = 100 * time.Millisecond
	// Settle is the time from a change of the cap until what it raises may be
	// used. It covers the spreading of the change and the life of grants.
	Settle = 6 * time.Second
	// lapse is the time for which the lender counts a grant as lent.
	lapse = Life + Window + Margin
	// retire is the time for which the lender counts a grant that its spender
	// said to have dropped.
	retire = Window + Margin
)

// Ask is a spender's request for a share.
type Ask[U Unit] struct {
	// Sequence grows with each ask of a process. The spender applies only the
	// grant that answers its last ask.
	Sequence uint64 `msgpack:"sequence"`
	// Applied is the sequence of the ask whose grant the spender lives by.
	Applied uint64 `msgpack:"applied"`
	// Want is the spender's demand in units a window.
	Want U `msgpack:"want"`
}

// Grant is a lease on a share of the cap.
type Grant[U Unit] struct {
	// Sequence is that of the ask.
	Sequence uint64 `msgpack:"sequence"`
	// Share is the number of units that may be spent in each window.
	Share U `msgpack:"share"`
}

// raise is a value that falls at once and rises after [Settle].
type raise[U Unit] struct {
	value, next U
	at          time.Time
	set         bool
}

// put sets the value. The first one holds at once.
func (r *raise[U]) put(now time.Time, v U) {
	if !r.set || v <= r.get(now) {
		*r = raise[U]{value: v, next: v, set: true}
		return
	}
	if v != r.next {
		r.next, r.at = v, now.Add(Settle)
	}
}

// get returns the value at now.
func (r *raise[U]) get(now time.Time) U {
	if r.next != r.value && !now.Before(r.at) {
		r.value = r.next
	}
	return r.value
}
