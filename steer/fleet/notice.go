package fleet

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxNotices bounds the number of servers whose notices are kept. When it is reached,
// the oldest quarter is discarded.
const maxNotices = 8192

// departureTime is how long a host tells others of a server that leaves. The servers'
// table tells them within it, unless the store is away.
const departureTime = 10 * time.Second

// Departure is an incarnation of a server that announced in a response that it leaves.
type Departure struct {
	ID          string `msgpack:"id"`
	Incarnation int64  `msgpack:"incarnation"`
}

// Notice is what a server announces about itself.
type Notice struct {
	// Leaving reports that the server is about to stop and wants no new requests.
	Leaving bool
	// HoldOff is how long the server wants no requests of this host, 0 for none.
	HoldOff time.Duration
}

// Notices holds what servers announced, in their records or in their responses to this
// host. A notice concerns one incarnation of a server; earlier ones of the same id have
// ended. Leaving is final. It outlives the server's record, since an older record of the
// same incarnation may be read again. Notices is safe for concurrent use.
type Notices struct {
	// count is the length of byID, since most of the time nothing was announced and each
	// choice asks for each server.
	count atomic.Int64

	mu   sync.RWMutex
	byID map[string]standing
}

// standing is what one incarnation of a server announced.
type standing struct {
	incarnation int64
	leaving     bool
	// heldUntil is the end of the latest hold-off, zero without one.
	heldUntil time.Time
	// at is the time of the latest notice that changed anything.
	at time.Time
	// responded reports that a response told that the server leaves, to this host or to
	// another one, before any record did.
	responded bool
}

// NewNotices returns an empty record of notices.
func NewNotices() *Notices { return &Notices{byID: make(map[string]standing)} }

// Record adds a notice from a response of the server's incarnation. It reports whether
// that changes anything: the server wasn't known to leave, or didn't hold off requests at
// the time.
func (n *Notices) Record(now time.Time, id string, incarnation int64, m Notice) bool {
	return n.record(now, id, incarnation, m, true)
}

// Departures returns the servers that lately announced in a response that they leave,
// before their records said so, for other hosts.
func (n *Notices) Departures(now time.Time) []Departure {
	if n.count.Load() == 0 {
		return nil
	}
	n.mu.RLock()
	defer n.mu.RUnlock()
	var out []Departure
	for id, s := range n.byID {
		if s.leaving && s.responded && now.Sub(s.at) < departureTime {
			out = append(out, Departure{id, s.incarnation})
		}
	}
	return out
}

func (n *Notices) record(now time.Time, id string, incarnation int64, m Notice, responded bool) bool {
	if !m.Leaving && m.HoldOff <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	old, found := n.byID[id]
	if found && old.incarnation > incarnation {
		return false
	}
	s := old
	if !found || old.incarnation < incarnation {
		n.makeRoom()
		s = standing{incarnation: incarnation}
	}
	s.responded = s.responded || m.Leaving && responded && !s.leaving
	s.leaving = s.leaving || m.Leaving
	if until := now.Add(m.HoldOff); m.HoldOff > 0 && until.After(s.heldUntil) {
		s.heldUntil = until
	}
	changed := s.leaving != old.leaving || s.incarnation != old.incarnation || now.Before(s.heldUntil) && !now.Before(old.heldUntil)
	if changed {
		s.at = now
	}
	n.byID[id] = s
	n.count.Store(int64(len(n.byID)))
	return changed
}

// makeRoom discards the oldest notices if there are too many.
func (n *Notices) makeRoom() {
	if len(n.byID) < maxNotices {
		return
	}
	ids := make([]string, 0, len(n.byID))
	for id := range n.byID {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Or(n.byID[a].at.Compare(n.byID[b].at), cmp.Compare(a, b)) })
	for _, id := range ids[:maxNotices/4] {
		delete(n.byID, id)
	}
}

// Leaving reports whether the server's incarnation announced that it leaves, or has ended,
// since a later one announced anything.
func (n *Notices) Leaving(id string, incarnation int64) bool {
	return n.of(id, incarnation).leaving
}

// of returns what the incarnation announced, zero for nothing.
func (n *Notices) of(id string, incarnation int64) standing {
	if n.count.Load() == 0 {
		return standing{}
	}
	n.mu.RLock()
	defer n.mu.RUnlock()
	s, found := n.byID[id]
	switch {
	case !found || incarnation > s.incarnation:
		return standing{}
	case incarnation < s.incarnation:
		return standing{incarnation: incarnation, leaving: true}
	}
	return s
}
