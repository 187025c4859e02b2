package spread

import (
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/steer/config"
)

// syncStatus is what a host has recorded about how current its configuration
// is. A zero time means never.
type syncStatus struct {
	// currentAt is the last time at which this host's revision was confirmed to
	// be the greatest accepted one.
	currentAt time.Time
	// receivedAt is when this host last received the position of another host.
	receivedAt time.Time
	// peerCurrentAt is the last time at which another host's revision was
	// confirmed to be the greatest accepted one.
	peerCurrentAt time.Time
	// storeKnown is set once the state of the table has been recorded.
	// storeDownAt is when the table went down, zero while it is up.
	storeKnown  bool
	storeDownAt time.Time
	// fork describes a different history, which was detected at forkAt.
	fork   string
	forkAt time.Time
	// loggedCurrent is the last value of Current that was logged.
	loggedCurrent bool
}

// State describes a host's configuration and how current it is.
type State struct {
	Position config.Position
	// Current is set if the revision was confirmed to be the greatest accepted
	// one within the limit. CurrentAge is the time since then, negative if it
	// never was.
	Current    bool
	CurrentAge time.Duration
	// Servable is unset if callers shouldn't be sent to this host.
	Servable bool
	// StoreKnown is set if the state of the table is known. StoreDown is set if
	// the table is down; StoreDownAge is for how long.
	StoreKnown   bool
	StoreDown    bool
	StoreDownAge time.Duration
	// Fork describes a different history that was detected within the limit,
	// ForkAge ago.
	Fork    string
	ForkAge time.Duration
}

// State returns the state at the time now.
func (s *Spread) State(now time.Time) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.status
	out := State{
		Position:   s.changes.End(),
		CurrentAge: age(now, k.currentAt),
		Current:    s.within(now, k.currentAt),
		Servable:   s.servable(now),
		StoreKnown: k.storeKnown,
		StoreDown:  !k.storeDownAt.IsZero(),
	}
	if out.StoreDown {
		out.StoreDownAge = now.Sub(k.storeDownAt)
	}
	if s.within(now, k.forkAt) {
		out.Fork, out.ForkAge = k.fork, now.Sub(k.forkAt)
	}
	return out
}

// Current reports whether this host's revision was confirmed to be the greatest
// accepted one within the limit, and when it last was.
func (s *Spread) Current(now time.Time) (ok bool, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.within(now, s.status.currentAt), s.status.currentAt
}

// Servable reports whether callers may be sent to this host. It must have a
// configuration, which must be current unless no other host is recorded to have
// a current one. An isolated host whose configuration isn't current is servable
// only if there are no other live hosts.
func (s *Spread) Servable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servable(now)
}

// servable implements [Spread.Servable]. The caller holds mu.
func (s *Spread) servable(now time.Time) bool {
	switch {
	case s.view.Config().Revision == 0:
		return false
	case s.within(now, s.status.currentAt):
		return true
	case s.within(now, s.status.peerCurrentAt):
		return false
	case s.within(now, s.status.receivedAt):
		return true
	}
	// An isolated host isn't servable: the others may have newer revisions.
	return len(s.others()) == 0
}

// within reports whether t is at most the limit ago. It is false for the zero
// time.
func (s *Spread) within(now, t time.Time) bool {
	return !t.IsZero() && now.Sub(t) <= s.currentLimit
}

// age returns the time since t, or -1 if t is zero.
func age(now, t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return max(0, now.Sub(t))
}

// isolated reports whether no position of another host was received within the
// limit.
func (s *Spread) isolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.within(s.now(), s.status.receivedAt)
}

// confirmCurrent records that this host's revision was the greatest accepted
// one at the time.
func (s *Spread) confirmCurrent(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.status.currentAt) {
		s.status.currentAt = at
	}
}

