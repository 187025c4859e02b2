package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliahitch/steer/member"
)

const (
	// pollExpiry is the time without a poll after which a host counts as
	// unreachable. It covers three polls.
	pollExpiry = 2 * time.Second
	// listValidity is how long a list of live hosts is used. A domain with an older
	// list counts as unreachable.
	listValidity = 4 * time.Second
)

// Members is a host's view of the live hosts of its region, with a list for each
// failure domain. It is not safe for concurrent use.
type Members struct {
	self  member.Host
	polls map[string]lastPoll
	lists map[string]list
}

// lastPoll is the last poll that this host received from another.
type lastPoll struct {
	host member.Host
	at   time.Time
}

// list holds the live hosts of a failure domain, as its first host reported them,
// a digest of them and the time at which the list was correct.
type list struct {
	hosts  []member.Host
	digest uint64
	at     time.Time
}

// NewMembers returns a view with the host self only.
func NewMembers(self member.Host) *Members {
	return &Members{self: self, polls: make(map[string]lastPoll), lists: make(map[string]list)}
}

// Leave marks this host as about to stop.
func (m *Members) Leave() { m.self.Leaving = true }

// RecordPoll records a poll from the host. It reports whether the host is new, has
// restarted, or was unreachable before. A poll of an older incarnation is
// ignored.
func (m *Members) RecordPoll(now time.Time, h member.Host) bool {
	old, known := m.polls[h.Name]
	if known && old.host.Incarnation > h.Incarnation {
		return false
	}
	h.Leaving = h.Leaving || known && old.host.Leaving && old.host.Incarnation == h.Incarnation
	m.polls[h.Name] = lastPoll{h, now}
	return !known || old.host.Incarnation != h.Incarnation || now.Sub(old.at) >= pollExpiry
}

// SetList records the list of a failure domain, which was correct at the time. With
// nil hosts it confirms the recorded list if that has the same digest. A list
// older than the recorded one is ignored.
func (m *Members) SetList(domain string, hosts []member.Host, digest uint64, at time.Time) {
	old := m.lists[domain]
	if at.Before(old.at) {
		return
	}
	if hosts == nil {
		if old.digest != digest {
			return
		}
		hosts = old.hosts
	}
	m.lists[domain] = list{hosts, digest, at}
}

// Digests returns the digest of each recorded list, by failure domain.
func (m *Members) Digests() map[string]uint64 {
	out := make(map[string]uint64, len(m.lists))
	for d, l := range m.lists {
		out[d] = l.digest
	}
	return out
}

// UpdateOwnList updates the list of this host's own failure domain from the polls
// that it received, and returns the hosts that became unreachable. Hosts that an
// earlier source reported stay listed for pollExpiry.
func (m *Members) UpdateOwnList(now time.Time) (lost []string) {
	byName := make(map[string]member.Host)
	if l := m.lists[m.self.Domain]; now.Sub(l.at) < pollExpiry {
		for _, h := range l.hosts {
			byName[h.Name] = h
		}
	}
	for name, h := range m.polls {
		switch {
		case now.Sub(h.at) >= pollExpiry:
			if now.Sub(h.at) < 2*pollExpiry {
				delete(byName, name)
				lost = append(lost, name)
			}
			delete(m.polls, name)
		case h.host.Leaving || h.host.Domain != m.self.Domain:
			delete(byName, name)
		default:
			byName[name] = h.host
		}
	}
	delete(byName, m.self.Name)
	if !m.self.Leaving {
		byName[m.self.Name] = m.self
	}
	hosts := make([]member.Host, 0, len(byName))
	for _, h := range byName {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b member.Host) int { return cmp.Compare(a.Name, b.Name) })
	m.storeOwnList(now, hosts, byName)
	return lost
}

// storeOwnList stores the list of this host's own failure domain. It keeps the
// list's time while the list has a host without a recent poll, so that a host that
// only an earlier source reported expires.
func (m *Members) storeOwnList(now time.Time, hosts []member.Host, byName map[string]member.Host) {
	at := now
	for name := range byName {
		if _, ok := m.polls[name]; !ok && name != m.self.Name {
			at = m.lists[m.self.Domain].at
		}
	}
	m.lists[m.self.Domain] = list{hosts, digest(hosts), at}
}

// Live returns the live hosts of the region except those that are about to stop,
// by name.
func (m *Members) Live(now time.Time) []member.Host {
	var out []member.Host
	listed := false
	for _, l := range m.lists {
		if now.Sub(l.at) >= listValidity {
			continue
		}
		for _, h := range l.hosts {
			if h.Name == m.self.Name {
				listed = true
				if m.self.Leaving {
					continue
				}
			}
			out = append(out, h)
		}
	}
	if !listed && !m.self.Leaving {
		out = append(out, m.self)
	}
	slices.SortFunc(out, func(a, b member.Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// digest returns a digest of the names and caller addresses of the hosts.
func digest(hosts []member.Host) uint64 {
	d := xxhash.New()
	for _, h := range hosts {
		_, _ = d.WriteString(h.Name)
		_, _ = d.WriteString(h.CallerAddr)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}

// order returns the hosts in their order as sources: by capacity, largest first,
// then by a hash of the name.
func order(hosts []member.Host) []member.Host {
	out := slices.Clone(hosts)
	slices.SortFunc(out, func(a, b member.Host) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return out
}
