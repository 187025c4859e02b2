package lease

import (
	"slices"
	"time"
)

// askParts is the share of the lease's length that must be left before its
// holder turns to the successor.
const askParts = 3

// Message is what goes from a holder to its successor.
type Message struct {
	From ID  `msgpack:"from"`
	To   ID  `msgpack:"to"`
	Ask  Ask `msgpack:"ask"`
	// Leave asks to end the regime instead.
	Leave bool `msgpack:"leave"`
	// Taken are the leases that the holder took over without the table. They
	// pass to whoever takes its own.
	Taken []ID `msgpack:"taken"`
}

// Reply answers a message.
type Reply struct {
	From ID `msgpack:"from"`
	// Granted tells whether the pledge was made or the regime ended.
	Granted bool `msgpack:"granted"`
	Leave   bool `msgpack:"leave"`
	Ask     Ask  `msgpack:"ask"`
	Taken   []ID `msgpack:"taken"`
}

// Message returns the message that is due to the successor at now. Tabled
// tells whether the table answers in good time.
func (n *Node) Message(now time.Time, tabled bool) (Message, bool) {
	m := Message{From: n.self.ID}
	if n.holder.Mode() == Regime {
		m.To = n.asked[len(n.asked)-1]
		if l, ok := n.holder.Leave(); ok && tabled {
			m.Leave, m.Ask.Regime = true, l.Regime
			return m, true
		}
	} else {
		m.To = n.self.Successor
		left := n.holder.Until().Sub(now)
		if m.To.Term == 0 || left > n.terms.Length/askParts || n.evicting() {
			return Message{}, false
		}
	}
	m.Taken = n.takes()
	h, a, ok := n.holder.WithAsk(now)
	if !ok {
		return Message{}, false
	}
	if n.holder.Mode() == Table {
		n.asked = []ID{m.To}
		n.counts.Regimes++
	}
	n.holder, m.Ask = h, a
	return m, true
}

// Answer answers another holder's message, or refuses it.
func (n *Node) Answer(now time.Time, m Message) Reply {
	r := Reply{From: n.self.ID, Leave: m.Leave, Ask: m.Ask, Taken: m.Taken}
	w, ok := n.watches[m.From]
	if !ok || m.To != n.self.ID {
		return r
	}
	if m.Leave {
		w, _, r.Granted = w.WithLeave(Leave{Regime: m.Ask.Regime})
	} else if n.holder.Valid(now) && n.entitled(now, m.From) {
		w, _, r.Granted = w.WithAsk(now, m.Ask)
		if r.Granted {
			n.counts.Pledged++
			if l := n.lists[m.From]; m.Ask.Sent.After(l.sent) {
				n.lists[m.From] = list{m.Ask.Sent, m.Taken}
			}
		}
	}
	n.watches[m.From] = w
	return r
}

// entitled reports whether this host has the role of the lease's successor, by
// name or by having taken over the one that is named.
func (n *Node) entitled(now time.Time, id ID) bool {
	r, ok := n.rows[id.Host]
	return ok && r.ID == id && (r.Successor == n.self.ID || n.watches[r.Successor].Taken(now))
}

// Receive counts the answer to a message.
func (n *Node) Receive(r Reply) {
	if !r.Granted || !slices.Contains(n.asked, r.From) {
		return
	}
	if !r.Leave {
		n.holder = n.holder.WithPledge(Pledge(r.Ask))
		if n.holder.mode == Regime && n.holder.regime == r.Ask.Regime {
			n.confirm(r.Taken)
		}
		return
	}
	n.holder = n.holder.WithLeft(Left{Regime: r.Ask.Regime})
	if n.holder.Mode() == Table {
		n.asked = nil
	}
}

// list is what a holder took over, as it told with a message.
type list struct {
	sent  time.Time
	taken []ID
}

// takes returns the leases taken over without the table, confirmed or not.
func (n *Node) takes() []ID {
	var out []ID
	for id, w := range n.watches {
		if w.taken && !w.over {
			out = append(out, id)
		}
	}
	return out
}

func (n *Node) confirm(taken []ID) {
	for _, id := range taken {
		if w, ok := n.watches[id]; ok {
			n.watches[id] = w.WithConfirmed()
		}
	}
}

// Take takes over, without the table, the leases whose pledges lapsed, and
// what they had taken over. It acts for them once its own successor knows of it.
func (n *Node) Take(now time.Time) []ID {
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
		for _, t := range n.lists[id].taken {
			if v, ok := n.watches[t]; ok {
				n.watches[t] = v.WithInherited()
			}
		}
	}
	return out
}
