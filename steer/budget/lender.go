package budget

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of a lender.
const (
	// maxSpenders bounds the processes that a lender keeps in mind.
	maxSpenders = 8192
	// maxHeld bounds the grants kept in mind for a process.
	maxHeld = 8
	// levelAge is the time for which the computed division is used.
	levelAge = 50 * time.Millisecond
)

// held is a grant that its spender may live by. It counts until a time on
// the lender's clock. Sequence 0 stands for several grants.
type held[U Unit] struct {
	sequence uint64
	share    U
	until    time.Time
}

// spender is what the lender knows of one process.
type spender[U Unit] struct {
	sequence uint64
	want     U
	heard    time.Time
	held     []held[U]
	// counted is at least what the process may live by.
	counted U
}

// Lender lends shares of a cap. It is not safe for concurrent use. It must be
// used only while the host's lease on the cell is valid.
type Lender[U Unit] struct {
	lendable raise[U]
	opens    time.Time
	released bool
	spenders map[string]*spender[U]

	level   level[U]
	levelAt time.Time
	// counted is the sum of what is counted for all processes.
	counted U
}

// NewLender returns the lender of a keeper that took over at now and doesn't
// know what was lent before: it lends nothing until all of that has lapsed.
func NewLender[U Unit](now time.Time) *Lender[U] {
	return &Lender[U]{opens: now.Add(lapse), spenders: make(map[string]*spender[U])}
}

// Configure sets the cap in units a window and the floor that is never lent.
// A raise holds after [Settle].
func (l *Lender[U]) Configure(now time.Time, limit, floor U) {
	l.lendable.put(now, max(0, limit-floor))
	l.levelAt = time.Time{}
}

// Opens returns the time from which the lender lends.
func (l *Lender[U]) Opens() time.Time { return l.opens }

// Grant answers the ask of a process. The process name must change with each
// start of the host. It returns false for an ask that came after a later one
// and after a release.
func (l *Lender[U]) Grant(now time.Time, process string, a Ask[U]) (Grant[U], bool) {
	if l.released {
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
	s.sequence, s.want, s.heard = a.Sequence, max(0, a.Want), now
	s.drop(now, a.Applied)
	g := Grant[U]{Sequence: a.Sequence}
	if !now.Before(l.opens) && s.want > 0 {
		l.refresh(now)
		free := l.lendable.get(now) - (l.counted - s.counted)
		g.Share = min(l.level.share(s.want), max(0, free))
	}
	s.hold(held[U]{a.Sequence, g.Share, now.Add(lapse)})
	l.count(now, s)
	return g, true
}

// Lent returns what is lent and may be spent in a window that holds now.
func (l *Lender[U]) Lent(now time.Time) U {
	var sum U
	for _, s := range l.spenders {
		sum += s.lent(now)
	}
	return sum
}

// Counted returns at least what is lent, without a look at each process.
func (l *Lender[U]) Counted() U { return l.counted }

// Spenders returns the number of processes that hold a grant.
func (l *Lender[U]) Spenders(now time.Time) int {
	l.prune(now)
	return len(l.spenders)
}

// prune forgets the processes that hold nothing.
func (l *Lender[U]) prune(now time.Time) {
	for n, s := range l.spenders {
		if s.lent(now) == 0 && now.Sub(s.heard) > lapse {
			l.counted -= s.counted
			delete(l.spenders, n)
		}
	}
}

// refresh counts what is lent and divides the rate anew when that is due. In
// between, counts only grow, which errs on the safe side.
func (l *Lender[U]) refresh(now time.Time) {
	if !l.levelAt.IsZero() && now.Sub(l.levelAt) < levelAge {
		return
	}
	l.prune(now)
	wants := make([]U, 0, len(l.spenders))
	for _, s := range l.spenders {
		l.count(now, s)
		if s.want > 0 && now.Sub(s.heard) < Life {
			wants = append(wants, s.want)
		}
	}
	l.level, l.levelAt = divide(l.lendable.get(now), wants), now
}

// count brings the sum to what the process may live by.
func (l *Lender[U]) count(now time.Time, s *spender[U]) {
	lent := s.lent(now)
	l.counted += lent - s.counted
	s.counted = lent
}

// lent returns the greatest share that the process may live by.
func (s *spender[U]) lent(now time.Time) U {
	var most U
	for _, h := range s.held {
		if now.Before(h.until) {
			most = max(most, h.share)
		}
	}
	return most
}

// drop shortens the grants that the spender said not to live by.
func (s *spender[U]) drop(now time.Time, applied uint64) {
	for i, h := range s.held {
		if until := now.Add(retire); h.sequence != applied && h.sequence != 0 && until.Before(h.until) {
			s.held[i].until = until
		}
	}
	s.held = slices.DeleteFunc(s.held, func(h held[U]) bool { return !now.Before(h.until) })
}

// hold adds a grant. When there are too many, the oldest two become one that
// covers both.
func (s *spender[U]) hold(h held[U]) {
	s.held = append(s.held, h)
	if len(s.held) <= maxHeld {
		return
	}
	a, b := s.held[0], s.held[1]
	if a.until.After(b.until) {
		b.until = a.until
	}
	b.sequence, b.share = 0, max(a.share, b.share)
	s.held = append(s.held[:0], append([]held[U]{b}, s.held[2:]...)...)
}

// level is a division of a rate over demands.
type level[U Unit] struct {
	// top is the most that a spender gets of its demand.
	top U
	// spare is added to each share when the demands leave some.
	spare U
}

func (v level[U]) share(want U) U { return min(want, v.top) + v.spare }

// divide gives each demand the same share unless it wants less. What is left
// is spread over all and one newcomer.
func divide[U Unit](rate U, wants []U) level[U] {
	slices.SortFunc(wants, func(a, b U) int { return cmp.Compare(a, b) })
	left := rate
	for i, w := range wants {
		n := U(len(wants) - i)
		if w > left/n {
			return level[U]{top: max(left/n, min(1, left))}
		}
		left -= w
	}
	return level[U]{top: rate, spare: left / U(len(wants)+1)}
}
