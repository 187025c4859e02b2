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

// statusPath is the path of the message with a host's status.
const statusPath = "/hosts/status"

// Limits of the exchange of statuses.
const (
	// targetSpacing is the minimum period for each target. It makes the period
	// longer with more targets, so that a host sends at most ten messages a second.
	targetSpacing = 100 * time.Millisecond
	// delegates is the number of hosts of a failure domain that exchange digests
	// with other domains.
	delegates = 2
	// maxDigests is the maximum number of digests in a message. When there are
	// more, messages contain them in rotation.
	maxDigests = 8
	// maxLoadAge is the age from which a digest, and with it the load of a cell, is
	// no longer used.
	maxLoadAge = 10 * time.Second
)

// statusMessage is the message that a host sends in each period.
type statusMessage struct {
	Status member.Status `msgpack:"status"`
	// Period is the time until the next status.
	Period time.Duration `msgpack:"period"`
	// Lease is the sender's lease, Taken the leases that it took over without the
	// table.
	Lease lease.ID   `msgpack:"lease"`
	Taken []lease.ID `msgpack:"taken"`
	// Digests are those of other domains when a delegate sends to its domain,
	// and that of its domain when it sends to others. Other hosts send none.
	Digests []member.Digest `msgpack:"digests"`
}

// SetSource sets the function that returns this host's loads and its revision in force.
func (h *Hosts) SetSource(f func(now time.Time) ([]member.Load, uint64)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.source = f
}

// Load returns the load of a cell of any region that was last received, and false when
// there is none that is recent enough.
func (h *Hosts) Load(now time.Time, c place.Cell) (member.Load, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, s := range h.statuses.Fresh(now) {
		if l, ok := findLoad(s.Loads, c); ok {
			return l, true
		}
	}
	for _, d := range h.digests.Fresh(now, maxLoadAge) {
		if l, ok := findLoad(d.Loads, c); ok {
			return l, true
		}
	}
	return member.Load{}, false
}

func findLoad(loads []member.Load, c place.Cell) (member.Load, bool) {
	i := slices.IndexFunc(loads, func(l member.Load) bool { return l.Region == c.Region && l.Service == c.Service })
	if i < 0 {
		return member.Load{}, false
	}
	return loads[i], true
}