// recordStore records whether the table responded to a request sent at the
// time.
func (s *Spread) recordStore(at time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.storeKnown = true
	switch {
	case err == nil:
		s.status.storeDownAt = time.Time{}
	case s.status.storeDownAt.IsZero():
		s.status.storeDownAt = at
	}
}

// recordFork logs and records a different history if err is [config.ErrFork].
func (s *Spread) recordFork(err error) {
	if !errors.Is(err, config.ErrFork) {
		return
	}
	s.log.Error("refused a different history of the configuration", "error", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.fork, s.status.forkAt = err.Error(), s.now()
}

// recordPosition records the position of another host. It wakes the query loop if the
// position is ahead of this host and the host reported no fork within the limit.
func (s *Spread) recordPosition(name string, p config.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.receivedAt = s.now()
	h := s.peerState(name)
	h.position = p
	if p.Revision > s.view.Config().Revision && !s.within(s.now(), h.forkAt) {
		signal(s.wakeQuery)
	}
}

// recordPeerFork records that a host has a different history if err is
// [config.ErrFork]. Such a host doesn't count as ahead until the limit has
// passed.
func (s *Spread) recordPeerFork(name string, err error) {
	s.recordFork(err)
	if !errors.Is(err, config.ErrFork) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerState(name).forkAt = s.now()
}

// clearPosition discards the position of a host that doesn't respond.
func (s *Spread) clearPosition(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerState(name).position = config.Position{}
}

// statusResponse returns a response with the end position and the state of this
// host, without entries.
func (s *Spread) statusResponse(end config.Position) queryResponse {
	st := s.State(s.now())
	return queryResponse{
		Revision:     end.Revision,
		Digest:       end.Digest,
		CurrentAge:   st.CurrentAge,
		StoreKnown:   st.StoreKnown,
		StoreDownAge: st.StoreDownAge,
		Fork:         st.Fork,
		ForkAge:      st.ForkAge,
	}
}

// mergeStatus merges the state that another host reported in its response to a
// query sent at the time. Its report on the table is used only while this host
// doesn't poll the table itself.
func (s *Spread) mergeStatus(sent time.Time, a queryResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.CurrentAge >= 0 {
		at := sent.Add(-a.CurrentAge)
		if at.After(s.status.peerCurrentAt) {
			s.status.peerCurrentAt = at
		}
		if s.changes.End() == a.position() && at.After(s.status.currentAt) {
			s.status.currentAt = at
		}
	}
	if at := sent.Add(-a.ForkAge); a.Fork != "" && at.After(s.status.forkAt) {
		s.status.fork, s.status.forkAt = a.Fork, at
	}
	if a.StoreKnown && !s.pollsTable {
		s.status.storeKnown, s.status.storeDownAt = true, time.Time{}
		if a.StoreDownAge > 0 {
			s.status.storeDownAt = sent.Add(-a.StoreDownAge)
		}
	}
}

// report updates the metrics, and logs when the configuration becomes current
// or stops being current.
func (s *Spread) report() {
	st := s.State(s.now())
	s.meters.current.Set(gaugeOf(st.Current))
	s.meters.storeDown.Set(gaugeOf(st.StoreDown))
	s.meters.fork.Set(gaugeOf(st.Fork != ""))
	s.meters.currentAge.Set(st.CurrentAge.Seconds())
	s.mu.Lock()
	changed := s.status.loggedCurrent != st.Current
	s.status.loggedCurrent = st.Current
	s.mu.Unlock()
	switch {
	case !changed:
	case st.Current:
		s.log.Info("configuration is current", "revision", st.Position.Revision)
	default:
		s.log.Warn("configuration is not confirmed to be current", "revision", st.Position.Revision, "since", st.CurrentAge, "storeDown", st.StoreDown)
	}
}

// removePeer removes the state of a host that isn't live any more, unless a
// push to it is in progress.
func (s *Spread) removePeer(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.peerStates[name]; h != nil && !h.pushing {
		delete(s.peerStates, name)
	}
}
