package lease

import "time"

// Purpose says what a write of the table is for.
type Purpose uint8

// Purposes of writes.
const (
	// Claim starts an own lease.
	Claim Purpose = iota
	// Renew renews the own lease.
	Renew
	// Replace says that an earlier process at the host's address is gone.
	Replace
	// Evict ends the lease of another host.
	Evict
	// Adopt makes this host the successor of a host whose successor is gone.
	Adopt
	// End ends the own lease at a planned stop.
	End
)

// String returns the purpose's name.
func (p Purpose) String() string {
	return [...]string{"claim", "renew", "replace", "evict", "adopt", "end"}[p]
}

// Write is a transaction that puts a row when it stands at a version.
type Write struct {
	Purpose Purpose
	Row     Row
	Version int64
	Sent    time.Time
	// Again is set when an earlier such write has an unknown outcome.
	Again bool
}

// Outcome says what became of a write.
type Outcome uint8

// Outcomes of writes.
const (
	// Unknown is a write that may take effect, now or later.
	Unknown Outcome = iota
	// Committed is a write that took effect.
	Committed
	// Failed is a write that has not and will not take effect.
	Failed
	// Conflicted is a failed write whose row stood at another version.
	Conflicted
)

// Next returns the write that is due at now, if any. [Node.Settle] must follow.
func (n *Node) Next(now time.Time) (Write, bool) {
	w, ok := n.own(now)
	if !ok {
		w, ok = n.others(now)
	}
	if !ok {
		return Write{}, false
	}
	w.Sent = now
	n.send(w)
	return w, true
}

// Finish returns the write that ends the own lease, after the cells have been
// handed over.
func (n *Node) Finish(now time.Time) (Write, bool) {
	if n.self.Term == 0 || n.holder.Mode() != Table {
		return Write{}, false
	}
	row := n.self
	row.Over = true
	row.Sequence = n.sequence + 1
	w := Write{Purpose: End, Row: row, Version: n.version, Sent: now}
	n.holder = n.holder.WithLoss()
	n.send(w)
	return w, true
}

func (n *Node) send(w Write) {
	if w.Row.Host == n.self.Host {
		n.sequence++
		n.write = &w
	}
	switch w.Purpose {
	case Claim:
		n.tried = w.Sent
	case Renew:
		n.tried = w.Sent
		n.holder = n.holder.WithUnsettled(n.doubted || w.Row.Successor != n.self.Successor)
	case Evict:
		n.watches[w.Row.ID] = n.watches[w.Row.ID].WithEvicting(true)
	}
}

// Settle counts the outcome of a write, known at now. An unknown outcome is
// settled by the next read that shows another version of the row.
func (n *Node) Settle(now time.Time, w Write, o Outcome, version int64) {
	n.settled = now
	if w.Row.Host != n.self.Host {
		n.settleOther(now, w, o, version)
		return
	}
	if n.write == nil || *n.write != w {
		// A read has settled it before.
		return
	}
	renames := w.Purpose == Renew && w.Row.Successor != n.self.Successor
	switch o {
	case Committed:
		n.write = nil
		n.rows[w.Row.Host] = Stored{Row: w.Row, Version: version}
		n.committed(w)
		n.version = version
		n.self.Successor = w.Row.Successor
		n.doubted = false
	case Failed:
		n.write = nil
	case Conflicted:
		n.write = nil
		n.doubted = n.doubted || renames
	case Unknown:
		n.doubted = n.doubted || renames
	}
	n.holder = n.holder.WithUnsettled(n.doubted)
}

func (n *Node) settleOther(now time.Time, w Write, o Outcome, version int64) {
	v, ok := n.watches[w.Row.ID]
	if !ok {
		return
	}
	switch {
	case o == Committed && w.Purpose == Evict:
		n.counts.Evictions++
		v = v.WithOver()
	case o == Committed:
		v = v.WithRow(w.Sent, now, version, w.Row.Regime)
	case o == Failed && w.Purpose == Evict && !w.Again:
		v = v.WithEvicting(false)
	}
	if o == Committed {
		n.rows[w.Row.Host] = Stored{Row: w.Row, Version: version}
	}
	n.watches[w.Row.ID] = v
}

// evicting reports whether an eviction may still take effect.
func (n *Node) evicting() bool {
	for _, w := range n.watches {
		if w.evicting && !w.over {
			return true
		}
	}
	return false
}

