package crash

import (
	"slices"
	"time"
)

// Time limits for suspects.
const (
	// originWindow is the time after a crash during which only the origin, the host
	// that saw the first crash, may run the request again.
	originWindow = 30 * time.Second
	// retention is how long a record is kept after the last crash or refused attempt.
	retention = 10 * time.Minute
	// trialRetryAfter is the retry-after time of a request that is refused because
	// another attempt is on trial or because trials are reserved for the origin.
	trialRetryAfter = time.Second
)

// Limits that bound the memory of [Suspects].
const (
	maxRecords = 4096
	// successSlots is the size of the table of recent successes.
	successSlots = 8192
)

// defaultCrashThreshold is the number of crashed servers from which a request
// is confirmed, unless [WithCrashThreshold] sets another.
const defaultCrashThreshold = 2

// Report is a message to other hosts about a suspect request.
type Report struct {
	// Fingerprint identifies the request.
	Fingerprint Fingerprint `msgpack:"print"`
	// Origin is the host that saw the first crash and may run the request again.
	Origin string `msgpack:"origin"`
	// Servers are the servers that crashed while they ran the request.
	Servers []string `msgpack:"servers"`
	// Cleared is set when the request succeeded and is no longer suspect.
	Cleared bool `msgpack:"cleared"`
}

// Verdict is the decision whether a request may run.
type Verdict uint8

// Verdicts.
const (
	// Clean requests run as usual.
	Clean Verdict = iota
	// Trial requests run on a server without another suspect. The caller must call
	// [Suspects.EndTrial] afterwards.
	Trial
	// OnTrial requests are refused because another attempt is on trial or because
	// trials are reserved for the origin.
	OnTrial
	// Confirmed requests are confirmed as crashing servers and refused.
	Confirmed
)

// String returns the name of the verdict as in logs.
func (v Verdict) String() string {
	return [...]string{"clean", "trial", "onTrial", "convicted"}[v]
}

// record is the state of a suspect request.
type record struct {
	origin  string
	servers []string
	// last is the time of the last crash or refused attempt.
	last         time.Time
	trialRunning bool
	// refusedSinceReport is set when an attempt was refused as confirmed since the last
	// call of RefusedReports.
	refusedSinceReport bool
}

// Suspects holds a host's records of suspect requests. It is not safe for
// concurrent use.
type Suspects struct {
	self    string
	records map[Fingerprint]*record
	// crashThreshold is the number of crashed servers from which a request is
	// confirmed.
	crashThreshold int
	// trials is set if suspects run only in trials before they are confirmed.
	trials bool
	// succeeded is a table of fingerprints of requests that succeeded recently, indexed
	// by the fingerprint modulo successSlots. A collision replaces the older entry.
	succeeded [successSlots]Fingerprint
}

// Option configures [Suspects].
type Option func(*Suspects)

// WithCrashThreshold sets the number of crashed servers from which a request is
// confirmed and refused.
func WithCrashThreshold(n int) Option { return func(s *Suspects) { s.crashThreshold = n } }

// WithoutTrials lets suspects run like other requests until they are confirmed.
func WithoutTrials() Option { return func(s *Suspects) { s.trials = false } }

// New returns the Suspects of the named host, without records.
func New(self string, options ...Option) *Suspects {
	s := &Suspects{self: self, records: make(map[Fingerprint]*record), crashThreshold: defaultCrashThreshold, trials: true}
	for _, o := range options {
		o(s)
	}
	return s
}

// Check returns whether the request may run now and, if not, after which time the
// caller may try again. It starts a trial when it returns Trial, and extends the
// retention of a confirmed request.
func (s *Suspects) Check(now time.Time, p Fingerprint) (Verdict, time.Duration) {
	r := s.record(now, p)
	switch {
	case r == nil:
		return Clean, 0
	case len(r.servers) >= s.crashThreshold:
		r.last, r.refusedSinceReport = now, true
		return Confirmed, retention
	case !s.trials:
		return Clean, 0
	case r.trialRunning:
		return OnTrial, trialRetryAfter
	case r.origin != s.self && now.Sub(r.last) < originWindow:
		return OnTrial, trialRetryAfter
	}
	r.trialRunning = true
	return Trial, 0
}

