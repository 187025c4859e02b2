package soak

import (
	"net/http"
	"slices"
	"time"
)

// Response is a complete response that a caller received.
type Response struct {
	Status int
	// ID is the request id in the response.
	ID string
	// Signed reports whether it has the signature header that servers set.
	Signed bool
	// Checksum is the checksum of its complete body.
	Checksum uint64
	// Leaving reports that the server announced that it leaves.
	Leaving bool
	// Suspect is set if the request was refused because it crashed servers.
	Suspect bool
}

// refusals are the statuses that promise that the request hasn't run and won't run.
var refusals = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

func isRefusal(status int) bool { return slices.Contains(refusals, status) }

// Responded records a complete response to an attempt.
func (l *Ledger) Responded(now time.Time, id string, a Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.attempts[id]
	r.ended = now
	if a.Leaving && len(r.announced) == 1 {
		// The response may be that of a server before the last one. Of several that leave, nothing tells
		// which one it is of.
		l.passOn(now, r, r.announced[0])
	}
	switch {
	case a.ID != "" && a.ID != id:
		l.addViolation(now, CompleteResponse, r, "got the response to request %s", a.ID)
	case a.Status/100 == 2:
		r.success = true
		l.checkSuccess(now, r, a)
	case isRefusal(a.Status):
		if a.Suspect && !isFatal(r.Target) {
			l.addViolation(now, BystanderServed, r, "was refused as if it had crashed servers")
		}
		l.refuse(now, r, a.Status)
	case a.Signed && !slices.Contains(r.statuses, a.Status):
		l.addViolation(now, CompleteResponse, r, "got a server's response with status %d, servers sent %v", a.Status, r.statuses)
	case a.Status/100 == 4 && !a.Signed:
		l.checkHostError(now, r, a.Status)
	}
}

// Promised records the status of a response as soon as its head has arrived. A refusal is a
// promise also when its body breaks off.
func (l *Ledger) Promised(now time.Time, id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.attempts[id]; isRefusal(status) {
		l.refuse(now, r, status)
	}
}

// refuse records that the caller was promised that the request hasn't run and won't run.
func (l *Ledger) refuse(now time.Time, r *record, status int) {
	if r.Unsafe && len(r.runs) > 0 && !r.refused {
		l.addViolation(now, RefusedNotRun, r, "was refused with status %d after it ran on servers %v", status, r.runs)
	}
	r.refused = true
}

func (l *Ledger) checkSuccess(now time.Time, r *record, a Response) {
	switch {
	case !a.Signed:
		l.addViolation(now, CompleteResponse, r, "got a success without a server's signature")
	case a.Checksum != Checksum(Body(r.ID)):
		l.addViolation(now, CompleteResponse, r, "got a body other than the server's")
	case !slices.Contains(r.statuses, a.Status):
		l.addViolation(now, CompleteResponse, r, "got a success with status %d, servers sent %v", a.Status, r.statuses)
	}
}

// Cancelled records that the caller cancelled the request early and closed its connection.
func (l *Ledger) Cancelled(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.attempts[id]
	r.cancelled, r.ended = now, now
}

// ConnectionClosed records that the connection ended without a complete response. This
// is allowed from the attempt's effective timeout on, within bounds.LossSlack if the
// request reached no server, and if the host, a server's link or the machine had a
// fault. Without a planned stop it is also allowed later if the request reached no
// server, and up to bounds.MaxExceptions times if it did.
func (l *Ledger) ConnectionClosed(now time.Time, id, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.attempts[id]
	r.ended = now
	if now.Sub(r.Sent) >= r.EffectiveTimeout || len(r.arrivals) == 0 && now.Sub(r.Sent) <= l.bounds.LossSlack {
		return
	}
	parts := []string{partMachine, partHost(r.Host), partSlow(r.Host)}
	for _, a := range r.arrivals {
		parts = append(parts, partLink(l.upstreams[a.server].Link))
	}
	if !l.disturbances.Undisturbed(r.Sent.Add(-l.bounds.QuietPeriod), now, parts...) {
		return
	}
	if !l.disturbances.Undisturbed(r.Sent, now, partPlanned(r.Host)) {
		l.addViolation(now, PlannedStopCutsNothing, r, "connection closed after %s and %d arrivals at servers: %s", now.Sub(r.Sent), len(r.arrivals), why)
		return
	}
	if len(r.arrivals) > 0 {
		l.countRare(now, NoConnectionClosed, r, "connection closed after %s and %d arrivals at servers: %s", now.Sub(r.Sent), len(r.arrivals), why)
	}
}

