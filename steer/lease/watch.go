package lease

import "time"

// Watch is what an observer knows of another host's lease.
type Watch struct {
	terms Terms
	// version is that of the row, seen when a read first showed it.
	version int64
	seen    time.Time
	// read is when the last read began, and changed when the last read began
	// that still showed the row's predecessor: the row isn't older.
	read    time.Time
	changed time.Time

	promised time.Time
	open     bool
	regime   uint64
	ended    uint64

	evicting bool
	over     bool
	void     bool
	taken    bool
	// confirmed is set once the observer's own successor knows of the
	// takeover.
	confirmed bool
	until     time.Time
}

// NewWatch returns a watch that has seen nothing.
func NewWatch(t Terms) Watch { return Watch{terms: t} }

// Version returns the version of the row that was read last.
func (w Watch) Version() int64 { return w.version }

// Open reports whether a regime is open in which this host pledged.
func (w Watch) Open() bool { return w.open }

// WithRow counts a read of the row that began at a time and ended at now. The
// row says up to which regime all have ended.
func (w Watch) WithRow(began, now time.Time, version int64, ended uint64) Watch {
	if version != w.version {
		w.void = false
		w.ended = max(w.ended, ended)
		w.open = w.open && w.regime > w.ended
		w.changed = w.read
		w.version, w.seen = version, now
		// A transaction that checks the former version can't succeed now.
		w.evicting = false
	}
	w.read = began
	return w
}

// WithAsk promises not to take over, or refuses. It must be called only while
// the observer's own lease is valid.
func (w Watch) WithAsk(now time.Time, a Ask) (Watch, Pledge, bool) {
	if w.refuses() || a.Regime <= w.ended {
		return w, Pledge{}, false
	}
	w.open = true
	w.regime = max(w.regime, a.Regime)
	w.promised = later(w.promised, now.Add(w.terms.Wait(w.terms.Length)))
	return w, Pledge(a), true
}

// WithLeave ends a regime, or refuses. The observer's own lease need not be
// valid: it only gives a right up.
func (w Watch) WithLeave(l Leave) (Watch, Left, bool) {
	if w.refuses() {
		return w, Left{}, false
	}
	w.ended = max(w.ended, l.Regime)
	w.open = w.open && w.regime > l.Regime
	return w, Left(l), true
}

// WithTakeover takes over without the table: the observer pledged in the open
// regime and the pledge lapsed. It must be called only while the observer's
// own lease is valid.
func (w Watch) WithTakeover(now time.Time) (Watch, bool) {
	if w.taken || w.over || !w.open || now.Before(w.promised) || w.changed.IsZero() {
		return w, false
	}
	until := w.changed.Add(w.terms.Extent)
	if !now.Before(until) {
		return w, false
	}
	w.taken, w.open, w.until = true, false, until
	return w, true
}

// WithInherited takes over what a lease that the observer took over had taken.
func (w Watch) WithInherited() Watch {
	w.taken, w.open, w.until = true, false, w.changed.Add(w.terms.Extent)
	return w
}

// WithConfirmed says that the observer's own successor knows of the takeover.
func (w Watch) WithConfirmed() Watch {
	w.confirmed = w.taken
	return w
}

// Taken reports whether the observer took over without the table and may
// still act at now, provided that its own lease is valid.
func (w Watch) Taken(now time.Time) bool {
	return w.taken && w.confirmed && !w.evicting && !w.over && now.Before(w.until)
}

// MayEvict reports whether the lease may be ended in the table by a
// transaction that checks the row's version.
func (w Watch) MayEvict(now time.Time, successor bool) bool {
	if w.version == 0 || w.over {
		return false
	}
	if w.taken && now.Before(w.until) {
		return true
	}
	if !now.Before(w.seen.Add(w.terms.Wait(w.terms.Extent))) {
		return true
	}
	return successor && !w.void && !now.Before(w.promised) && w.stood(now)
}

// MayReplace reports whether the row stood still so long that the next
// process at the holder's address may declare the lease over.
func (w Watch) MayReplace(now time.Time) bool { return w.version != 0 && w.stood(now) }

func (w Watch) stood(now time.Time) bool {
	return !now.Before(w.seen.Add(w.terms.Wait(w.terms.Length)))
}

// WithOver says that the lease is over in the table: nothing is pledged for it
// or taken over from it any more.
func (w Watch) WithOver() Watch {
	w.over = true
	return w
}

// WithVoid gives up all rights as a successor until the holder writes its row
// again: another host may have them.
func (w Watch) WithVoid() Watch {
	w.void, w.open, w.taken, w.confirmed = true, false, false, false
	return w
}

func (w Watch) refuses() bool { return w.taken || w.evicting || w.over || w.void }

// WithEvicting says that the transaction of [Watch.MayEvict] is under way.
// Nothing is pledged until it is known to have failed.
func (w Watch) WithEvicting(e bool) Watch {
	w.evicting = e
	return w
}
