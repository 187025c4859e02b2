package crash

import (
	"slices"
	"time"
)

// Times of suspicion.
const (
	// trialTime is how long only the host that saw the first death runs the
	// request again.
	trialTime = 30 * time.Second
	// memory is how long a death is remembered after the last try.
	memory = 10 * time.Minute
	// retryTrial is when to come back to a request that is on trial.
	retryTrial = time.Second
)

// Bounds of the memory used.
const (
	maxRecords = 4096
	goodSlots  = 8192
)

// defaultConviction is the number of dead servers that convicts a request
// unless [WithConviction] says otherwise.
const defaultConviction = 2

// Report tells another host about a request.
type Report struct {
	Print Print `msgpack:"print"`
	// Origin is the host that may try the request again.
	Origin string `msgpack:"origin"`
	// Servers are the servers that died with it.
	Servers []string `msgpack:"servers"`
	// Cleared tells that it succeeded.
	Cleared bool `msgpack:"cleared"`
}

// Verdict says whether a request may run.
type Verdict uint8

// Verdicts.
const (
	// Clean requests run as usual.
	Clean Verdict = iota
	// Trial requests run on a server without another suspect. End must be called.
	Trial
	// OnTrial requests are refused for a short time.
	OnTrial
	// Convicted requests are refused.
	Convicted
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"clean", "trial", "onTrial", "convicted"}[v]
}

type record struct {
	origin  string
	servers []string
	// last is the time of the last death or try.
	last   time.Time
	trying bool
	// tried tells that it was tried since the other hosts were told.
	tried bool
}

// Suspects is what a host knows of suspect requests. It is not safe for
// concurrent use.
type Suspects struct {
	self    string
	records map[Print]*record
	// conviction is the number of dead servers that convicts a request.
	conviction int
	// trials tells that a suspect runs alone before it is convicted.
	trials bool
	// good holds prints that succeeded lately, each at its own place.
	good [goodSlots]Print
}

// Option changes how suspects are treated.
type Option func(*Suspects)

// WithConviction sets the number of dead servers that convicts a request.
func WithConviction(n int) Option { return func(s *Suspects) { s.conviction = n } }

// WithoutTrials lets suspects run like other requests until they are convicted.
func WithoutTrials() Option { return func(s *Suspects) { s.trials = false } }

// New returns the empty knowledge of the named host.
func New(self string, options ...Option) *Suspects {
	s := &Suspects{self: self, records: make(map[Print]*record), conviction: defaultConviction, trials: true}
	for _, o := range options {
		o(s)
	}
	return s
}

// Begin says whether the request may run now, and when to come back if not.
func (s *Suspects) Begin(now time.Time, p Print) (Verdict, time.Duration) {
	r := s.record(now, p)
	switch {
	case r == nil:
		return Clean, 0
	case len(r.servers) >= s.conviction:
		r.last, r.tried = now, true
		return Convicted, memory
	case !s.trials:
		return Clean, 0
	case r.trying:
		return OnTrial, retryTrial
	case r.origin != s.self && now.Sub(r.last) < trialTime:
		return OnTrial, retryTrial
	}
	r.trying = true
	return Trial, 0
}

// End ends a trial whatever became of it.
func (s *Suspects) End(p Print) {
	if r := s.records[p]; r != nil {
		r.trying = false
	}
}

// Died records that the server died while it ran the request. It returns what
// to tell the other hosts before the request is tried again.
func (s *Suspects) Died(now time.Time, p Print, server string) (Report, bool) {
	if *s.mark(p) == p {
		*s.mark(p) = 0
		return Report{}, false
	}
	s.merge(now, Report{Print: p, Origin: s.self, Servers: []string{server}})
	r := s.records[p]
	return Report{Print: p, Origin: r.origin, Servers: slices.Clone(r.servers)}, true
}

// Succeeded records a whole answer. It returns what to tell the other hosts
// when the request was suspect.
func (s *Suspects) Succeeded(p Print) (Report, bool) {
	*s.mark(p) = p
	if s.records[p] == nil {
		return Report{}, false
	}
	delete(s.records, p)
	return Report{Print: p, Cleared: true}, true
}

// Told takes another host's report.
func (s *Suspects) Told(now time.Time, r Report) {
	if r.Cleared {
		delete(s.records, r.Print)
		return
	}
	*s.mark(r.Print) = 0
	s.merge(now, r)
}

// Tried returns the convicted requests that were tried since the last call. It
// keeps them from being forgotten by the hosts that don't see the tries.
func (s *Suspects) Tried() []Report {
	var out []Report
	for p, r := range s.records {
		if r.tried {
			r.tried = false
			out = append(out, Report{Print: p, Origin: r.origin, Servers: slices.Clone(r.servers)})
		}
	}
	return out
}

// Reports returns everything known, for a host that takes over.
func (s *Suspects) Reports(now time.Time) []Report {
	var out []Report
	for p := range s.records {
		if r := s.record(now, p); r != nil {
			out = append(out, Report{Print: p, Origin: r.origin, Servers: slices.Clone(r.servers)})
		}
	}
	return out
}

// Len returns the number of suspects.
func (s *Suspects) Len() int { return len(s.records) }

func (s *Suspects) merge(now time.Time, r Report) {
	k := s.record(now, r.Print)
	if k == nil {
		s.makeRoom()
		k = &record{origin: r.Origin}
		s.records[r.Print] = k
	}
	k.last = now
	for _, n := range r.Servers {
		if len(k.servers) < s.conviction && !slices.Contains(k.servers, n) {
			k.servers = append(k.servers, n)
		}
	}
}

// record returns the record of the print unless it is forgotten by now.
func (s *Suspects) record(now time.Time, p Print) *record {
	r := s.records[p]
	if r == nil || now.Sub(r.last) < memory {
		return r
	}
	delete(s.records, p)
	return nil
}

// makeRoom drops the oldest record when there are too many.
func (s *Suspects) makeRoom() {
	if len(s.records) < maxRecords {
		return
	}
	var oldest Print
	var last time.Time
	for p, r := range s.records {
		if last.IsZero() || r.last.Before(last) {
			oldest, last = p, r.last
		}
	}
	delete(s.records, oldest)
}

func (s *Suspects) mark(p Print) *Print { return &s.good[uint64(p)%goodSlots] }