// EndTrial ends a trial, whatever its outcome.
func (s *Suspects) EndTrial(p Fingerprint) {
	if r := s.records[p]; r != nil {
		r.trialRunning = false
	}
}

// RecordCrash records that the server crashed while it ran the request. It returns the
// report to send to the other hosts before the next attempt. It reports false if the
// request succeeded recently: this crash isn't recorded then, but the next one is.
func (s *Suspects) RecordCrash(now time.Time, p Fingerprint, server string) (Report, bool) {
	if *s.successSlot(p) == p {
		*s.successSlot(p) = 0
		return Report{}, false
	}
	s.merge(now, Report{Fingerprint: p, Origin: s.self, Servers: []string{server}})
	r := s.records[p]
	return Report{Fingerprint: p, Origin: r.origin, Servers: slices.Clone(r.servers)}, true
}

// RecordSuccess records a complete response. If the request was suspect, it removes the
// record and returns the report that clears the request at the other hosts.
func (s *Suspects) RecordSuccess(p Fingerprint) (Report, bool) {
	*s.successSlot(p) = p
	if s.records[p] == nil {
		return Report{}, false
	}
	delete(s.records, p)
	return Report{Fingerprint: p, Cleared: true}, true
}

// Merge merges the report of another host. A report that clears the request deletes
// its record. Any other report also discards a recent success of the request.
func (s *Suspects) Merge(now time.Time, r Report) {
	if r.Cleared {
		delete(s.records, r.Fingerprint)
		return
	}
	*s.successSlot(r.Fingerprint) = 0
	s.merge(now, r)
}

// RefusedReports returns reports of the confirmed requests that were refused since the last
// call. They extend the retention at hosts that receive no such attempts.
func (s *Suspects) RefusedReports() []Report {
	var out []Report
	for p, r := range s.records {
		if r.refusedSinceReport {
			r.refusedSinceReport = false
			out = append(out, Report{Fingerprint: p, Origin: r.origin, Servers: slices.Clone(r.servers)})
		}
	}
	return out
}

// Reports returns reports of all records, for a host that takes over.
func (s *Suspects) Reports(now time.Time) []Report {
	var out []Report
	for p := range s.records {
		if r := s.record(now, p); r != nil {
			out = append(out, Report{Fingerprint: p, Origin: r.origin, Servers: slices.Clone(r.servers)})
		}
	}
	return out
}

// Len returns the number of records.
func (s *Suspects) Len() int { return len(s.records) }

// merge adds the servers of the report to the record of the request and restarts the
// retention. It creates the record if there is none.
func (s *Suspects) merge(now time.Time, r Report) {
	k := s.record(now, r.Fingerprint)
	if k == nil {
		s.evictOldest()
		k = &record{origin: r.Origin}
		s.records[r.Fingerprint] = k
	}
	k.last = now
	for _, n := range r.Servers {
		if len(k.servers) < s.crashThreshold && !slices.Contains(k.servers, n) {
			k.servers = append(k.servers, n)
		}
	}
}

// record returns the record of the fingerprint, or nil. It deletes one whose
// retention has ended.
func (s *Suspects) record(now time.Time, p Fingerprint) *record {
	r := s.records[p]
	if r == nil || now.Sub(r.last) < retention {
		return r
	}
	delete(s.records, p)
	return nil
}

// evictOldest removes the record with the oldest crash or refused attempt when there
// are maxRecords.
func (s *Suspects) evictOldest() {
	if len(s.records) < maxRecords {
		return
	}
	var oldest Fingerprint
	var last time.Time
	for p, r := range s.records {
		if last.IsZero() || r.last.Before(last) {
			oldest, last = p, r.last
		}
	}
	delete(s.records, oldest)
}

// successSlot returns the entry of the table of recent successes for the fingerprint.
func (s *Suspects) successSlot(p Fingerprint) *Fingerprint {
	return &s.succeeded[uint64(p)%successSlots]
}
