package budget

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of a lender.
const (
	// maxSpenders is the number of processes that a lender tracks at most. Share requests
	// of further processes are refused.
	maxSpenders = 8192
	// maxGrants is the number of outstanding grants that are tracked for a
	// process. Beyond it the two oldest are merged.
	maxGrants = 8
	// maxDivisionAge is the time after which the cap is divided anew.
	maxDivisionAge = 50 * time.Millisecond
)

// outstandingGrant is a grant that its process may still spend. It counts as lent
// until a time on the lender's clock. Sequence 0 stands for several merged grants.
type outstandingGrant[U Unit] struct {
	sequence uint64
	share    U
	until    time.Time
}

// spender is the state of one process: the sequence, demand and time of its last
// share request, and its outstanding grants.
type spender[U Unit] struct {
	sequence    uint64
	want        U
	requestedAt time.Time
	grants      []outstandingGrant[U]
	// counted is the part of the lender's sum that stands for this process. It is
	// never below what the process may spend.
	counted U
}

// Lender leases shares of a cap to processes. It must be used only while the
// host's own lease on the cell is valid. It is not safe for concurrent use.
type Lender[U Unit] struct {
	// lendable is the cap without the floor, in units per window.
	lendable  delayedRise[U]
	lendsFrom time.Time
	closed    bool
	spenders  map[string]*spender[U]

	division  division[U]
	dividedAt time.Time
	// counted is the sum over all processes of what counts as lent.
	counted U
}

// NewLender returns the lender of a keeper that took over at now without a
// handover. It lends nothing until all grants of earlier keepers have expired.
func NewLender[U Unit](now time.Time) *Lender[U] {
	return &Lender[U]{lendsFrom: now.Add(grantRetention), spenders: make(map[string]*spender[U])}
}

// Configure sets the cap and the floor that is never lent, both in units
// per window. When the difference rises, the rise applies after [RiseDelay].
func (l *Lender[U]) Configure(now time.Time, limit, floor U) {
	l.lendable.put(now, max(0, limit-floor))
	l.dividedAt = time.Time{}
}

// LendsFrom returns the time from which the lender lends.
func (l *Lender[U]) LendsFrom() time.Time { return l.lendsFrom }

// Grant returns the grant for the share request of a process. The process name must be
// unique to each start of a host. It returns false when the lender is closed,
// when a share request of the same or a higher sequence came before, and when there are
// too many processes. Before [Lender.LendsFrom] the share is 0.
func (l *Lender[U]) Grant(now time.Time, process string, a ShareRequest[U]) (Grant[U], bool) {
	if l.closed {
		return Grant[U]{}, false
	}
	s := l.spenders[process]
	if s == nil {
		if len(l.spenders) >= maxSpenders {
			l.prune(now)
		}
		if len(l.spenders) >= maxSpenders {
			return Grant[U]{}, false
		}
		s = &spender[U]{}
		l.spenders[process] = s
	}
	if a.Sequence <= s.sequence {
		return Grant[U]{}, false
	}
	s.sequence, s.want, s.requestedAt = a.Sequence, max(0, a.Want), now
	s.shortenUnapplied(now, a.Applied)
	g := Grant[U]{Sequence: a.Sequence}
	if !now.Before(l.lendsFrom) && s.want > 0 {
		l.refresh(now)
		free := l.lendable.get(now) - (l.counted - s.counted)
		g.Share = min(l.division.share(s.want), max(0, free))
	}
	s.addGrant(outstandingGrant[U]{a.Sequence, g.Share, now.Add(grantRetention)})
	l.updateCounted(now, s)
	return g, true
}

// Lent returns the sum of the shares that may still be spent in a window that
// contains now, in units.
func (l *Lender[U]) Lent(now time.Time) U {
	var sum U
	for _, s := range l.spenders {
		sum += s.lent(now)
	}
	return sum
}

// Counted returns an upper bound of [Lender.Lent] without reading each process.
func (l *Lender[U]) Counted() U { return l.counted }

