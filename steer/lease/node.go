package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// renewParts is the share of the lease's length after which it is renewed.
const renewParts = 2

// Node is a host's part in the leases of its region: its own lease and its
// watches of the others. It is not safe for concurrent use.
type Node struct {
	terms   Terms
	self    Row
	start   uint64
	holder  Holder
	version int64
	rows    map[string]Stored
	watches map[ID]Watch
	// lists are what holders told of their own takeovers.
	lists map[ID]list
	// asked are the successors that may have pledged in the present regime;
	// the last one is asked now.
	asked []ID
	// write is the last one of the own row, while its outcome is unknown.
	write    *Write
	sequence uint64
	// settled is when the last outcome became known; reads that began before
	// it say nothing of the own row.
	settled time.Time
	// doubted is set while a write that names another successor may take
	// effect later.
	doubted bool
	// tried is when the last renewal or claim was sent.
	tried  time.Time
	counts Counts
}

// Counts are the events of a node since its start.
type Counts struct {
	Renewals, Pledged, Evictions, Takeovers, Regimes uint64
}

// NewNode returns a node without a lease. The row gives the host, its failure
// domain and its address; the incarnation grows with each start.
func NewNode(t Terms, r Row, incarnation uint64) *Node {
	return &Node{
		terms:   t,
		self:    r,
		start:   incarnation,
		holder:  NewHolder(t),
		rows:    make(map[string]Stored),
		watches: make(map[ID]Watch),
		lists:   make(map[ID]list),
	}
}

// ID returns the name of the node's own lease; its term is zero without one.
func (n *Node) ID() ID { return n.self.ID }

// Valid reports whether the node's own lease is valid at now.
func (n *Node) Valid(now time.Time) bool { return n.holder.Valid(now) }

// Until returns the time until which the own lease is valid.
func (n *Node) Until() time.Time { return n.holder.Until() }

// Mode returns the way in which the own lease is held.
func (n *Node) Mode() Mode { return n.holder.Mode() }

// Counts returns the events so far.
func (n *Node) Counts() Counts { return n.counts }

// Row returns the row of a host as it was last read.
func (n *Node) Row(host string) (Stored, bool) {
	r, ok := n.rows[host]
	return r, ok
}

// Rows returns the rows that were read last, in the order of hosts.
func (n *Node) Rows() []Stored {
	out := slices.Collect(maps.Values(n.rows))
	slices.SortFunc(out, func(a, b Stored) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Over reports whether a lease is known to be over in the table. A row that is
// missing or older says nothing: the read may be old.
func (n *Node) Over(id ID) bool {
	r, ok := n.rows[id.Host]
	if id == n.self.ID && id.Term != 0 {
		return false
	}
	return id.Term == 0 || ok && (r.Term > id.Term || r.Term == id.Term && r.Over)
}

// Acts reports whether this node may act at now for the lease: its own, or
// one that it took over without the table.
func (n *Node) Acts(now time.Time, id ID) bool {
	if !n.holder.Valid(now) || id.Term == 0 {
		return false
	}
	return id == n.self.ID || n.watches[id].Taken(now)
}

// Taken returns the leases that this node took over without the table.
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

// Leave makes the next renewal, due at once, say that the host is leaving.
func (n *Node) Leave() {
	n.self.Leaving = true
	n.tried = time.Time{}
}

// Observe counts a read of all rows of the region, which began at a time and
// ended at now.
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
			w = NewWatch(n.terms)
		}
		if w.Version() != r.Version && r.Over {
			w = w.WithOver()
		}
		n.watches[r.ID] = w.WithRow(began, now, r.Version, r.Regime)
	}
	maps.DeleteFunc(n.watches, func(id ID, _ Watch) bool { return !seen[id] })
	if began.After(n.settled) {
		n.observeOwn(n.rows[n.self.Host])
	}
}

func (n *Node) observeOwn(r Stored) {
	if w := n.write; w != nil && r.Version != w.Version {
		// The write's check can't hold any more: it is in the table or never will be.
		n.write = nil
		if r.ID == w.Row.ID && r.Sequence == w.Row.Sequence && r.Over == w.Row.Over {
			n.committed(*w)
		}
	}
	if n.self.Term != 0 && (r.Term != n.self.Term || r.Over) {
		n.lose()
	}
	if n.self.Term == 0 {
		return
	}
	if n.version != r.Version {
		n.doubted = false
	}
	n.version = r.Version
	n.self.Successor = r.Successor
	n.holder = n.holder.WithUnsettled(n.doubted || n.write != nil && n.write.Row.Successor != r.Successor)
	n.follow(r.Successor)
}

func (n *Node) lose() {
	n.holder = n.holder.WithLoss()
	n.self.Term, n.asked, n.doubted = 0, nil, false
	// Roles and takeovers went with the lease.
	clear(n.watches)
	clear(n.lists)
}

// follow goes on to the regime of a successor that took the present one's role.
func (n *Node) follow(to ID) {
	if n.holder.Mode() != Regime || to.Term == 0 || slices.Contains(n.asked, to) {
		return
	}
	if !n.Over(n.asked[len(n.asked)-1]) {
		return
	}
	n.turn(to)
	n.renounce()
}

// turn goes on to the regime of another successor.
func (n *Node) turn(to ID) {
	n.holder = n.holder.WithNextRegime()
	n.asked = append(n.asked, to)
}

// renounce gives up the rights over other leases: the former successor may
// have taken this host's lease, and its rights with it.
func (n *Node) renounce() {
	for id, w := range n.watches {
		n.watches[id] = w.WithVoid()
	}
}

// Heard counts a host's word that it took leases over without the table: it
// has their roles as successors too.
func (n *Node) Heard(from ID, taken []ID) {
	if n.holder.Mode() != Regime || slices.Contains(n.asked, from) || from == n.self.ID {
		return
	}
	// A host that took this one's lease over has its rights too.
	if slices.Contains(taken, n.asked[len(n.asked)-1]) && !slices.Contains(taken, n.self.ID) {
		n.turn(from)
	}
}

// Stood reports whether a lease's row stood still for longer than a lease.
func (n *Node) Stood(now time.Time, id ID) bool { return n.watches[id].MayReplace(now) }
