package lease

import (
	"slices"
	"time"
)

// pledgeDivisor sets when a holder in table mode requests a pledge: once the
// remaining validity is at most the length of a lease divided by it.
const pledgeDivisor = 3

// Message is a request from a holder to its successor.
type Message struct {
	From    ID            `msgpack:"from"`
	To      ID            `msgpack:"to"`
	Request PledgeRequest `msgpack:"ask"`
	// EndRegime requests the end of the regime instead of a pledge.
	EndRegime bool `msgpack:"leave"`
	// Taken are the leases that the holder took over without the table. Whoever
	// takes over the holder's own lease takes these over too.
	Taken []ID `msgpack:"taken"`
}

// Reply is the successor's response to a [Message].
type Reply struct {
	From ID `msgpack:"from"`
	// Granted reports whether the successor pledged or ended the regime.
	Granted bool `msgpack:"granted"`
	// EndRegime, Request and Taken are copied from the message.
	EndRegime bool          `msgpack:"leave"`
	Request   PledgeRequest `msgpack:"ask"`
	Taken     []ID          `msgpack:"taken"`
}

// Message returns the message that is due to the successor at now, if any. In
// table mode one is due only shortly before the lease expires and while no
// eviction by this host may still take effect; it enters a regime. TableResponsive
// tells whether the table responds fast enough for renewals; if so, the message in
// a regime requests the end of the regime.
func (n *Node) Message(now time.Time, tableResponsive bool) (Message, bool) {
	m := Message{From: n.self.ID}
	if n.holder.Mode() == Regime {
		m.To = n.successors[len(n.successors)-1]
		if l, ok := n.holder.EndRegime(); ok && tableResponsive {
			m.EndRegime, m.Request.Regime = true, l.Regime
			return m, true
		}
	} else {
		m.To = n.self.Successor
		left := n.holder.Until().Sub(now)
		if m.To.Term == 0 || left > n.params.Length/pledgeDivisor || n.evictionPending() {
			return Message{}, false
		}
	}
	m.Taken = n.takenOver()
	h, a, ok := n.holder.WithPledgeRequest(now)
	if !ok {
		return Message{}, false
	}
	if n.holder.Mode() == Table {
		n.successors = []ID{m.To}
		n.counts.Regimes++
	}
	n.holder, m.Request = h, a
	return m, true
}

// Handle processes the message of another holder and returns the reply. It
// refuses requests that this host may not grant.
func (n *Node) Handle(now time.Time, m Message) Reply {
	r := Reply{From: n.self.ID, EndRegime: m.EndRegime, Request: m.Request, Taken: m.Taken}
	w, ok := n.watches[m.From]
	if !ok || m.To != n.self.ID {
		return r
	}
	if m.EndRegime {
		w, _, r.Granted = w.WithRegimeEnded(EndRegime{Regime: m.Request.Regime})
	} else if n.holder.Valid(now) && n.entitled(now, m.From) {
		w, _, r.Granted = w.WithPledge(now, m.Request)
		if r.Granted {
			n.counts.Pledged++
			if last := n.reports[m.From]; m.Request.Sent.After(last.sent) {
				n.reports[m.From] = takenReport{m.Request.Sent, m.Taken}
			}
		}
	}
	n.watches[m.From] = w
	return r
}

// entitled reports whether this host is the lease's successor: the row names
// this host's lease, or one that this host has taken over.
func (n *Node) entitled(now time.Time, id ID) bool {
	r, ok := n.rows[id.Host]
	return ok && r.ID == id && (r.Successor == n.self.ID || n.watches[r.Successor].Taken(now))
}

// Receive processes the reply to a message.
func (n *Node) Receive(r Reply) {
	if !r.Granted || !slices.Contains(n.successors, r.From) {
		return
	}
	if !r.EndRegime {
		n.holder = n.holder.WithPledge(Pledge(r.Request))
		if n.holder.mode == Regime && n.holder.regime == r.Request.Regime {
			n.confirmTaken(r.Taken)
		}
		return
	}
	n.holder = n.holder.WithRegimeEnded(RegimeEnded{Regime: r.Request.Regime})
	if n.holder.Mode() == Table {
		n.successors = nil
	}
}

// takenReport is a holder's latest report of the leases that it has taken over
// without the table.
type takenReport struct {
	// sent is when the message with the report was sent, on the holder's clock.
	sent  time.Time
	taken []ID
}

// takenOver returns the leases that this host took over without the table,
// confirmed or not.
func (n *Node) takenOver() []ID {
	var out []ID
	for id, w := range n.watches {
		if w.taken && !w.ended {
			out = append(out, id)
		}
	}
	return out
}

func (n *Node) confirmTaken(taken []ID) {
	for _, id := range taken {
		if w, ok := n.watches[id]; ok {
			n.watches[id] = w.WithConfirmed()
		}
	}
}

// TakeOver takes over, without the table, the leases for which this host's pledges
// have expired, and the leases that their holders had taken over. It returns the
// former. The host acts under all of them once its own successor has acknowledged
// the takeover. Outside a regime and without a valid lease of its own, the host
// takes over nothing.
func (n *Node) TakeOver(now time.Time) []ID {
	var out []ID
	if !n.holder.Valid(now) || n.holder.Mode() != Regime {
		return nil
	}
	for id, w := range n.watches {
		next, ok := w.WithTakeover(now)
		if !ok || !n.entitled(now, id) {
			continue
		}
		n.watches[id] = next
		n.counts.Takeovers++
		out = append(out, id)
		for _, t := range n.reports[id].taken {
			if v, ok := n.watches[t]; ok {
				n.watches[t] = v.WithInherited()
			}
		}
	}
	return out
}
