package lease

import (
	"time"

	"magnoliahitch/steer/eras"
)

// Purpose is what a write of a row is for.
type Purpose uint8

// Purposes of writes.
const (
	// Claim starts a new lease of this host.
	Claim Purpose = iota
	// Renew renews this host's lease.
	Renew
	// Replace records that the earlier process at the host's address has ended.
	Replace
	// Evict ends the lease of another host.
	Evict
	// Adopt makes this host the successor of another lease in place of one
	// that has ended or that this host took over.
	Adopt
	// End ends this host's lease at a planned stop.
	End
)

// String returns the purpose's name.
func (p Purpose) String() string {
	return [...]string{"claim", "renew", "replace", "evict", "adopt", "end"}[p]
}

// Write is a transaction that writes a row on condition that the host's row in the
// table is at At. Zero requires that the host has no row.
type Write struct {
	Purpose Purpose
	Row     Row
	At      eras.Position
	Sent    time.Time
	// Retry is set on an eviction if an earlier one may still take effect.
	Retry bool
}

// Outcome is the result of a write.
type Outcome uint8

// Outcomes of writes.
const (
	// Unknown means that the write may have taken effect, or may do so later.
	Unknown Outcome = iota
	// Committed means that the write took effect.
	Committed
	// Failed means that the write has not taken effect and never will.
	Failed
	// Conflicted means that the write failed because the row was at another
	// version.
	Conflicted
)

// Next returns the write that is due at now, if any. The caller must pass its
// outcome to [Node.RecordOutcome].
func (n *Node) Next(now time.Time) (Write, bool) {
	w, ok := n.ownWrite(now)
	if !ok {
		w, ok = n.otherWrite(now)
	}
	if !ok {
		return Write{}, false
	}
	w.Sent = now
	n.recordSent(w)
	return w, true
}

// End gives up this host's lease and returns the write that ends it. It is
// called after the cells have been handed over, and reports false unless the
// lease is in table mode.
func (n *Node) End(now time.Time) (Write, bool) {
	if n.self.Term == 0 || n.holder.Mode() != Table {
		return Write{}, false
	}
	row := n.self
	row.Ended = true
	row.Sequence = n.sequence + 1
	w := Write{Purpose: End, Row: row, At: n.at, Sent: now}
	n.holder = n.holder.WithoutLease()
	n.recordSent(w)
	return w, true
}

func (n *Node) recordSent(w Write) {
	if w.Row.Host == n.self.Host {
		n.sequence++
		n.pending = &w
	}
	switch w.Purpose {
	case Claim:
		n.attempted = w.Sent
	case Renew:
		n.attempted = w.Sent
		n.holder = n.holder.WithSuccessorInDoubt(n.successorInDoubt || w.Row.Successor != n.self.Successor)
	case Evict:
		n.watches[w.Row.ID] = n.watches[w.Row.ID].WithEvicting(true)
	}
}

// RecordOutcome processes the outcome of a write, received at now. An unknown outcome
// becomes known by the next read that shows another version of the row.
func (n *Node) RecordOutcome(now time.Time, w Write, o Outcome, at eras.Position) {
	n.outcomeAt = now
	if w.Row.Host != n.self.Host {
		n.recordOtherOutcome(now, w, o, at)
		return
	}
	if n.pending == nil || *n.pending != w {
		// A read has shown the outcome already.
		return
	}
	changesSuccessor := w.Purpose == Renew && w.Row.Successor != n.self.Successor
	switch o {
	case Committed:
		n.pending = nil
		n.rows[w.Row.Host] = Stored{Row: w.Row, At: at}
		n.applyCommit(w)
		n.at = at
		n.self.Successor = w.Row.Successor
		n.successorInDoubt = false
	case Failed:
		n.pending = nil
	case Conflicted:
		n.pending = nil
		n.successorInDoubt = n.successorInDoubt || changesSuccessor
	case Unknown:
		n.successorInDoubt = n.successorInDoubt || changesSuccessor
	}
	n.holder = n.holder.WithSuccessorInDoubt(n.successorInDoubt)
}

func (n *Node) recordOtherOutcome(now time.Time, w Write, o Outcome, at eras.Position) {
	v, ok := n.watches[w.Row.ID]
	if !ok {
		return
	}
	switch {
	case o == Committed && w.Purpose == Evict:
		n.counts.Evictions++
		v = v.WithEnded()
	case o == Committed:
		v = v.WithRow(w.Sent, now, at, w.Row.Regime)
	case o == Failed && w.Purpose == Evict && !w.Retry:
		v = v.WithEvicting(false)
	}
	if o == Committed {
		n.rows[w.Row.Host] = Stored{Row: w.Row, At: at}
	}
	n.watches[w.Row.ID] = v
}

// evictionPending reports whether an eviction that this node sent may still take
// effect.
func (n *Node) evictionPending() bool {
	for _, w := range n.watches {
		if w.evicting && !w.ended {
			return true
		}
	}
	return false
}

