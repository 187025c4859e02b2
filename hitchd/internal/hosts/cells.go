package hosts

import (
	"context"
	"time"

	"magnoliahitch/steer/lease"
	"magnoliahitch/steer/place"
)

// settleTime is how long a host must have been there before cells move to it.
const settleTime = 10 * time.Second

// firstDelay lets the hosts of a region that start together see each other
// before its first assignment.
const firstDelay = time.Second

// maxHandover bounds what a cell leaves to its next keeper, in bytes. More is
// dropped, which is safe.
const maxHandover = 8 << 10

// assign releases own cells that belong elsewhere and gives vacant cells to
// hosts. Only a host whose lease lives by the table does it.
func (h *Hosts) assign(ctx context.Context) {
	now := h.clock()
	h.mu.RLock()
	able := h.node.Valid(now) && h.node.Mode() == lease.Table
	h.mu.RUnlock()
	if !able {
		return
	}
	h.release(now)
	h.mu.RLock()
	own := h.regions[h.self.Region]
	scene := h.scene(now, 0)
	released := make(map[place.Key][]byte, len(h.released))
	for k, v := range h.released {
		released[k] = v
	}
	next, changed := own.cells.Next(scene, released)
	due := changed && (len(released) > 0 || h.assigns(now, scene))
	h.mu.RUnlock()
	if !due {
		return
	}
	version, outcome := h.commit(ctx, assignKey(h.self.Region), own.version, next)
	if outcome != lease.Committed {
		h.log.Warn("write assignment", "region", h.self.Region, "outcome", outcome)
		signal(h.wake)
		return
	}
	h.adopt(next, version, released)
	h.announce(ctx)
}

// adopt takes over an assignment that this host committed.
func (h *Hosts) adopt(next place.Assignment, version int64, released map[place.Key][]byte) {
	now := h.clock()
	h.mu.Lock()
	old := h.regions[h.self.Region]
	if version > old.version {
		r := *old
		r.cells, r.version = next, version
		h.regions[h.self.Region] = &r
	}
	h.assigned = now
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
	h.settle(now)
}

// assigns reports whether this host gives vacant cells away: the first live
// one in the order for the region does.
func (h *Hosts) assigns(now time.Time, s place.Scene) bool {
	if len(s.Candidates) == 0 {
		return false
	}
	seen, ok := h.since[s.Self]
	if first := h.regions[h.self.Region].version == 0; first && (!ok || now.Sub(seen) < firstDelay) {
		return false
	}
	first := s.Candidates[0].Host.Name
	for _, c := range s.Candidates {
		first = min(first, c.Host.Name)
	}
	return first == h.self.Name
}

// scene returns what a change of the assignment is decided on. Other hosts
// must have been there for some time.
func (h *Hosts) scene(now time.Time, settled time.Duration) place.Scene {
	s := place.Scene{Self: h.node.ID(), Leaving: h.yielding, Over: h.node.Over}
	for _, k := range h.keys() {
		if k.Region == h.self.Region {
			s.Keys = append(s.Keys, k)
		}
	}
	own := h.regions[h.self.Region]
	for _, r := range h.node.Rows() {
		ready := !r.Over && !r.Gone && !r.Leaving && !h.node.Stood(now, r.ID) && now.Sub(h.since[r.ID]) >= settled
		if r.ID != s.Self && ready {
			s.Candidates = append(s.Candidates, place.Candidate{Host: own.hosts[r.Host], Term: r.Term})
		}
	}
	if !h.self.Leaving {
		s.Candidates = append(s.Candidates, place.Candidate{Host: h.self, Term: s.Self.Term})
	}
	return s
}

// release stops keeping the own cells that belong elsewhere.
func (h *Hosts) release(now time.Time) {
	h.turn.Lock()
	defer h.turn.Unlock()
	h.mu.Lock()
	scene := h.scene(now, settleTime)
	if h.self.Leaving && !h.yielding {
		h.mu.Unlock()
		return
	}
	var moves []place.Key
	for _, k := range h.regions[h.self.Region].cells.Moves(scene) {
		if _, ok := h.released[k]; !ok && h.held[k] == scene.Self {
			h.released[k] = nil
			moves = append(moves, k)
		}
	}
	h.mu.Unlock()
	for _, k := range moves {
		data := h.leave(now, k)
		h.mu.Lock()
		h.released[k] = data
		h.mu.Unlock()
	}
}

// leave ends a tenancy and returns the handover.
func (h *Hosts) leave(now time.Time, k place.Key) []byte {
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

// settle brings the tenants to the assignment: it acquires the cells that this
// host got and releases those that it lost.
func (h *Hosts) settle(now time.Time) {
	h.turn.Lock()
	defer h.turn.Unlock()
	h.mu.Lock()
	cells := h.regions[h.self.Region].cells
	var got, lost []place.Key
	for k, id := range h.held {
		if cells[k].ID != id || !h.mine(now, id) {
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
		_, away := h.released[k]
		if _, ok := h.held[k]; !ok && !away && h.mine(now, v.ID) {
			got = append(got, k)
		}
	}
	h.mu.Unlock()
	for _, k := range lost {
		h.leave(now, k)
	}
	for _, k := range got {
		h.enter(now, k, cells[k])
	}
}

// mine reports whether a lease is this host's own, valid or not, or one that
// it took over.
func (h *Hosts) mine(now time.Time, id lease.ID) bool {
	return id.Term != 0 && (id == h.node.ID() || h.node.Acts(now, id))
}

// enter starts a tenancy.
func (h *Hosts) enter(now time.Time, k place.Key, v place.Holding) {
	h.log.Info("cell acquired", "cell", k, "lease", v.Host, "term", v.Term, "handover", len(v.Handover))
	data := v.Handover
	h.mu.RLock()
	own := v.ID == h.node.ID()
	h.mu.RUnlock()
	if !own {
		data = nil
	}
	if t, ok := h.tenants[k.Kind]; ok {
		t.Acquire(now, k, data)
	}
	h.mu.Lock()
	h.held[k] = v.ID
	h.mu.Unlock()
}
