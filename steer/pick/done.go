package pick

import "time"

// Result is the outcome of an attempt, as far as it concerns the server.
type Result uint8

// Results of attempts.
const (
	// Succeeded means that the server sent a response without a server error.
	Succeeded Result = iota
	// Begun means that the server sent the start of a long response without a server error.
	// [Picker.RecordWhole], [Picker.RecordBroken] or [Picker.RecordUnfinished] tells its end.
	Begun
	// Shed means that the server refused the request because it is at capacity.
	Shed
	// Misdirected means that another server responded at the address.
	Misdirected
	// ConnectFailed means that no connection could be established.
	ConnectFailed
	// ConnectionLost means that the connection was lost or the response was malformed.
	ConnectionLost
	// Failed means that the server responded with a server error.
	Failed
	// Abandoned means that the caller cancelled the request or its deadline passed.
	Abandoned
)

// Report is the load that a server reports with a response.
type Report struct {
	// Running and Waiting are the numbers of requests that run on the server and
	// that wait there for a slot.
	Running, Waiting int
	// Known reports whether the response contained the load.
	Known bool
}

// Done records the result of an attempt on a server that [Picker.Choose]
// returned. The latency is the time from sending the request to the response.
func (p *Picker) Done(now time.Time, server string, result Result, latency time.Duration, report Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.states[server]
	if st == nil {
		return
	}
	st.running--
	if report.Known {
		st.recordReport(now, report.Running+report.Waiting, st.running)
	}
	switch result {
	case Succeeded, Begun:
		if result == Succeeded {
			st.recordSuccess()
		}
		latency = max(0, latency-st.networkDelay)
		st.recordLatency(latency, p.serviceTime)
		p.updateServiceTime(latency)
	case Misdirected:
		st.eject(now)
	case ConnectFailed:
		st.suspectRestart(now, Refused)
		st.eject(now)
	case ConnectionLost:
		st.suspectRestart(now, Lost)
		st.recordFailure(now)
	case Failed:
		st.recordFailure(now)
	case Shed:
		st.raiseFailureRate()
		st.setOtherLoad(now, max(st.otherLoad, float64(st.running)+1))
	case Abandoned:
	}
}

// SuspectRestart records that the server may have restarted, for example because it closed
// idle connections, as a server does when it restarts. Until a restart is ruled out
// the server counts as one that warms up.
func (p *Picker) SuspectRestart(now time.Time, server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.states[server]; st != nil {
		st.suspectRestart(now, Closed)
	}
}

// SuspectedSince reports whether the suspicion that the server restarted arose at or
// after the time. A request that was admitted to a warm server before must then not be sent.
func (p *Picker) SuspectedSince(since time.Time, server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.states[server]
	return st != nil && !st.suspectedAt.IsZero() && !st.suspectedAt.Before(since)
}

// RecordHealthCheck records the response to a health check that was sent at checkedAt and
// answered now. The server reported that it is warming up for the time warmUp from the
// response on.
func (p *Picker) RecordHealthCheck(now, checkedAt time.Time, server string, warmUp time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.states[server]; st != nil {
		st.verifiedAt, st.coldUntil = checkedAt, now.Add(warmUp)
	}
}

// Retain discards the state of servers that are not in known and run no requests of
// this host.
func (p *Picker) Retain(known map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, st := range p.states {
		if !known[id] && st.running == 0 {
			delete(p.states, id)
		}
	}
}

// String returns the result's name.
func (r Result) String() string {
	return [...]string{"answered", "answered", "shed", "misdirected", "refused", "broken", "failed", "abandoned"}[r]
}

// RecordWhole records that a response that had begun arrived whole.
func (p *Picker) RecordWhole(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.states[server]; st != nil {
		st.recordSuccess()
	}
}

// RecordUnfinished records that a response that had begun didn't end in time, and that the
// server was to blame. Unlike one that broke off it doesn't suggest a restart.
func (p *Picker) RecordUnfinished(now time.Time, server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.states[server]; st != nil {
		st.recordFailure(now)
	}
}

// RecordBroken records that a response that had begun broke off.
func (p *Picker) RecordBroken(now time.Time, server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.states[server]; st != nil {
		st.suspectRestart(now, Lost)
		st.recordFailure(now)
	}
}

// FailureRate returns the share of recent attempts on the server that failed.
func (p *Picker) FailureRate(server string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.states[server]; st != nil {
		return st.failureRate
	}
	return 0
}