// Spenders returns the number of processes that hold a grant or sent a share request
// recently.
func (l *Lender[U]) Spenders(now time.Time) int {
	l.prune(now)
	return len(l.spenders)
}

// prune removes the processes that hold no share and whose last share request is so old
// that any grant of it has expired.
func (l *Lender[U]) prune(now time.Time) {
	for p, s := range l.spenders {
		if s.lent(now) == 0 && now.Sub(s.requestedAt) > grantRetention {
			l.counted -= s.counted
			delete(l.spenders, p)
		}
	}
}

// refresh updates the counted shares of all processes and the division of the
// rate when the last division is older than [maxDivisionAge]. Until then the
// expired grants of other processes stay counted, so that less is lent than could
// be, never more.
func (l *Lender[U]) refresh(now time.Time) {
	if !l.dividedAt.IsZero() && now.Sub(l.dividedAt) < maxDivisionAge {
		return
	}
	l.prune(now)
	wants := make([]U, 0, len(l.spenders))
	for _, s := range l.spenders {
		l.updateCounted(now, s)
		if s.want > 0 && now.Sub(s.requestedAt) < GrantValidity {
			wants = append(wants, s.want)
		}
	}
	l.division, l.dividedAt = divide(l.lendable.get(now), wants), now
}

// updateCounted sets what counts as lent to the process to what it may spend.
func (l *Lender[U]) updateCounted(now time.Time, s *spender[U]) {
	lent := s.lent(now)
	l.counted += lent - s.counted
	s.counted = lent
}

// lent returns the greatest share among the grants that the process may still
// spend. A process spends under one grant at a time.
func (s *spender[U]) lent(now time.Time) U {
	var most U
	for _, g := range s.grants {
		if now.Before(g.until) {
			most = max(most, g.share)
		}
	}
	return most
}

// shortenUnapplied shortens the time for which the grants other than the applied
// one count, and removes those that have expired. With its share request the process reports
// which grant it has applied, and it applies none of the others afterwards.
func (s *spender[U]) shortenUnapplied(now time.Time, applied uint64) {
	for i, g := range s.grants {
		if until := now.Add(droppedRetention); g.sequence != applied && g.sequence != 0 && until.Before(g.until) {
			s.grants[i].until = until
		}
	}
	s.grants = slices.DeleteFunc(s.grants, func(g outstandingGrant[U]) bool { return !now.Before(g.until) })
}

// addGrant adds a grant. When there are more than [maxGrants], the two oldest are
// merged into one with the greater share and the later expiry.
func (s *spender[U]) addGrant(g outstandingGrant[U]) {
	s.grants = append(s.grants, g)
	if len(s.grants) <= maxGrants {
		return
	}
	a, b := s.grants[0], s.grants[1]
	if a.until.After(b.until) {
		b.until = a.until
	}
	b.sequence, b.share = 0, max(a.share, b.share)
	s.grants = append(s.grants[:0], append([]outstandingGrant[U]{b}, s.grants[2:]...)...)
}

// division is a max-min fair division of a rate between demands.
type division[U Unit] struct {
	// ceiling limits the part of its demand that a process gets.
	ceiling U
	// spare is added to each share when the demands don't use up the rate.
	spare U
}

// share returns the share of a process with the demand want.
func (v division[U]) share(want U) U { return min(want, v.ceiling) + v.spare }

// divide gives all demands the same share, except those that want less. When all
// are met, the rest is divided between them and one further process, so that a new
// process finds a free share. While a unit is left, no demand gets less than 1;
// [Lender.Grant] limits the sum of the shares.
func divide[U Unit](rate U, wants []U) division[U] {
	slices.SortFunc(wants, func(a, b U) int { return cmp.Compare(a, b) })
	left := rate
	for i, w := range wants {
		n := U(len(wants) - i)
		if w > left/n {
			return division[U]{ceiling: max(left/n, min(1, left))}
		}
		left -= w
	}
	return division[U]{ceiling: rate, spare: left / U(len(wants)+1)}
}