func (n *Node) applyCommit(w Write) {
	switch w.Purpose {
	case Claim:
		n.holder = n.holder.WithClaim(w.Sent)
		n.self.ID, n.successors = w.Row.ID, nil
	case Renew:
		n.counts.Renewals++
		if n.endsRegime(w) {
			n.holder, n.successors = n.holder.WithTableMode(), nil
			n.dropRights()
		}
		n.holder = n.holder.WithRenewal(w.Sent)
	}
}

// endsRegime reports whether a write of this host's row ends the regime: the leases
// or the processes of all its successors have ended, and the write names none
// of them.
func (n *Node) endsRegime(w Write) bool {
	if n.holder.Mode() != Regime {
		return false
	}
	for _, id := range n.successors {
		if !n.Ended(id) && !n.rows[id.Host].ProcessEnded || w.Row.Successor == id {
			return false
		}
	}
	return true
}

// ownWrite returns the write that is due for this host's lease, if any.
func (n *Node) ownWrite(now time.Time) (Write, bool) {
	r := n.rows[n.self.Host]
	if n.self.Term == 0 {
		return n.claimWrite(now, r)
	}
	row := n.self
	row.Sequence = n.sequence + 1
	row.Successor = n.chooseSuccessor()
	row.Regime = n.holder.regime
	w := Write{Purpose: Renew, Row: row, At: n.at}
	due := !now.Before(n.attempted.Add(n.params.Length / renewDivisor))
	if n.holder.Mode() == Regime {
		// Renewals don't extend the lease in a regime, so the only write is
		// one that ends the regime.
		return w, due && n.endsRegime(w)
	}
	return w, due
}

func (n *Node) claimWrite(now time.Time, r Stored) (Write, bool) {
	if n.self.Leaving || now.Before(n.attempted.Add(n.params.Length/renewDivisor)) {
		return Write{}, false
	}
	if !r.At.IsZero() && !r.Ended {
		return n.replaceWrite(now, r)
	}
	row := n.self
	row.Term = max(r.Term+1, n.incarnation)
	row.Sequence = n.sequence + 1
	row.Successor = n.chooseSuccessor()
	return Write{Purpose: Claim, Row: row, At: r.At}, true
}

// replaceWrite returns the write that records the end of the earlier process at
// this host's address. It ends that process's lease only if no other process
// remains that could have taken the lease over.
func (n *Node) replaceWrite(now time.Time, r Stored) (Write, bool) {
	row := r.Row
	row.ProcessEnded, row.Ended = true, true
	for _, o := range n.rows {
		row.Ended = row.Ended && (o.Ended || o.ProcessEnded || o.Host == r.Host)
	}
	ok := row != r.Row && r.Address == n.self.Address && n.watches[r.ID].MayReplace(now)
	return Write{Purpose: Replace, Row: row, At: r.At}, ok
}

// otherWrite returns an eviction or an adoption that is due for the lease of
// another host, if any.
func (n *Node) otherWrite(now time.Time) (Write, bool) {
	for _, r := range n.Rows() {
		if r.Ended || r.Host == n.self.Host {
			continue
		}
		row := r.Row
		if n.mayEvict(now, r) {
			row.Ended = true
			return Write{Purpose: Evict, Row: row, At: r.At, Retry: n.watches[r.ID].evicting}, true
		}
		if n.mayAdopt(now, r) {
			row.Successor = n.self.ID
			return Write{Purpose: Adopt, Row: row, At: r.At}, true
		}
	}
	return Write{}, false
}

// mayAdopt reports whether this host may become the successor of the lease: this
// host took over the successor's lease, or that lease has ended and the row has
// been unchanged for longer than the length of a lease.
func (n *Node) mayAdopt(now time.Time, r Stored) bool {
	if !n.holder.Valid(now) || n.holder.Mode() != Table {
		return false
	}
	if n.watches[r.Successor].Taken(now) {
		return true
	}
	return n.Ended(r.Successor) && n.watches[r.ID].MayReplace(now)
}

// isSuccessor reports whether another host's lease that hasn't ended has the given
// lease as its successor.
func (n *Node) isSuccessor(id ID) bool {
	for _, r := range n.rows {
		if !r.Ended && r.Host != n.self.Host && r.Successor == id {
			return true
		}
	}
	return false
}

func (n *Node) mayEvict(now time.Time, r Stored) bool {
	successor := r.Successor == n.self.ID && n.self.Term != 0
	// If two hosts are each other's successor, only the holder of the lease
	// itself could have taken over this host's role.
	mutual := successor && n.self.Successor == r.ID
	// In a regime, this host's lease could be taken over without the table, and
	// with it the role as a successor, while the eviction is in flight.
	if !mutual && (!n.holder.Valid(now) || n.holder.Mode() != Table) {
		return false
	}
	w := n.watches[r.ID]
	if w.taken && n.isSuccessor(r.ID) {
		// This host must first adopt the role of that lease as a successor.
		return false
	}
	return w.At() == r.At && w.MayEvict(now, successor)
}

// chooseSuccessor returns the successor to name in this host's row.
func (n *Node) chooseSuccessor() ID {
	rows := []Row{n.self}
	for _, r := range n.rows {
		if !r.Ended && !r.ProcessEnded && !r.Leaving && r.Host != n.self.Host {
			rows = append(rows, r.Row)
		}
	}
	return successorOf(n.self.Host, rows)
}