func (n *Node) committed(w Write) {
	switch w.Purpose {
	case Claim:
		n.holder = n.holder.WithClaim(w.Sent)
		n.self.ID, n.asked = w.Row.ID, nil
	case Renew:
		n.counts.Renewals++
		if n.returns(w) {
			n.holder, n.asked = n.holder.WithReturn(), nil
			n.renounce()
		}
		n.holder = n.holder.WithRenewal(w.Sent)
	}
}

// returns reports whether a write of the own row ends the regime because all
// its successors are gone.
func (n *Node) returns(w Write) bool {
	if n.holder.Mode() != Regime {
		return false
	}
	for _, id := range n.asked {
		if !n.Over(id) && !n.rows[id.Host].Gone || w.Row.Successor == id {
			return false
		}
	}
	return true
}

// own returns the write that is due for the own lease.
func (n *Node) own(now time.Time) (Write, bool) {
	r := n.rows[n.self.Host]
	if n.self.Term == 0 {
		return n.claim(now, r)
	}
	row := n.self
	row.Sequence = n.sequence + 1
	row.Successor = n.choose()
	row.Regime = n.holder.regime
	w := Write{Purpose: Renew, Row: row, Version: n.version}
	due := !now.Before(n.tried.Add(n.terms.Length / renewParts))
	if n.holder.Mode() == Regime {
		// The table doesn't extend a lease that lives by pledges.
		return w, due && n.returns(w)
	}
	return w, due
}

func (n *Node) claim(now time.Time, r Stored) (Write, bool) {
	if n.self.Leaving || now.Before(n.tried.Add(n.terms.Length/renewParts)) {
		return Write{}, false
	}
	if r.Version != 0 && !r.Over {
		return n.replace(now, r)
	}
	row := n.self
	row.Term = max(r.Term+1, n.start)
	row.Sequence = n.sequence + 1
	row.Successor = n.choose()
	return Write{Purpose: Claim, Row: row, Version: r.Version}, true
}

// replace says that the earlier process is gone. Its lease is over only when
// no process can be left that took it over.
func (n *Node) replace(now time.Time, r Stored) (Write, bool) {
	row := r.Row
	row.Gone, row.Over = true, true
	for _, o := range n.rows {
		row.Over = row.Over && (o.Over || o.Gone || o.Host == r.Host)
	}
	ok := row != r.Row && r.Address == n.self.Address && n.watches[r.ID].MayReplace(now)
	return Write{Purpose: Replace, Row: row, Version: r.Version}, ok
}

// others returns a write that is due for the lease of another host.
func (n *Node) others(now time.Time) (Write, bool) {
	for _, r := range n.Rows() {
		if r.Over || r.Host == n.self.Host {
			continue
		}
		row := r.Row
		if n.mayEvict(now, r) {
			row.Over = true
			return Write{Purpose: Evict, Row: row, Version: r.Version, Again: n.watches[r.ID].evicting}, true
		}
		if n.mayAdopt(now, r) {
			row.Successor = n.self.ID
			return Write{Purpose: Adopt, Row: row, Version: r.Version}, true
		}
	}
	return Write{}, false
}

// mayAdopt reports whether the role of the lease's successor is free, or this
// host's own by a takeover.
func (n *Node) mayAdopt(now time.Time, r Stored) bool {
	if !n.holder.Valid(now) || n.holder.Mode() != Table {
		return false
	}
	if n.watches[r.Successor].Taken(now) {
		return true
	}
	return n.Over(r.Successor) && n.watches[r.ID].MayReplace(now)
}

// succeeds reports whether another live lease names this one as successor.
func (n *Node) succeeds(id ID) bool {
	for _, r := range n.rows {
		if !r.Over && r.Host != n.self.Host && r.Successor == id {
			return true
		}
	}
	return false
}

func (n *Node) mayEvict(now time.Time, r Stored) bool {
	successor := r.Successor == n.self.ID && n.self.Term != 0
	// Nobody but the holder itself can have this host's role when each is the
	// other's successor.
	mutual := successor && n.self.Successor == r.ID
	// A holder in a regime could be taken over without the table, and its role
	// pass on, while the transaction is under way.
	if !mutual && (!n.holder.Valid(now) || n.holder.Mode() != Table) {
		return false
	}
	w := n.watches[r.ID]
	if w.taken && n.succeeds(r.ID) {
		// Its role as a successor is adopted first.
		return false
	}
	return w.Version() == r.Version && w.MayEvict(now, successor)
}

// choose returns the successor to be named in the own row.
func (n *Node) choose() ID {
	rows := []Row{n.self}
	for _, r := range n.rows {
		if !r.Over && !r.Gone && !r.Leaving && r.Host != n.self.Host {
			rows = append(rows, r.Row)
		}
	}
	return successorOf(n.self.Host, rows)
}
