package budget

import "time"

// Handover is the lending state that a stopping keeper sends to the new keeper,
// so that the new keeper can lend without waiting for all grants to expire.
type Handover[U Unit] struct {
	// Wait is the time until the lender would have started to lend, 0 when it
	// lent already.
	Wait time.Duration `msgpack:"wait"`
	// Lendable is the cap without the floor that the lender had in force, in
	// units per window.
	Lendable U `msgpack:"lendable"`
	// Spenders are the processes with unexpired grants.
	Spenders []OutstandingGrants[U] `msgpack:"spenders"`
}

// OutstandingGrants lists the grants that one process may still spend.
type OutstandingGrants[U Unit] struct {
	Process  string `msgpack:"process"`
	Sequence uint64 `msgpack:"sequence"`
	Want     U      `msgpack:"want"`
	// Grants are the grants that still count as lent.
	Grants []RemainingGrant[U] `msgpack:"grants"`
}

// RemainingGrant is a grant with the remaining time for which it counts as lent.
type RemainingGrant[U Unit] struct {
	Sequence  uint64        `msgpack:"sequence"`
	Share     U             `msgpack:"share"`
	Remaining time.Duration `msgpack:"left"`
}

// Close stops the lender: it grants nothing afterwards.
func (l *Lender[U]) Close() { l.closed = true }

// Release closes the lender and returns its outstanding grants for the new keeper.
func (l *Lender[U]) Release(now time.Time) Handover[U] {
	l.Close()
	out := Handover[U]{Wait: max(0, l.lendsFrom.Sub(now)), Lendable: l.lendable.get(now)}
	for p, s := range l.spenders {
		o := OutstandingGrants[U]{Process: p, Sequence: s.sequence, Want: s.want}
		for _, g := range s.grants {
			if left := g.until.Sub(now); left > 0 {
				o.Grants = append(o.Grants, RemainingGrant[U]{g.sequence, g.share, left})
			}
		}
		if len(o.Grants) > 0 {
			out.Spenders = append(out.Spenders, o)
		}
	}
	return out
}

// ResumeLender returns the lender of a keeper that took over at now with the
// handover of the former keeper.
func ResumeLender[U Unit](now time.Time, h Handover[U]) *Lender[U] {
	l := NewLender[U](now)
	l.lendsFrom = now.Add(h.Wait)
	l.lendable.put(now, h.Lendable)
	for _, o := range h.Spenders {
		s := &spender[U]{sequence: o.Sequence, want: o.Want, requestedAt: now}
		for _, g := range o.Grants {
			s.grants = append(s.grants, outstandingGrant[U]{g.Sequence, g.Share, now.Add(g.Remaining)})
		}
		l.spenders[o.Process] = s
		l.updateCounted(now, s)
	}
	return l
}
