package lease

import (
	"time"

	"magnoliahitch/steer/eras"
)

// Watch is an observer's view of another host's lease.
type Watch struct {
	params Params
	// at is the row's position as last read.
	at eras.Position
	// firstSeen is when the first read that showed the version ended.
	firstSeen time.Time
	// readBegan is when the last read began.
	readBegan time.Time
	// notBefore is when the last read began that still showed the previous
	// version, so that the current version was written later. It is zero if no
	// read showed a previous version.
	notBefore time.Time

	// pledgedUntil is when the observer's last pledge expires.
	pledgedUntil time.Time
	// open is set while a regime is open in which the observer pledged.
	open bool
	// regime is the latest regime in which the observer pledged.
	regime uint64
	// endedRegime is the latest regime known to have ended.
	endedRegime uint64

	// evicting is set while an eviction by the observer may still take effect.
	evicting bool
	// ended is set once the lease has ended in the table.
	ended bool
	// noRights is set while the observer has no rights as a successor.
	noRights bool
	// taken is set once the observer took the lease over without the table.
	taken bool
	// confirmed is set once the observer's own successor has acknowledged the
	// takeover.
	confirmed bool
	// takenUntil is when the right from the takeover ends.
	takenUntil time.Time
}

// NewWatch returns a watch of a row that has not been read yet.
func NewWatch(t Params) Watch { return Watch{params: t} }

// At returns the row's position as last read.
func (w Watch) At() eras.Position { return w.at }

// Open reports whether the observer pledged in a regime that has not ended.
func (w Watch) Open() bool { return w.open }

// WithRow processes a read of the row that began at began and ended at now. All
// regimes up to and including endedRegime have ended.
func (w Watch) WithRow(began, now time.Time, at eras.Position, endedRegime uint64) Watch {
	if at != w.at {
		w.noRights = false
		w.endedRegime = max(w.endedRegime, endedRegime)
		w.open = w.open && w.regime > w.endedRegime
		w.notBefore = w.readBegan
		w.at, w.firstSeen = at, now
		// An eviction that requires the previous version can't commit any more.
		w.evicting = false
	}
	w.readBegan = began
	return w
}

// WithPledge pledges not to take over, or reports false to refuse. It must be called
// only while the observer's own lease is valid.
func (w Watch) WithPledge(now time.Time, a PledgeRequest) (Watch, Pledge, bool) {
	if w.refuses() || a.Regime <= w.endedRegime {
		return w, Pledge{}, false
	}
	w.open = true
	w.regime = max(w.regime, a.Regime)
	w.pledgedUntil = later(w.pledgedUntil, now.Add(w.params.Wait(w.params.Length)))
	return w, Pledge(a), true
}

// WithRegimeEnded ends a regime, or reports false to refuse. The observer's own lease
// need not be valid, because the observer only gives up a right.
func (w Watch) WithRegimeEnded(l EndRegime) (Watch, RegimeEnded, bool) {
	if w.refuses() {
		return w, RegimeEnded{}, false
	}
	w.endedRegime = max(w.endedRegime, l.Regime)
	w.open = w.open && w.regime > l.Regime
	return w, RegimeEnded(l), true
}

// WithTakeover takes the lease over without the table, or reports false. The
// observer must have pledged in the open regime, its pledge must have expired,
// and less than [Params.MaxExtension] must have passed since the earliest time at which
// the row can have been written. It must be called only while the observer's own
// lease is valid.
func (w Watch) WithTakeover(now time.Time) (Watch, bool) {
	if w.taken || w.ended || !w.open || now.Before(w.pledgedUntil) || w.notBefore.IsZero() {
		return w, false
	}
	until := w.notBefore.Add(w.params.MaxExtension)
	if !now.Before(until) {
		return w, false
	}
	w.taken, w.open, w.takenUntil = true, false, until
	return w, true
}

// WithInherited takes the lease over from a holder that had taken it over and
// whose own lease the observer has taken over.
func (w Watch) WithInherited() Watch {
	w.taken, w.open, w.takenUntil = true, false, w.notBefore.Add(w.params.MaxExtension)
	return w
}

// WithConfirmed records that the observer's own successor has acknowledged the
// takeover.
func (w Watch) WithConfirmed() Watch {
	w.confirmed = w.taken
	return w
}

// Taken reports whether the observer took the lease over without the table and
// may act under it at now, provided that the observer's own lease is valid.
func (w Watch) Taken(now time.Time) bool {
	return w.taken && w.confirmed && !w.evicting && !w.ended && now.Before(w.takenUntil)
}

// MayEvict reports whether the observer may end the lease in the table by a
// transaction that requires the row's version. It may if it has taken the lease
// over, if the row has been unchanged for [Params.MaxExtension], or if it is the
// successor, its pledge has expired and the row has been unchanged for
// [Params.Length]. Successor tells whether the row names the observer as successor.
func (w Watch) MayEvict(now time.Time, successor bool) bool {
	if w.at.IsZero() || w.ended {
		return false
	}
	if w.taken && now.Before(w.takenUntil) {
		return true
	}
	if !now.Before(w.firstSeen.Add(w.params.Wait(w.params.MaxExtension))) {
		return true
	}
	return successor && !w.noRights && !now.Before(w.pledgedUntil) && w.unchanged(now)
}

// MayReplace reports whether the row has been unchanged for longer than the length
// of a lease, so that the next process at the holder's address may end the lease.
func (w Watch) MayReplace(now time.Time) bool { return !w.at.IsZero() && w.unchanged(now) }

func (w Watch) unchanged(now time.Time) bool {
	return !now.Before(w.firstSeen.Add(w.params.Wait(w.params.Length)))
}

// WithEnded records that the lease has ended in the table. From then on the
// observer neither pledges for it nor takes it over.
func (w Watch) WithEnded() Watch {
	w.ended = true
	return w
}

// WithoutRights gives up all rights as a successor until the row changes, because
// another host may have them.
func (w Watch) WithoutRights() Watch {
	w.noRights, w.open, w.taken, w.confirmed = true, false, false, false
	return w
}

func (w Watch) refuses() bool { return w.taken || w.evicting || w.ended || w.noRights }

// WithEvicting sets whether the transaction of [Watch.MayEvict] is in flight.
// Until it is known to have failed, the observer refuses to pledge.
func (w Watch) WithEvicting(evicting bool) Watch {
	w.evicting = evicting
	return w
}