// Unread records that the request was sent behind one whose response closed the
// connection. It must not reach a server: its caller sends it again.
func (l *Ledger) Unread(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.attempts[id]
	r.ended, r.unread = now, true
	if len(r.arrivals) > 0 {
		l.addViolation(now, NothingBehindClose, r, "reached %d servers, and the response before it closed the connection", len(r.arrivals))
	}
}

// TimedOut records that no response came while the caller waited, which is past the route's timeout.
func (l *Ledger) TimedOut(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[id].ended = now
}

// LookupReturnedDownHost records that a lookup at the queried host returned a host
// that had been down for longer than lookups may return it.
func (l *Ledger) LookupReturnedDownHost(now time.Time, queried, returned string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &record{Attempt: Attempt{Host: queried}}
	if l.disturbances.Undisturbed(now.Add(-l.bounds.QuietPeriod), now, partHost(queried), partSlow(queried), partPlanned(queried), partMachine) {
		l.countRare(now, LiveHosts, r, "lookup returned host %s, which is down", returned)
	}
}

// Exited records that the host's process ended by itself.
func (l *Ledger) Exited(now time.Time, host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation(now, HostsRun, &record{Attempt: Attempt{Host: host}}, "process ended by itself")
}

// Thresholds of the checks over the whole run. DeadlineKept is broken when the
// arrivals with a wrong deadline exceed both the number and the share.
const (
	wrongDeadlineShare = 0.2
	minWrongDeadlines  = 20
	// RespondedInTime is broken when at least minLate requests, and more than
	// lateShare of those that reach their timeout, get their response too late.
	lateShare = 0.5
	minLate   = 8
	// minSuccessShare is the share of requests that must succeed after the faults.
	minSuccessShare = 0.25
)

// Close checks the invariants that need the whole run: DeadlineKept, SharesKept,
// RespondedInTime and Recovered. The last fault ended at healed.
func (l *Ledger) Close(now, healed time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := l.counts[DeadlineKept]; n > minWrongDeadlines && float64(n) > wrongDeadlineShare*float64(l.arrivals) {
		l.addViolation(now, DeadlineKept, nil, "%d of %d arrivals at servers had no deadline or a later one than the caller's", n, l.arrivals)
	}
	l.checkShares(now)
	over, late := 0, 0
	sent, served := 0, 0
	for _, r := range l.attempts {
		if r.ended.IsZero() {
			continue
		}
		took := r.ended.Sub(r.Sent)
		if took >= r.EffectiveTimeout && l.undisturbed(r.Sent, r.ended, r) {
			over++
			if took > r.EffectiveTimeout+l.bounds.TimeoutSlack {
				late++
			}
		}
		if r.cancelled.IsZero() && r.Sent.Sub(healed) > l.bounds.Recovery {
			sent++
			if r.success {
				served++
			}
		}
	}
	if late >= minLate && float64(late) > lateShare*float64(over) {
		l.addViolation(now, RespondedInTime, nil, "%d of %d requests that reached their timeout had no response %s later", late, over, l.bounds.TimeoutSlack)
	}
	if sent > 0 && float64(served) < minSuccessShare*float64(sent) {
		l.addViolation(now, Recovered, nil, "%d of %d requests succeeded later than %s after the last fault", served, sent, l.bounds.Recovery)
	}
}

// Totals counts the attempts by outcome, the windows whose shares were checked, and the violations.
type Totals struct {
	Sent, Served, Refused, Failed, Left, Windows, Violations int
}

// Totals returns the counts so far.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := Totals{Sent: len(l.attempts), Windows: l.windows, Violations: len(l.violations)}
	for _, r := range l.attempts {
		switch {
		case r.success:
			t.Served++
		case r.refused:
			t.Refused++
		case !r.cancelled.IsZero():
			t.Left++
		case !r.ended.IsZero():
			t.Failed++
		}
	}
	return t
}
