package pick

import (
	"time"

	"magnoliahitch/steer/fleet"
)

// suspicionTimeout is how long a host that just started treats servers as possibly
// restarted, counted from the time when it read their records. Records of crashed
// servers expire within it, after three heartbeats of 1.5 s. It is the same from the end
// of an evacuation, since a heartbeat within it reports a warm-up.
const suspicionTimeout = 5 * time.Second

// Phase is what a host assumes about the warm-up of a server.
type Phase string

// Phases of servers.
const (
	// Warm servers get requests without a limit.
	Warm Phase = "warm"
	// WarmingUp servers reported that they are warming up.
	WarmingUp Phase = "warmingUp"
	// Suspected servers may have restarted or been evacuated, and may be warming up.
	Suspected Phase = "suspected"
)

// Cause is why the phase of a server changed.
type Cause string

// Causes of changes.
const (
	// Refused means that the server refused a connection.
	Refused Cause = "connectFailed"
	// Lost means that a connection was lost during a request or a response broke off.
	Lost Cause = "connectionLost"
	// Closed means that the server had closed idle connections.
	Closed Cause = "idleClosed"
	// HostStarted means that this host has just started and can't know.
	HostStarted Cause = "hostStarted"
	// EvacuationEnded means that the evacuation of the server's failure domain ended.
	EvacuationEnded Cause = "evacuationEnded"
	// RecordRead means that the server's record decided.
	RecordRead Cause = "record"
	// Verified means that a health check decided.
	Verified Cause = "healthCheck"
	// Expired means that the time of a phase was over.
	Expired Cause = "expired"
)

// PhaseChange is a change of a server's phase in the view of this host.
type PhaseChange struct {
	Server   string
	From, To Phase
	Cause    Cause
	// Incarnation is that of the server's record, and RecordAge the time since this host
	// read it.
	Incarnation int64
	RecordAge   time.Duration
	// Sent is the number of requests that this host sent to the server within the last
	// second.
	Sent int
}

// updatePhase returns the server's present phase and reports a change to the observer.
func (p *Picker) updatePhase(now time.Time, v *fleet.View, s *fleet.Server, st *state) Phase {
	st.noteEvacuation(v.Evacuation(s.Domain), s)
	phase, cause := st.currentPhase(now, s)
	if st.phase == phase {
		return phase
	}
	from := st.phase
	st.phase = phase
	if p.observe != nil && (from != "" || phase != Warm) {
		p.observe(PhaseChange{
			Server: s.ID, From: from, To: phase, Cause: cause, Incarnation: s.Incarnation, RecordAge: now.Sub(s.ReadAt),
			Sent: len(st.sendsSince(now.Add(-time.Second))),
		})
	}
	return phase
}

// noteEvacuation raises the suspicion that the server became cold during an evacuation
// that has ended: the record that would tell may arrive later than the end. It withdraws
// the suspicion once a warm-up was reported that began since the start.
func (s *state) noteEvacuation(e fleet.Evacuation, record *fleet.Server) {
	reported := record.WrittenAfter.After(e.Start) && record.Cold(record.ReadAt)
	switch {
	case e.End.After(s.evacuationEnd):
		s.evacuationEnd = e.End
		if !reported && e.End.After(s.suspectedAt) {
			s.suspectRestart(e.End, EvacuationEnded)
			s.suspicionEnds = e.End.Add(suspicionTimeout)
		}
	case reported && s.suspicion == EvacuationEnded:
		s.suspectedAt, s.suspicion = time.Time{}, ""
	}
}

// currentPhase returns the server's phase and what decided it.
func (s *state) currentPhase(now time.Time, record *fleet.Server) (Phase, Cause) {
	switch {
	case s.restartSuspected(now, record.WrittenAfter):
		return Suspected, s.suspicion
	case now.Before(s.coldUntil):
		return WarmingUp, Verified
	case record.Cold(now):
		return WarmingUp, RecordRead
	case s.phase == WarmingUp:
		return Warm, Expired
	case s.suspectedAt.IsZero() || record.WrittenAfter.After(s.suspectedAt):
		return Warm, RecordRead
	case !s.verifiedAt.Before(s.suspectedAt):
		return Warm, Verified
	}
	return Warm, Expired
}

// restartSuspected reports whether the server may have restarted. The suspicion ends
// with a record that was written or a health check that was sent after it arose, or
// when it expires. A record that was only read after it may be from before a crash.
func (s *state) restartSuspected(now, writtenAfter time.Time) bool {
	return !s.suspectedAt.IsZero() && !writtenAfter.After(s.suspectedAt) && s.verifiedAt.Before(s.suspectedAt) &&
		(s.suspicionEnds.IsZero() || now.Before(s.suspicionEnds))
}

// suspectRestart records that the server may have restarted, unless a later suspicion is
// recorded.
func (s *state) suspectRestart(now time.Time, cause Cause) {
	if now.Before(s.suspectedAt) {
		return
	}
	s.suspectedAt, s.suspicionEnds, s.suspicion = now, time.Time{}, cause
}

// sendsSince returns the times of the requests that were sent at or after the time.
func (s *state) sendsSince(since time.Time) []time.Time {
	i := 0
	for i < len(s.sends) && s.sends[i].Before(since) {
		i++
	}
	return s.sends[i:]
}

// admitCold reports whether this host is a sponsor of the server and may send it a
// request now, and counts the request against the host's rate.
func (p *Picker) admitCold(now time.Time, c *candidate) bool {
	rate, burst := p.sponsor(c.server)
	return rate > 0 && c.state.warmUpLimit.take(now, rate, burst)
}

// tokenBucket is a token bucket. The zero value is full.
type tokenBucket struct {
	used float64
	last time.Time
}

// take removes a token from the bucket, which refills at the rate in tokens/s up to
// burst tokens. It reports whether there was one.
func (b *tokenBucket) take(now time.Time, rate, burst float64) bool {
	if !b.last.IsZero() {
		b.used = max(0, b.used-rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.used+1 > burst {
		return false
	}
	b.used++
	return true
}
