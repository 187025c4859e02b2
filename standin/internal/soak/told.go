package soak

import "time"

// start is one start of a host.
type start struct {
	host        string
	incarnation int
}

// holdOff is a time in which a server wants no requests of a host.
type holdOff struct {
	// request is the one that got the response.
	request         string
	answered, until time.Time
	// arrivals is the number of requests in that time.
	arrivals int
}

func (r *record) start() start { return start{r.Host, r.Incarnation} }

// HoldOff records that the server answers the request with status 503 and a time in which it
// wants no more of them.
func (l *Ledger) HoldOff(now time.Time, id, server string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, u := l.attempts[id], l.upstreams[server]
	if r == nil || u == nil {
		return
	}
	if h := u.holdOffs[r.start()]; h == nil || now.Add(d).After(h.until) {
		u.holdOffs[r.start()] = &holdOff{request: id, answered: now, until: now.Add(d)}
	}
}

// passOn records that the host passed on a response in which the server announced that it
// leaves.
func (l *Ledger) passOn(now time.Time, r *record, server string) {
	if u := l.upstreams[server]; u != nil && u.passedOn[r.start()].IsZero() {
		u.passedOn[r.start()] = now
	}
}

// checkTold checks what the server told this start of the host.
func (l *Ledger) checkTold(now time.Time, r *record, u *Upstream) {
	if t := u.passedOn[r.start()]; !t.IsZero() && r.Sent.Sub(t) > l.bounds.Drain && l.disturbances.Undisturbed(t, now, partMachine, partProcess(r.Host)) {
		l.addViolation(now, NoWorkAfterNotice, r, "reached server %s %s after the host passed on that it leaves", u.ID, now.Sub(t))
	}
	h := u.holdOffs[r.start()]
	if h == nil || now.Sub(h.answered) <= l.bounds.HoldOffGrace || !now.Before(h.until) {
		return
	}
	// A host doesn't read the response to a request that ended before it.
	first := l.attempts[h.request]
	if !first.ended.IsZero() && first.ended.Before(h.answered) || h.answered.Sub(first.Sent) >= first.EffectiveTimeout {
		return
	}
	if !l.disturbances.Undisturbed(h.answered, now, partMachine, partHost(r.Host), partLink(u.Link)) {
		return
	}
	if h.arrivals++; h.arrivals > l.bounds.HoldOffRequests {
		l.addViolation(now, HoldOffKept, r, "is request %d that reached server %s since it wanted none %s ago, for %s", h.arrivals, u.ID, now.Sub(h.answered), h.until.Sub(h.answered))
	}
}
