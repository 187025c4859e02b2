package hosts

import (
	"context"
	"time"

	"magnoliahitch/links/plat"
	"magnoliahitch/steer/lease"
	"magnoliahitch/steer/place"
)

// minHostAge is the time for which the lease of a host must have been seen before cells
// of this host move to it.
const minHostAge = 10 * time.Second

// firstAssignDelay is the time from the first read of this host's lease to the first
// assignment of its region. Hosts that start together then see each other before it.
const firstAssignDelay = time.Second

// maxHandover is the maximum size of a handover in bytes. A larger one is dropped, which
// is safe: the next keeper then waits until all earlier grants have expired.
const maxHandover = 8 << 10

// assign releases the cells that another host should keep, and writes an assignment in which
// released and vacant cells have a new holder. It does so only while this host's lease is
// valid and renewed in the table, not while it rests on pledges. Without released cells only
// the host that [Hosts.isAssigner] selects writes the assignment.
func (h *Hosts) assign(ctx context.Context) {
	now := h.clock()
	h.mu.RLock()
	allowed := h.node.Valid(now) && h.node.Mode() == lease.Table
	h.mu.RUnlock()
	if !allowed {
		return
	}
	h.releaseMoved(now)
	h.mu.RLock()
	local := h.regions[h.self.Region]
	input := h.assignmentInput(now, 0)
	released := make(map[place.Key][]byte, len(h.released))
	for k, v := range h.released {
		released[k] = v
	}
	next, changed := local.cells.Next(input, released)
	due := changed && (len(released) > 0 || h.isAssigner(now, input))
	h.mu.RUnlock()
	if !due {
		return
	}
	at, outcome := h.commit(ctx, assignKey(h.self.Region), local.at, next)
	if outcome != lease.Committed {
		h.log.Warn("write of assignment not committed", "region", h.self.Region, "outcome", outcome)
		signal(h.readSignal)
		return
	}
	h.adopt(next, at, released)
	h.notifyChange(ctx)
}

// adopt puts an assignment that this host committed into force, unless a newer one was
// read meanwhile, and discards the handovers of the released cells.
func (h *Hosts) adopt(next place.Assignment, at plat.Position, released map[place.Key][]byte) {
	now := h.clock()
	h.mu.Lock()
	old := h.regions[h.self.Region]
	if old.at.Before(at) {
		r := *old
		r.cells, r.at = next, at
		h.regions[h.self.Region] = &r
	}
	h.assignedAt = now
	for k := range released {
		delete(h.released, k)
		delete(h.held, k)
	}
	h.mu.Unlock()
	for k, v := range next {
		if old.cells[k].ID != v.ID {
			h.log.Info("cell assigned", "cell", k, "host", v.Host, "term", v.Term, "before", old.cells[k].Host)
		}
	}
	h.updateTenants(now)
}

// isAssigner reports whether this host assigns vacant cells. Only the candidate whose name
// comes first does, so that hosts don't compete. Before the first assignment of a region
// it must also have waited for [firstAssignDelay].
func (h *Hosts) isAssigner(now time.Time, s place.AssignmentInput) bool {
	if len(s.Candidates) == 0 {
		return false
	}
	seen, ok := h.firstSeen[s.Self]
	if first := h.regions[h.self.Region].at.IsZero(); first && (!ok || now.Sub(seen) < firstAssignDelay) {
		return false
	}
	first := s.Candidates[0].Host.Name
	for _, c := range s.Candidates {
		first = min(first, c.Host.Name)
	}
	return first == h.self.Name
}

