package soak

import (
	"net/http"
	"slices"
	"time"
)

// Answer is what a caller got.
type Answer struct {
	Status int
	// ID is the request that the answer names.
	ID string
	// Signed tells that a server made it.
	Signed bool
	// Sum is the checksum of its whole body.
	Sum uint64
}

// isRefusal reports whether the status says that the request has not run and
// never will.
func isRefusal(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Answered records a whole answer to an attempt.
func (l *Ledger) Answered(now time.Time, id string, a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.attempts[id]
	r.ended = now
	switch {
	case a.ID != "" && a.ID != id:
		l.broken(now, WholeAnswer, r, "got the answer to request %s", a.ID)
	case a.Status/100 == 2:
		r.success = true
		l.checkSuccess(now, r, a)
	case isRefusal(a.Status):
		r.refused = true
		if r.Unsafe && len(r.runs) > 0 {
			l.broken(now, RefusedNotRun, r, "was refused with %d and had run on %v", a.Status, r.runs)
		}
	case a.Signed && !slices.Contains(r.statuses, a.Status):
		l.broken(now, WholeAnswer, r, "got a server's answer of status %d, servers answered %v", a.Status, r.statuses)
	case a.Status/100 == 4 && !a.Signed:
		l.checkDenied(now, r, a.Status)
	}
}

func (l *Ledger) checkSuccess(now time.Time, r *record, a Answer) {
	switch {
	case !a.Signed:
		l.broken(now, WholeAnswer, r, "success without a server's signature")
	case a.Sum != Sum(Body(r.ID)):
		l.broken(now, WholeAnswer, r, "body differs from the server's")
	case !slices.Contains(r.statuses, a.Status):
		l.broken(now, WholeAnswer, r, "success of status %d, servers answered %v", a.Status, r.statuses)
	}
}

// Left records that the caller gave up early and closed its connection.
func (l *Ledger) Left(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.attempts[id]
	r.left, r.ended = now, now
}

// Cut records that the connection ended without a whole answer.
func (l *Ledger) Cut(now time.Time, id, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.attempts[id]
	r.ended = now
	if now.Sub(r.Sent) >= r.Limit || len(r.arrivals) == 0 && now.Sub(r.Sent) <= l.bounds.LossSlack {
		return
	}
	parts := []string{partMachine, partHost(r.Host)}
	for _, a := range r.arrivals {
		parts = append(parts, partLink(l.upstreams[a.server].Link))
	}
	if !l.calm.Calm(r.Sent.Add(-l.bounds.Contact), now, parts...) {
		return
	}
	if !l.calm.Calm(r.Sent, now, partPlanned(r.Host)) {
		l.broken(now, PlannedStopCutsNothing, r, "cut after %s, %d servers had it: %s", now.Sub(r.Sent), len(r.arrivals), why)
		return
	}
	if len(r.arrivals) > 0 {
		l.rarely(now, NothingCut, r, "cut after %s, %d servers had it: %s", now.Sub(r.Sent), len(r.arrivals), why)
	}
}

// Unanswered records that no answer came until long after the route's time-out.
func (l *Ledger) Unanswered(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[id].ended = now
}

// DeadHost records that a look-up named a host that was dead for long.
func (l *Ledger) DeadHost(now time.Time, asked, named string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &record{Attempt: Attempt{Host: asked}}
	if l.calm.Calm(now.Add(-l.bounds.Contact), now, partHost(asked), partPlanned(asked), partMachine) {
		l.rarely(now, LiveHosts, r, "named %s, which is dead", named)
	}
}

// share of arrivals that may be told a wrong deadline, and a number that may always.
const (
	wrongDeadlineShare = 0.2
	wrongDeadlines     = 20
	// lateShare of the requests that reach their time-out, and fewer than
	// lateFew, may be answered late.
	lateShare = 0.5
	lateFew   = 8
	// recoveredShare of the requests must succeed after the faults.
	recoveredShare = 0.25
)

// Close checks what can be judged only over the whole run. Healed is when the
// last fault ended.
func (l *Ledger) Close(now, healed time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := l.few[DeadlineKept]; n > wrongDeadlines && float64(n) > wrongDeadlineShare*float64(l.arrivals) {
		l.broken(now, DeadlineKept, nil, "%d of %d requests reached servers with more time than was left", n, l.arrivals)
	}
	over, late := 0, 0
	sent, served := 0, 0
	for _, r := range l.attempts {
		if r.ended.IsZero() {
			continue
		}
		took := r.ended.Sub(r.Sent)
		if took >= r.Limit && l.inTouch(r.Sent, r.ended, r) {
			over++
			if took > r.Limit+l.bounds.Late {
				late++
			}
		}
		if r.left.IsZero() && r.Sent.Sub(healed) > l.bounds.Recovery {
			sent++
			if r.success {
				served++
			}
		}
	}
	if late >= lateFew && float64(late) > lateShare*float64(over) {
		l.broken(now, AnsweredInTime, nil, "%d of %d requests that reached their time-out had no answer %s later", late, over, l.bounds.Late)
	}
	if sent > 0 && float64(served) < recoveredShare*float64(sent) {
		l.broken(now, Recovered, nil, "%d of %d requests served later than %s after the last fault", served, sent, l.bounds.Recovery)
	}
}

// Totals counts the attempts by what became of them.
type Totals struct {
	Sent, Served, Refused, Failed, Left, Violations int
}

// Totals returns the counts so far.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := Totals{Sent: len(l.attempts), Violations: len(l.violations)}
	for _, r := range l.attempts {
		switch {
		case r.success:
			t.Served++
		case r.refused:
			t.Refused++
		case !r.left.IsZero():
			t.Left++
		case !r.ended.IsZero():
			t.Failed++
		}
	}
	return t
}