// Revisions returns the revision in force on each live host, as last reported.
func (h *Hosts) Revisions() map[string]uint64 {
	now := h.clock()
	h.mu.RLock()
	defer h.mu.RUnlock()
	out := make(map[string]uint64)
	for _, d := range h.digests.Fresh(now, maxLoadAge) {
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

// sendStatuses sends this host's status to its failure domain when it is due. A delegate
// also sends the digest of the domain to delegates of the others. A new takeover or a
// change of leaving is sent at once, to all hosts of the region.
func (h *Hosts) sendStatuses(ctx context.Context) {
	now := h.clock()
	h.mu.RLock()
	source := h.source
	h.mu.RUnlock()
	var loads []member.Load
	var revision uint64
	if source != nil {
		// The source is called without the lock, because it may call Holds.
		loads, revision = source(now)
	}
	h.mu.Lock()
	m, near, far := h.newStatus(now)
	m.Status.Loads, m.Status.Revision = loads, revision
	urgent := len(m.Taken) != h.sentTaken || m.Status.Host.Leaving != h.sentLeaving
	if now.Before(h.nextStatus) && !urgent {
		h.mu.Unlock()
		return
	}
	if urgent {
		// All hosts of the region need the takeovers: which host may pledge to
		// them depends on these.
		near = h.regions[h.self.Region].live()
	}
	h.sentTaken, h.sentLeaving = len(m.Taken), m.Status.Host.Leaving
	h.sequence++
	m.Status.Sequence = h.sequence
	m.Period = max(h.period, time.Duration(len(near)+len(far))*targetSpacing)
	h.nextStatus = now.Add(m.Period)
	h.statuses.Merge(now, m.Status, m.Period)
	domain := m
	if len(far) == 0 {
		domain.Digests = nil
	}
	digest := member.NewDigest(h.self.Region, h.self.Domain, h.domainStatuses(now))
	h.mu.Unlock()
	for _, t := range near {
		go h.sendStatus(ctx, t, domain)
	}
	m.Digests = []member.Digest{digest}
	m.Status.Loads = nil
	for _, t := range far {
		go h.sendStatus(ctx, t, m)
	}
}

// rotateDigests returns the digests that the message of a round contains: all, or the next
// [maxDigests] in the order of domains.
func rotateDigests(all []member.Digest, round uint64) []member.Digest {
	if len(all) <= maxDigests {
		return all
	}
	slices.SortFunc(all, func(a, b member.Digest) int { return cmp.Compare(a.Domain, b.Domain) })
	at := int(round*maxDigests) % len(all)
	return append(all[at:], all[:at]...)[:maxDigests]
}

// domainStatuses returns the statuses of the hosts of the local failure domain that aren't
// dead.
func (h *Hosts) domainStatuses(now time.Time) []member.Status {
	return slices.DeleteFunc(h.statuses.Fresh(now), func(s member.Status) bool { return s.Host.Domain != h.self.Domain })
}

// newStatus returns the status message without loads and revision, and its targets: near
// are those in the local failure domain, far those in the others. Only a delegate has far
// targets, one host in each domain. Delegates send to different hosts of a domain that has
// several.
func (h *Hosts) newStatus(now time.Time) (m statusMessage, near, far []member.Host) {
	m.Status.Host = h.self
	m.Lease, m.Taken = h.node.ID(), h.node.Taken(now)
	m.Digests = rotateDigests(h.digests.Fresh(now, maxLoadAge), h.sequence)
	domains := make(map[string][]member.Host)
	for _, r := range h.regions {
		for _, l := range r.live() {
			domains[l.Domain] = append(domains[l.Domain], l)
		}
	}
	rank := -1
	for name, hosts := range domains {
		slices.SortFunc(hosts, func(a, b member.Host) int { return cmp.Compare(a.Name, b.Name) })
		if name == h.self.Domain {
			rank = slices.IndexFunc(hosts, func(t member.Host) bool { return t.Name == h.self.Name })
			near = slices.DeleteFunc(hosts, func(t member.Host) bool { return t.Name == h.self.Name })
			delete(domains, name)
		}
	}
	if rank >= 0 && rank < delegates {
		for _, hosts := range domains {
			far = append(far, hosts[rank%len(hosts)])
		}
	}
	return m, near, far
}

// sendStatus sends the message. A failure is logged only; the next period has a new one.
func (h *Hosts) sendStatus(ctx context.Context, to member.Host, m statusMessage) {
	if to.Name == h.self.Name {
		return
	}
	metrics.GetOrCreateCounter("hitch_statuses_sent_total").Inc()
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	if err := h.peers.Call(ctx, to, statusPath, m, nil); err != nil {
		h.log.Debug("send status to host", "host", to.Name, "error", err)
	}
}

// receiveStatus merges another host's status, takeovers and digests. Takeovers count only
// from hosts of the local region, and statuses only from the local failure domain or from a
// host that is leaving.
func (h *Hosts) receiveStatus(r *http.Request, m statusMessage) (struct{}, error) {
	if err := checkSender(r, m.Status.Host.Name); err != nil {
		return struct{}{}, err
	}
	now := h.clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.Status.Host.Region == h.self.Region && m.Lease.Host == m.Status.Host.Name {
		h.node.RecordTakeovers(m.Lease, m.Taken)
		for id, by := range h.takenOver {
			if by.Host == m.Lease.Host {
				delete(h.takenOver, id)
			}
		}
		for _, id := range m.Taken {
			h.takenOver[id] = m.Lease
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
