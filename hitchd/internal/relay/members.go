package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliahitch/steer/member"
)

const (
	// silence is how long a host may not be heard before it counts as dead. It
	// covers three polls.
	silence = 2 * time.Second
	// listLife is how long a list of another host is used. A domain whose list
	// is older can't be reached.
	listLife = 4 * time.Second
)

// Members is what a host knows of the hosts of its region. It is not safe for
// concurrent use.
type Members struct {
	self  member.Host
	heard map[string]heard
	lists map[string]list
}

// heard is a host that polled this one.
type heard struct {
	host member.Host
	at   time.Time
}

// list holds the live hosts of a failure domain as its source told them.
type list struct {
	hosts []member.Host
	sum   uint64
	at    time.Time
}

// NewMembers returns the knowledge of a host that knows only itself.
func NewMembers(self member.Host) *Members {
	return &Members{self: self, heard: make(map[string]heard), lists: make(map[string]list)}
}

// Leave marks this host as about to stop.
func (m *Members) Leave() { m.self.Leaving = true }

// Hear records a poll of the host. It reports whether the host is news.
func (m *Members) Hear(now time.Time, h member.Host) bool {
	old, known := m.heard[h.Name]
	if known && old.host.Incarnation > h.Incarnation {
		return false
	}
	h.Leaving = h.Leaving || known && old.host.Leaving && old.host.Incarnation == h.Incarnation
	m.heard[h.Name] = heard{h, now}
	return !known || old.host.Incarnation != h.Incarnation || now.Sub(old.at) >= silence
}

// Tell takes the list of a failure domain in, which was right at the time. A
// sum of the list that is known confirms it, and hosts are nil then.
func (m *Members) Tell(domain string, hosts []member.Host, sum uint64, at time.Time) {
	old := m.lists[domain]
	if at.Before(old.at) {
		return
	}
	if hosts == nil {
		if old.sum != sum {
			return
		}
		hosts = old.hosts
	}
	m.lists[domain] = list{hosts, sum, at}
}

// Sums returns the sums of the lists that are known.
func (m *Members) Sums() map[string]uint64 {
	out := make(map[string]uint64, len(m.lists))
	for d, l := range m.lists {
		out[d] = l.sum
	}
	return out
}

// Judge makes the list of this host's own failure domain from the polls it
// gets. What an earlier source told stays valid for a while.
func (m *Members) Judge(now time.Time) (lost []string) {
	byName := make(map[string]member.Host)
	if l := m.lists[m.self.Domain]; now.Sub(l.at) < silence {
		for _, h := range l.hosts {
			byName[h.Name] = h
		}
	}
	for name, h := range m.heard {
		switch {
		case now.Sub(h.at) >= silence:
			if now.Sub(h.at) < 2*silence {
				delete(byName, name)
				lost = append(lost, name)
			}
			delete(m.heard, name)
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
	m.judged(now, hosts, byName)
	return lost
}

// judged stores the list. Its time only moves on for hosts that were heard, so
// that hosts told by an earlier source fade.
func (m *Members) judged(now time.Time, hosts []member.Host, byName map[string]member.Host) {
	at := now
	for name := range byName {
		if _, ok := m.heard[name]; !ok && name != m.self.Name {
			at = m.lists[m.self.Domain].at
		}
	}
	m.lists[m.self.Domain] = list{hosts, sum(hosts), at}
}

// Live returns the hosts of the region that live and are not about to stop.
func (m *Members) Live(now time.Time) []member.Host {
	var out []member.Host
	there := false
	for _, l := range m.lists {
		if now.Sub(l.at) >= listLife {
			continue
		}
		for _, h := range l.hosts {
			if h.Name == m.self.Name {
				there = true
				if m.self.Leaving {
					continue
				}
			}
			out = append(out, h)
		}
	}
	if !there && !m.self.Leaving {
		out = append(out, m.self)
	}
	slices.SortFunc(out, func(a, b member.Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// sum identifies a list.
func sum(hosts []member.Host) uint64 {
	d := xxhash.New()
	for _, h := range hosts {
		_, _ = d.WriteString(h.Name)
		_, _ = d.WriteString(h.CallerAddr)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}

// order returns the hosts in the order in which they are sources.
func order(hosts []member.Host) []member.Host {
	out := slices.Clone(hosts)
	slices.SortFunc(out, func(a, b member.Host) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return out
}
