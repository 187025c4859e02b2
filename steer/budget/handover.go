package budget

import "time"

// Handover is what a keeper that stops tells its successor of its lending.
type Handover[U Unit] struct {
	// Wait is the time until the lender would have lent.
	Wait time.Duration `msgpack:"wait"`
	// Lendable is the rate that was lent from.
	Lendable U `msgpack:"lendable"`
	// Spenders are the processes with what they may live by.
	Spenders []Outstanding[U] `msgpack:"spenders"`
}

// Outstanding is what one process may live by.
type Outstanding[U Unit] struct {
	Process  string `msgpack:"process"`
	Sequence uint64 `msgpack:"sequence"`
	Want     U      `msgpack:"want"`
	// Grants are the sequences, shares and times left of grants.
	Grants []Left[U] `msgpack:"grants"`
}

// Left is a grant with the time for which it counts as lent.
type Left[U Unit] struct {
	Sequence uint64        `msgpack:"sequence"`
	Share    U             `msgpack:"share"`
	Left     time.Duration `msgpack:"left"`
}

// Close ends the lending: the lender grants nothing afterwards.
func (l *Lender[U]) Close() { l.released = true }

// Release returns what is outstanding. The lender grants nothing afterwards.
func (l *Lender[U]) Release(now time.Time) Handover[U] {
	l.Close()
	out := Handover[U]{Wait: max(0, l.opens.Sub(now)), Lendable: l.lendable.get(now)}
	for n, s := range l.spenders {
		o := Outstanding[U]{Process: n, Sequence: s.sequence, Want: s.want}
		for _, h := range s.held {
			if left := h.until.Sub(now); left > 0 {
				o.Grants = append(o.Grants, Left[U]{h.sequence, h.share, left})
			}
		}
		if len(o.Grants) > 0 {
			out.Spenders = append(out.Spenders, o)
		}
	}
	return out
}

// ResumeLender returns the lender of a keeper that took over at now what its
// predecessor released before.
func ResumeLender[U Unit](now time.Time, h Handover[U]) *Lender[U] {
	l := NewLender[U](now)
	l.opens = now.Add(h.Wait)
	l.lendable.put(now, h.Lendable)
	for _, o := range h.Spenders {
		s := &spender[U]{sequence: o.Sequence, want: o.Want, heard: now}
		for _, g := range o.Grants {
			s.held = append(s.held, held[U]{g.Sequence, g.Share, now.Add(g.Left)})
		}
		l.spenders[o.Process] = s
		l.count(now, s)
	}
	return l
}