// assignmentInput returns the input for the next change of the assignment. The candidates
// are this host, unless it is leaving, and each other host whose lease is in force, whose
// row was renewed in time, and whose lease was first seen minAge ago or earlier.
func (h *Hosts) assignmentInput(now time.Time, minAge time.Duration) place.AssignmentInput {
	s := place.AssignmentInput{Self: h.node.ID(), Leaving: h.yielding, Ended: h.node.Ended}
	for _, k := range h.keys() {
		if k.Region == h.self.Region {
			s.Keys = append(s.Keys, k)
		}
	}
	local := h.regions[h.self.Region]
	for _, r := range h.node.Rows() {
		ready := !r.Ended && !r.ProcessEnded && !r.Leaving && !h.node.Unrenewed(now, r.ID) && now.Sub(h.firstSeen[r.ID]) >= minAge
		if r.ID != s.Self && ready {
			s.Candidates = append(s.Candidates, place.Candidate{Host: local.hosts[r.Host], Term: r.Term})
		}
	}
	if !h.self.Leaving {
		s.Candidates = append(s.Candidates, place.Candidate{Host: h.self, Term: s.Self.Term})
	}
	return s
}

// releaseMoved stops keeping the cells that another host should keep or that no longer need
// a keeper, and records their handovers. A leaving host releases none until HandOver.
func (h *Hosts) releaseMoved(now time.Time) {
	h.tenantsMu.Lock()
	defer h.tenantsMu.Unlock()
	h.mu.Lock()
	input := h.assignmentInput(now, minHostAge)
	if h.self.Leaving && !h.yielding {
		h.mu.Unlock()
		return
	}
	var moves []place.Key
	for _, k := range h.regions[h.self.Region].cells.Releases(input) {
		if _, ok := h.released[k]; !ok && h.held[k] == input.Self {
			h.released[k] = nil
			moves = append(moves, k)
		}
	}
	h.mu.Unlock()
	for _, k := range moves {
		data := h.releaseCell(now, k)
		h.mu.Lock()
		h.released[k] = data
		h.mu.Unlock()
	}
}

// releaseCell stops the tenant of a cell and returns the handover, or nil when it exceeds
// [maxHandover].
func (h *Hosts) releaseCell(now time.Time, k place.Key) []byte {
	h.log.Info("cell released", "cell", k)
	t, ok := h.tenants[k.Kind]
	if !ok {
		return nil
	}
	data := t.Release(now, k)
	if len(data) > maxHandover {
		return nil
	}
	return data
}

// updateTenants applies the assignment to the tenants: it releases the cells that this
// host has lost and acquires those that it has got. It drops the handovers of released
// cells that are assigned to another lease now.
func (h *Hosts) updateTenants(now time.Time) {
	h.tenantsMu.Lock()
	defer h.tenantsMu.Unlock()
	h.mu.Lock()
	cells := h.regions[h.self.Region].cells
	var got, lost []place.Key
	for k, id := range h.held {
		if cells[k].ID != id || !h.ownsLease(now, id) {
			lost = append(lost, k)
		}
	}
	for _, k := range lost {
		delete(h.held, k)
	}
	for k := range h.released {
		if cells[k].ID != h.node.ID() {
			delete(h.released, k)
		}
	}
	for k, v := range cells {
		_, released := h.released[k]
		if _, ok := h.held[k]; !ok && !released && h.ownsLease(now, v.ID) {
			got = append(got, k)
		}
	}
	h.mu.Unlock()
	for _, k := range lost {
		h.releaseCell(now, k)
	}
	for _, k := range got {
		h.acquireCell(now, k, cells[k])
	}
}

// ownsLease reports whether a lease is this host's own, valid or not, or one that this
// host has taken over and may act for.
func (h *Hosts) ownsLease(now time.Time, id lease.ID) bool {
	return id.Term != 0 && (id == h.node.ID() || h.node.MayAct(now, id))
}

// acquireCell starts the tenant of a cell. It passes the handover only when the cell is
// assigned to this host's own lease. The handover of a lease that was taken over was left
// to its holder, which may have granted more since.
func (h *Hosts) acquireCell(now time.Time, k place.Key, v place.Holding) {
	h.log.Info("cell acquired", "cell", k, "lease", v.Host, "term", v.Term, "handover", len(v.Handover))
	data := v.Handover
	h.mu.RLock()
	assignedToSelf := v.ID == h.node.ID()
	h.mu.RUnlock()
	if !assignedToSelf {
		data = nil
	}
	if t, ok := h.tenants[k.Kind]; ok {
		t.Acquire(now, k, data)
	}
	h.mu.Lock()
	h.held[k] = v.ID
	h.mu.Unlock()
}
