package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"magnoliahitch/steer/eras"
)

// renewDivisor sets the interval between two renewals or claims: the length of
// a lease divided by it.
const renewDivisor = 2

// Node holds the leases of a region as a host views them: its own lease and a
// [Watch] of each of the others. It is not safe for concurrent use.
type Node struct {
	params      Params
	self        Row
	incarnation uint64
	holder      Holder
	at          eras.Position
	rows        map[string]Stored
	watches     map[ID]Watch
	// reports holds, for each lease to whose holder this host pledged, which
	// leases that holder has taken over.
	reports map[ID]takenReport
	// successors lists the successors that may have pledged to this host since
	// its lease left table mode; the last one is the current successor.
	successors []ID
	// pending is the last write of this host's row while its outcome is unknown.
	pending  *Write
	sequence uint64
	// outcomeAt is when the outcome of a write was last reported. Reads that
	// began earlier may be stale and are ignored for this host's row.
	outcomeAt time.Time
	// successorInDoubt is set after a renewal that names another successor
	// conflicted or had an unknown outcome, until the row's version is known
	// to have changed.
	successorInDoubt bool
	// attempted is when the last renewal or claim was sent. The zero time
	// makes the next one due at once.
	attempted time.Time
	counts    Counts
}

// Counts are the numbers of events of a node since its start.
type Counts struct {
	Renewals, Pledged, Evictions, Takeovers, Regimes uint64
}

// NewNode returns a node without a lease. The row gives the host, its failure
// domain and its address; the incarnation increases with each start of the host.
func NewNode(t Params, r Row, incarnation uint64) *Node {
	return &Node{
		params:      t,
		self:        r,
		incarnation: incarnation,
		holder:      NewHolder(t),
		rows:        make(map[string]Stored),
		watches:     make(map[ID]Watch),
		reports:     make(map[ID]takenReport),
	}
}

// ID returns the id of the node's own lease. Its term is zero if there is none.
func (n *Node) ID() ID { return n.self.ID }

// Valid reports whether the node's own lease is valid at now.
func (n *Node) Valid(now time.Time) bool { return n.holder.Valid(now) }

// Until returns when the node's own lease expires.
func (n *Node) Until() time.Time { return n.holder.Until() }

// Mode returns how the node's own lease is held.
func (n *Node) Mode() Mode { return n.holder.Mode() }

// Counts returns the numbers of events so far.
func (n *Node) Counts() Counts { return n.counts }

// Row returns the row of a host as last read or written, and whether there is
// one.
func (n *Node) Row(host string) (Stored, bool) {
	r, ok := n.rows[host]
	return r, ok
}

// Rows returns all rows as last read or written, sorted by host.
func (n *Node) Rows() []Stored {
	out := slices.Collect(maps.Values(n.rows))
	slices.SortFunc(out, func(a, b Stored) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Ended reports whether a lease is known to have ended in the table. A missing
// row or one of an earlier term proves nothing, because the read may be stale.
// The zero ID counts as ended.
func (n *Node) Ended(id ID) bool {
	r, ok := n.rows[id.Host]
	if id == n.self.ID && id.Term != 0 {
		return false
	}
	return id.Term == 0 || ok && (r.Term > id.Term || r.Term == id.Term && r.Ended)
}

// MayAct reports whether this node may act under the lease at now: the lease is
// its own, or the node took it over without the table.
func (n *Node) MayAct(now time.Time, id ID) bool {
	if !n.holder.Valid(now) || id.Term == 0 {
		return false
	}
	return id == n.self.ID || n.watches[id].Taken(now)
}

// Taken returns the leases that this node took over without the table and may
// act under at now, sorted by host.
func (n *Node) Taken(now time.Time) []ID {
	var out []ID
	for id, w := range n.watches {
		if n.holder.Valid(now) && w.Taken(now) {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(a, b ID) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// SetLeaving makes a renewal due at once that marks the host as leaving.
func (n *Node) SetLeaving() {
	n.self.Leaving = true
	n.attempted = time.Time{}
}

// Observe processes the result of a read of all rows of the region that began
// at began and ended at now.
func (n *Node) Observe(began, now time.Time, rows []Stored) {
	n.rows = make(map[string]Stored, len(rows))
	seen := make(map[ID]bool, len(rows))
	for _, r := range rows {
		n.rows[r.Host] = r
		seen[r.ID] = true
		if r.ID == n.self.ID {
			continue
		}
		w, ok := n.watches[r.ID]
		if !ok {
			w = NewWatch(n.params)
		}
		if w.At() != r.At && r.Ended {
			w = w.WithEnded()
		}
		n.watches[r.ID] = w.WithRow(began, now, r.At, r.Regime)
	}
	maps.DeleteFunc(n.watches, func(id ID, _ Watch) bool { return !seen[id] })
	if began.After(n.outcomeAt) {
		n.observeOwn(n.rows[n.self.Host])
	}
}

func (n *Node) observeOwn(r Stored) {
	if w := n.pending; w != nil && r.At != w.At {
		// The row is no longer at the version that the write requires: either
		// the write has committed or it never will.
		n.pending = nil
		if r.ID == w.Row.ID && r.Sequence == w.Row.Sequence && r.Ended == w.Row.Ended {
			n.applyCommit(*w)
		}
	}
	if n.self.Term != 0 && (r.Term != n.self.Term || r.Ended) {
		n.dropLease()
	}
	if n.self.Term == 0 {
		return
	}
	if n.at != r.At {
		n.successorInDoubt = false
	}
	n.at = r.At
	n.self.Successor = r.Successor
	n.holder = n.holder.WithSuccessorInDoubt(n.successorInDoubt || n.pending != nil && n.pending.Row.Successor != r.Successor)
	n.followSuccessor(r.Successor)
}

func (n *Node) dropLease() {
	n.holder = n.holder.WithoutLease()
	n.self.Term, n.successors, n.successorInDoubt = 0, nil, false
	// The roles as a successor and the takeovers depended on the lease.
	clear(n.watches)
	clear(n.reports)
}

// followSuccessor starts the next regime with the successor that the row names,
// if the lease of the current successor has ended and another host has adopted
// its role.
func (n *Node) followSuccessor(to ID) {
	if n.holder.Mode() != Regime || to.Term == 0 || slices.Contains(n.successors, to) {
		return
	}
	if !n.Ended(n.successors[len(n.successors)-1]) {
		return
	}
	n.switchSuccessor(to)
	n.dropRights()
}

// switchSuccessor starts the next regime, with another successor.
func (n *Node) switchSuccessor(to ID) {
	n.holder = n.holder.WithNextRegime()
	n.successors = append(n.successors, to)
}

// dropRights gives up the rights over other leases: the former successor may
// have taken over this host's lease, and these rights with it.
func (n *Node) dropRights() {
	for id, w := range n.watches {
		n.watches[id] = w.WithoutRights()
	}
}

// RecordTakeovers processes a host's report that it took leases over without the table.
// The host also has the roles of these leases as successors.
func (n *Node) RecordTakeovers(from ID, taken []ID) {
	if n.holder.Mode() != Regime || slices.Contains(n.successors, from) || from == n.self.ID {
		return
	}
	// A host that also took over this host's own lease has its rights too and
	// can't become its successor.
	if slices.Contains(taken, n.successors[len(n.successors)-1]) && !slices.Contains(taken, n.self.ID) {
		n.switchSuccessor(from)
	}
}

// Unrenewed reports whether a lease's row has been unchanged for longer than the
// length of a lease.
func (n *Node) Unrenewed(now time.Time, id ID) bool { return n.watches[id].MayReplace(now) }
