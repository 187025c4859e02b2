package spread

import (
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/steer/config"
)

// knowledge is what a host knows of how far its configuration is current.
// Times are zero when it never happened.
type knowledge struct {
	// currentAt is the last time at which this host's revision was known to
	// be the greatest accepted one.
	currentAt time.Time
	// heardAt is when another host last answered.
	heardAt time.Time
	// otherCurrentAt is the last time at which another host's revision was
	// known to be the greatest.
	otherCurrentAt time.Time
	// storeKnown is set when the state of the table is known, and
	// storeDownAt since when it is down.
	storeKnown  bool
	storeDownAt time.Time
	// fork tells of another history that was seen at forkAt.
	fork   string
	forkAt time.Time
	// told is what was last written to the log.
	told bool
}

// State tells what a host holds and knows of the configuration.
type State struct {
	Mark config.Mark
	// Current is set when the revision was the greatest accepted one not
	// longer ago than the limit, CurrentAge how long ago, negative when never.
	Current    bool
	CurrentAge time.Duration
	// Servable is unset when callers shouldn't be sent to this host.
	Servable bool
	// StoreKnown is set when the state of the table is known, StoreDown when
	// it is down, and StoreDownAge for how long.
	StoreKnown   bool
	StoreDown    bool
	StoreDownAge time.Duration
	// Fork tells of another history that was seen lately.
	Fork string
}

// State returns what the host holds and knows at now.
func (s *Spread) State(now time.Time) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known
	out := State{
		Mark:       s.changes.End(),
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
		out.Fork = k.fork
	}
	return out
}

// Current reports whether this host's revision was known to be the greatest
// accepted one within the limit, and when it last was.
func (s *Spread) Current(now time.Time) (ok bool, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.within(now, s.known.currentAt), s.known.currentAt
}

// Servable reports whether callers may be sent to this host: it has a
// configuration, and it is current or no other host is known to be.
func (s *Spread) Servable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servable(now)
}

// servable does the work of [Spread.Servable]. The caller holds mu.
func (s *Spread) servable(now time.Time) bool {
	switch {
	case s.view.Config().Revision == 0:
		return false
	case s.within(now, s.known.currentAt):
		return true
	case s.within(now, s.known.otherCurrentAt):
		return false
	case s.within(now, s.known.heardAt):
		return true
	}
	// A host that hears no one can't tell: others may have gone on.
	return len(s.others()) == 0
}

// within reports whether t is not longer ago than the limit.
func (s *Spread) within(now, t time.Time) bool {
	return !t.IsZero() && now.Sub(t) <= s.currentLimit
}

// age returns how long ago t was, negative when it never was.
func age(now, t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return max(0, now.Sub(t))
}

// alone reports whether no other host was heard lately.
func (s *Spread) alone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.within(s.now(), s.known.heardAt)
}

// confirm notes that this host's revision was the greatest at the time.
func (s *Spread) confirm(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.known.currentAt) {
		s.known.currentAt = at
	}
}

// storeAnswered notes whether the table answered a question sent at the time.
func (s *Spread) storeAnswered(at time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known.storeKnown = true
	switch {
	case err == nil:
		s.known.storeDownAt = time.Time{}
	case s.known.storeDownAt.IsZero():
		s.known.storeDownAt = at
	}
}

// setFork notes another history, when the error tells of one.
func (s *Spread) setFork(err error) {
	if !errors.Is(err, config.ErrFork) {
		return
	}
	s.log.Error("another history of the configuration refused", "error", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known.fork, s.known.forkAt = err.Error(), s.now()
}

// heard notes what another host holds.
func (s *Spread) heard(name string, m config.Mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known.heardAt = s.now()
	h := s.hostOf(name)
	h.mark = m
	if m.Revision > s.view.Config().Revision && !s.within(s.now(), h.forkAt) {
		signal(s.wakeAsk)
	}
}

// forked notes that a host showed another history, so that it isn't asked
// first for a while.
func (s *Spread) forked(name string, err error) {
	s.setFork(err)
	if !errors.Is(err, config.ErrFork) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostOf(name).forkAt = s.now()
}

// forget drops what was known of a host that doesn't answer.
func (s *Spread) forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostOf(name).mark = config.Mark{}
}

// answer returns what this host tells others of its knowledge.
func (s *Spread) answer(end config.Mark) askAnswer {
	st := s.State(s.now())
	return askAnswer{
		Revision:     end.Revision,
		Digest:       end.Digest,
		CurrentAge:   st.CurrentAge,
		StoreKnown:   st.StoreKnown,
		StoreDownAge: st.StoreDownAge,
	}
}

// learn takes over what another host knows, from its answer to a question
// sent at the time.
func (s *Spread) learn(sent time.Time, a askAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.CurrentAge >= 0 {
		at := sent.Add(-a.CurrentAge)
		if at.After(s.known.otherCurrentAt) {
			s.known.otherCurrentAt = at
		}
		if s.changes.End() == a.mark() && at.After(s.known.currentAt) {
			s.known.currentAt = at
		}
	}
	if a.StoreKnown && !s.tableSeen {
		s.known.storeKnown, s.known.storeDownAt = true, time.Time{}
		if a.StoreDownAge > 0 {
			s.known.storeDownAt = sent.Add(-a.StoreDownAge)
		}
	}
}

// report sets the metrics and logs when the host begins or ends to be current.
func (s *Spread) report() {
	st := s.State(s.now())
	s.meters.current.Set(gaugeOf(st.Current))
	s.meters.storeDown.Set(gaugeOf(st.StoreDown))
	s.meters.fork.Set(gaugeOf(st.Fork != ""))
	s.meters.knownAge.Set(st.CurrentAge.Seconds())
	s.mu.Lock()
	changed := s.known.told != st.Current
	s.known.told = st.Current
	s.mu.Unlock()
	switch {
	case !changed:
	case st.Current:
		s.log.Info("configuration is current", "revision", st.Mark.Revision)
	default:
		s.log.Warn("can't tell whether the configuration is current", "revision", st.Mark.Revision, "since", st.CurrentAge, "storeDown", st.StoreDown)
	}
}
