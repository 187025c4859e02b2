package hosts

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"magnoliahitch/steer/lease"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

const statusPath = "/hosts/status"

// Bounds of the exchange of statuses.
const (
	// targetSpacing stretches the period as targets grow, so that a host
	// sends at most ten messages a second.
	targetSpacing = 100 * time.Millisecond
	// delegates is how many hosts of a failure domain speak for it.
	delegates = 2
	// maxDigests bounds the digests in a message; further ones take turns.
	maxDigests = 8
	// loadLapse is how long a summary of a cell counts as fresh.
	loadLapse = 10 * time.Second
)

// statusMessage is what hosts tell each other in each period.
type statusMessage struct {
	Status member.Status `msgpack:"status"`
	// Period is the time until the next status.
	Period time.Duration `msgpack:"period"`
	// Lease is the sender's lease, Taken what it took over without the table.
	Lease lease.ID   `msgpack:"lease"`
	Taken []lease.ID `msgpack:"taken"`
	// Digests are those of other failure domains.
	Digests []member.Digest `msgpack:"digests"`
}

// Source sets where this host's own loads and revision come from.
func (h *Hosts) Source(f func(now time.Time) ([]member.Load, uint64)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.source = f
}

// Load returns the last fresh summary of a cell anywhere.
func (h *Hosts) Load(now time.Time, c place.Cell) (member.Load, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, s := range h.statuses.Fresh(now) {
		if l, ok := find(s.Loads, c); ok {
			return l, true
		}
	}
	for _, d := range h.digests.Fresh(now, loadLapse) {
		if l, ok := find(d.Loads, c); ok {
			return l, true
		}
	}
	return member.Load{}, false
}

func find(loads []member.Load, c place.Cell) (member.Load, bool) {
	i := slices.IndexFunc(loads, func(l member.Load) bool { return l.Region == c.Region && l.Service == c.Service })
	if i < 0 {
		return member.Load{}, false
	}
	return loads[i], true
}

// Revisions returns the revision in force on each live host that is known.
func (h *Hosts) Revisions() map[string]uint64 {
	now := h.clock()
	h.mu.RLock()
	defer h.mu.RUnlock()
	out := make(map[string]uint64)
	for _, d := range h.digests.Fresh(now, loadLapse) {
		r, ok := h.regions[d.Region]
		if !ok {
			continue
		}
		for _, m := range r.live() {
			if m.Domain == d.Domain {
				out[m.Name] = d.Revision
			}
		}
		for n, v := range d.Behind {
			out[n] = v
		}
	}
	for _, s := range h.statuses.Fresh(now) {
		out[s.Host.Name] = s.Revision
	}
	return out
}

// gossip tells this host's status to its failure domain and, as one of its
// delegates, the domain's digest to the delegates of the others.
func (h *Hosts) gossip(ctx context.Context) {
	now := h.clock()
	h.mu.RLock()
	source := h.source
	h.mu.RUnlock()
	var loads []member.Load
	var revision uint64
	if source != nil {
		// The source may ask what this host holds.
		loads, revision = source(now)
	}
	h.mu.Lock()
	m, near, far := h.message(now)
	m.Status.Loads, m.Status.Revision = loads, revision
	urgent := len(m.Taken) != h.told || m.Status.Host.Leaving != h.toldLeaving
	if now.Before(h.nextTell) && !urgent {
		h.mu.Unlock()
		return
	}
	if urgent {
		// The whole region must know of it: the pledges of others hang on it.
		near = h.regions[h.self.Region].live()
	}
	h.told, h.toldLeaving = len(m.Taken), m.Status.Host.Leaving
	h.sequence++
	m.Status.Sequence = h.sequence
	m.Period = max(h.period, time.Duration(len(near)+len(far))*targetSpacing)
	h.nextTell = now.Add(m.Period)
	h.statuses.Merge(now, m.Status, m.Period)
	domain := m
	if len(far) == 0 {
		domain.Digests = nil
	}
	own := member.NewDigest(h.self.Region, h.self.Domain, h.domainStatuses(now))
	h.mu.Unlock()
	for _, t := range near {
		go h.send(ctx, t, domain)
	}
	m.Digests = []member.Digest{own}
	m.Status.Loads = nil
	for _, t := range far {
		go h.send(ctx, t, m)
	}
}

// turn returns the digests whose turn it is in a round.
func turn(all []member.Digest, round uint64) []member.Digest {
	if len(all) <= maxDigests {
		return all
	}
	slices.SortFunc(all, func(a, b member.Digest) int { return cmp.Compare(a.Domain, b.Domain) })
	at := int(round*maxDigests) % len(all)
	return append(all[at:], all[:at]...)[:maxDigests]
}

func (h *Hosts) domainStatuses(now time.Time) []member.Status {
	return slices.DeleteFunc(h.statuses.Fresh(now), func(s member.Status) bool { return s.Host.Domain != h.self.Domain })
}

// message returns the status message and its targets in the own failure
// domain and in others.
func (h *Hosts) message(now time.Time) (m statusMessage, near, far []member.Host) {
	m.Status.Host = h.self
	m.Lease, m.Taken = h.node.ID(), h.node.Taken(now)
	m.Digests = turn(h.digests.Fresh(now, loadLapse), h.sequence)
	domains := make(map[string][]member.Host)
	for _, r := range h.regions {
		for _, l := range r.live() {
			domains[l.Domain] = append(domains[l.Domain], l)
		}
	}
	mine := -1
	for name, hosts := range domains {
		slices.SortFunc(hosts, func(a, b member.Host) int { return cmp.Compare(a.Name, b.Name) })
		if name == h.self.Domain {
			mine = slices.IndexFunc(hosts, func(t member.Host) bool { return t.Name == h.self.Name })
			near = slices.DeleteFunc(hosts, func(t member.Host) bool { return t.Name == h.self.Name })
			delete(domains, name)
		}
	}
	if mine >= 0 && mine < delegates {
		for _, hosts := range domains {
			far = append(far, hosts[mine%len(hosts)])
		}
	}
	return m, near, far
}

func (h *Hosts) send(ctx context.Context, to member.Host, m statusMessage) {
	if to.Name == h.self.Name {
		return
	}
	metrics.GetOrCreateCounter("hitch_statuses_sent_total").Inc()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if err := h.peers.Tell(ctx, to, statusPath, m, nil); err != nil {
		h.log.Debug("tell status", "host", to.Name, "error", err)
	}
}

// receive takes over another host's status.
func (h *Hosts) receive(r *http.Request, m statusMessage) (struct{}, error) {
	if err := prove(r, m.Status.Host.Name); err != nil {
		return struct{}{}, err
	}
	now := h.clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.Status.Host.Region == h.self.Region && m.Lease.Host == m.Status.Host.Name {
		h.node.Heard(m.Lease, m.Taken)
		for id, by := range h.taken {
			if by.Host == m.Lease.Host {
				delete(h.taken, id)
			}
		}
		for _, id := range m.Taken {
			h.taken[id] = m.Lease
		}
	}
	if m.Status.Host.Domain == h.self.Domain || m.Status.Host.Leaving {
		h.statuses.Merge(now, m.Status, m.Period)
	}
	for _, d := range m.Digests {
		if d.Domain != h.self.Domain {
			h.digests.Merge(now, d)
		}
	}
	return struct{}{}, nil
}
