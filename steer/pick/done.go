package pick

import "time"

// Result is what became of an attempt.
type Result uint8

// Results of attempts.
const (
	// Answered attempts got the server's answer.
	Answered Result = iota
	// Shed attempts were turned away by a server that is full.
	Shed
	// Misdirected attempts reached another server at the address.
	Misdirected
	// Refused attempts found no connection.
	Refused
	// Broken attempts lost the connection or got bytes that are no answer.
	Broken
	// Failed attempts got a failure that the server made.
	Failed
	// Abandoned attempts were given up by the caller or ran out of time.
	Abandoned
)

// Report is a server's own count of its requests.
type Report struct {
	Running, Waiting int
	// Known tells that the server reported.
	Known bool
}

// Done ends what [Picker.Choose] began. Took is the time until the answer.
func (p *Picker) Done(now time.Time, server string, result Result, took time.Duration, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.states[server]
	if st == nil {
		return
	}
	st.running--
	if r.Known {
		st.report(now, r.Running+r.Waiting, st.running)
	}
	switch result {
	case Answered:
		st.succeed()
		took = max(0, took-st.distance)
		st.measure(took, p.work)
		p.learn(took)
	case Misdirected:
		st.eject(now)
	case Refused:
		st.doubt(now)
		st.eject(now)
	case Broken:
		st.doubt(now)
		st.fail(now)
	case Failed:
		st.fail(now)
	case Shed:
		st.blame()
		st.estimate(now, max(st.others, float64(st.running)+1))
	case Abandoned:
	}
}

// Doubt records that the server closed idle connections, as one does that restarts.
func (p *Picker) Doubt(now time.Time, server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.states[server]; st != nil {
		st.doubt(now)
	}
}

// Verify records the answer of the server's health check, asked at the time:
// how long it goes on warming up.
func (p *Picker) Verify(asked time.Time, server string, cold time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.states[server]; st != nil {
		st.verified, st.coldUntil = asked, asked.Add(cold)
	}
}

// Forget drops what was observed of servers that are gone.
func (p *Picker) Forget(known map[string]bool) {
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
	return [...]string{"answered", "shed", "misdirected", "refused", "broken", "failed", "abandoned"}[r]
}
