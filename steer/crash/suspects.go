package crash

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time limits for suspects.
const (
	// originWindow is the time after a crash during which only the origin, the host
	// that saw the first crash, may run the request again.
	originWindow = 30 * time.Second
	// retention is how long a record is kept after the last crash or refused attempt.
	retention = 10 * time.Minute
	// maxProbations is the number of trials of a confirmed request that may crash a server, at
	// all hosts. maxProbationDoublings bounds the time between trials that crash none.
	maxProbations         = 2
	maxProbationDoublings = 2
	// otherHostsFactor is the factor on the time before a trial at a host that isn't the
	// origin, which may be down. maxOtherHostsWait bounds it: with the difference between hosts
	// it stays below the retention.
	otherHostsFactor  = 5
	maxOtherHostsWait = 9 * time.Minute
	// extendInterval is the time by which refused attempts extend a record before other
	// hosts learn of that.
	extendInterval = time.Minute
	// trialRetryAfter is the retry-after time of a request that is refused because
	// another attempt is on trial or because trials are reserved for the origin.
	trialRetryAfter = time.Second
)

// Limits that bound the memory of [Suspects].
const (
	maxRecords = 4096
	// maxServers is the number of crashed servers of a request that are kept.
	maxServers = 16
	// successSlots is the size of the table of recent successes.
	successSlots = 8192
)

// defaultCrashThreshold is the number of crashed servers from which a request
// is confirmed, unless [WithCrashThreshold] sets another.
const defaultCrashThreshold = 2

// Report is a message to other hosts about a suspect request. Reports of one request
// may be merged in any order and more than once.
type Report struct {
	// Fingerprint identifies the request.
	Fingerprint Fingerprint `msgpack:"print"`
	// Origin is the host that saw the first crash and may run the request again. Of
	// several such hosts it is the first one by name.
	Origin string `msgpack:"origin"`
	// Servers are the servers that crashed while they ran the request, since it was
	// last cleared.
	Servers []string `msgpack:"servers"`
	// Epoch is the number of times that a success has cleared the request. Reports of
	// earlier epochs no longer count.
	Epoch uint32 `msgpack:"epoch"`
	// Probations is the number of trials since the request was confirmed.
	Probations int `msgpack:"probations"`
	// Age is the time since the last crash or refused attempt.
	Age time.Duration `msgpack:"age"`
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
	epoch   uint32
	// probations is the number of trials since the request was confirmed. proven is when
	// this host learned of the last crash or of the last of these trials.
	probations int
	proven     time.Time
	// last is the time of the last crash or refused attempt.
	last         time.Time
	trialRunning bool
	// refusedSinceReport is set when an attempt of the confirmed request was refused, or
	// might have been by another record, since the last call of RefusedReports.
	refusedSinceReport bool
	// revision is that of the last change that other hosts must learn of, and published
	// the value of last at that change.
	revision  uint64
	published time.Time
}

// Suspects holds a host's records of suspect requests. It is not safe for
// concurrent use.
type Suspects struct {
	self    string
	records map[Fingerprint]*record
	// crashThreshold is the number of crashed servers from which a request is
	// confirmed.
	crashThreshold int
	// probation is the time before the first trial of a confirmed request, 0 for no trials.
	probation time.Duration
	// trials is set if suspects run only in trials before they are confirmed.
	trials bool
	// revision counts the changes of records that other hosts must learn of.
	revision uint64
	// succeeded is a table of fingerprints of requests that succeeded recently, indexed
	// by the fingerprint modulo successSlots. A collision replaces the older entry.
	succeeded [successSlots]Fingerprint
}

// Option configures [Suspects].
type Option func(*Suspects)

// WithCrashThreshold sets the number of crashed servers from which a request is
// confirmed and refused.
func WithCrashThreshold(n int) Option { return func(s *Suspects) { s.crashThreshold = n } }

// WithProbation lets a confirmed request run again in a trial, so that one that only ran
// beside the cause gets a chance to be cleared: first at its origin after the given time since
// its last crash or trial, then after twice and four times that time, and so on each time, until
// trials have crashed maxProbations servers.
func WithProbation(after time.Duration) Option { return func(s *Suspects) { s.probation = after } }

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

// Check is Decide, and Start if the request runs on trial.
func (s *Suspects) Check(now time.Time, p Fingerprint) (Verdict, time.Duration) {
	v, wait := s.Decide(now, p)
	if v == Trial {
		s.Start(now, p)
	}
	return v, wait
}

// Decide returns whether the request may run now and, if not, after which time the
// caller may try again. It starts no trial. It extends the retention of a confirmed request,
// also if that may run: another record may refuse it.
func (s *Suspects) Decide(now time.Time, p Fingerprint) (Verdict, time.Duration) {
	r := s.record(now, p)
	switch {
	case r == nil || len(r.servers) == 0:
		return Clean, 0
	case s.confirmed(r):
		r.refusedSinceReport = true
		s.extend(r, now)
		if wait := s.untilProbation(now, r); wait > 0 {
			return Confirmed, wait
		}
		return Trial, 0
	case !s.trials:
		return Clean, 0
	case r.trialRunning:
		return OnTrial, trialRetryAfter
	case r.origin != s.self && now.Sub(r.last) < originWindow:
		return OnTrial, trialRetryAfter
	}
	return Trial, 0
}

// Start starts a trial of the request, for which Decide has returned Trial.
func (s *Suspects) Start(now time.Time, p Fingerprint) {
	r := s.record(now, p)
	if r == nil {
		return
	}
	if s.confirmed(r) {
		s.merge(now, Report{Fingerprint: p, Origin: r.origin, Epoch: r.epoch, Probations: r.probations + 1})
	}
	r.trialRunning = true
}

// untilProbation returns the time until this host may run the confirmed request in a trial.
// It returns the retention if it may not.
func (s *Suspects) untilProbation(now time.Time, r *record) time.Duration {
	if s.probation == 0 || r.trialRunning || r.crashes(nil) >= s.crashThreshold+maxProbations {
		return retention
	}
	wait := s.probation << min(r.probations, maxProbationDoublings)
	if r.origin != s.self {
		wait = min(wait*otherHostsFactor, max(s.probation*otherHostsFactor, maxOtherHostsWait))
		// The hosts differ, so that one learns of the trial of another.
		wait += time.Duration(xxhash.Sum64String(s.self) % uint64(s.probation))
	}
	return wait - now.Sub(r.proven)
}

// Confirmed reports whether the request is confirmed as crashing servers. It changes nothing.
func (s *Suspects) Confirmed(now time.Time, p Fingerprint) bool {
	r := s.record(now, p)
	return r != nil && s.confirmed(r)
}

// Known reports whether there is a record of the request, also of one that was cleared.
func (s *Suspects) Known(now time.Time, p Fingerprint) bool { return s.record(now, p) != nil }

// Crashes returns the number of servers that have crashed while they ran the request, since it
// was last cleared.
func (s *Suspects) Crashes(now time.Time, p Fingerprint) int {
	r := s.record(now, p)
	if r == nil {
		return 0
	}
	return r.crashes(nil)
}

// confirmed reports whether the request crashed as many servers as the threshold, unless
// another one explains that.
func (s *Suspects) confirmed(r *record) bool {
	return r.crashes(nil) >= s.crashThreshold && !s.explained(r) && r.crashes(s.ofCulprit) >= s.crashThreshold
}

// explained reports whether another request explains the crashes of this one: it crashed the same
// servers and more, so that this one only ran beside it.
func (s *Suspects) explained(r *record) bool {
	for _, x := range s.records {
		if len(x.servers) > len(r.servers) && !slices.ContainsFunc(r.servers, func(n string) bool { return !slices.Contains(x.servers, n) }) {
			return true
		}
	}
	return false
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
	crashed := Report{Fingerprint: p, Origin: s.self, Servers: []string{server}}
	if r := s.record(now, p); r != nil {
		crashed.Epoch = r.epoch
	}
	s.merge(now, crashed)
	return s.records[p].report(now, p), true
}

// RecordSuccess records a complete response. If the request was suspect, it is cleared of
// the crashes so far, and RecordSuccess returns the report that clears it at the other hosts.
func (s *Suspects) RecordSuccess(now time.Time, p Fingerprint) (Report, bool) {
	*s.successSlot(p) = p
	r := s.record(now, p)
	if r == nil || len(r.servers) == 0 {
		return Report{}, false
	}
	s.merge(now, Report{Fingerprint: p, Epoch: r.epoch + 1})
	return r.report(now, p), true
}

// Merge merges the report of another host. Suspicion discards a recent success of the
// request. A report as old as the retention is ignored.
func (s *Suspects) Merge(now time.Time, r Report) {
	if r.Age >= retention {
		return
	}
	s.merge(now, r)
	if k := s.records[r.Fingerprint]; len(k.servers) > 0 {
		*s.successSlot(r.Fingerprint) = 0
	}
}

// RefusedReports returns reports of the confirmed requests that were refused since the last
// call. They extend the retention at hosts that receive no such attempts.
func (s *Suspects) RefusedReports(now time.Time) []Report {
	var out []Report
	for p, r := range s.records {
		if r.refusedSinceReport {
			r.refusedSinceReport = false
			out = append(out, r.report(now, p))
		}
	}
	return out
}

// Reports returns reports of all records, for a host that takes over.
func (s *Suspects) Reports(now time.Time) []Report {
	var out []Report
	for p := range s.records {
		if r := s.record(now, p); r != nil {
			out = append(out, r.report(now, p))
		}
	}
	return out
}

// Revision returns the number of changes that other hosts must learn of.
func (s *Suspects) Revision() uint64 { return s.revision }

// Changes returns the reports on the records that changed after the revision since, oldest
// changes first and at most limit of them, and the revision that they reach.
func (s *Suspects) Changes(now time.Time, since uint64, limit int) ([]Report, uint64) {
	if since >= s.revision {
		return nil, s.revision
	}
	var changed []Fingerprint
	for p := range s.records {
		if r := s.record(now, p); r != nil && r.revision > since {
			changed = append(changed, p)
		}
	}
	slices.SortFunc(changed, func(a, b Fingerprint) int { return cmp.Compare(s.records[a].revision, s.records[b].revision) })
	reached := s.revision
	if len(changed) > limit {
		changed = changed[:limit]
		reached = s.records[changed[limit-1]].revision
	}
	out := make([]Report, 0, len(changed))
	for _, p := range changed {
		out = append(out, s.records[p].report(now, p))
	}
	return out, reached
}

// Len returns the number of suspect requests.
func (s *Suspects) Len() int {
	n := 0
	for _, r := range s.records {
		if len(r.servers) > 0 {
			n++
		}
	}
	return n
}

// report returns the report on the record of the request.
func (r *record) report(now time.Time, p Fingerprint) Report {
	return Report{Fingerprint: p, Origin: r.origin, Servers: slices.Clone(r.servers), Epoch: r.epoch, Probations: r.probations, Age: now.Sub(r.last)}
}

// merge unites the report with the record of the request, or replaces it by a report of a
// later epoch, and extends the retention. It creates the record if there is none.
func (s *Suspects) merge(now time.Time, r Report) {
	k := s.record(now, r.Fingerprint)
	changed := k == nil
	if changed {
		s.evict()
		k = &record{origin: r.Origin, epoch: r.Epoch}
		s.records[r.Fingerprint] = k
	}
	if r.Epoch < k.epoch {
		return
	}
	if r.Epoch > k.epoch {
		k.origin, k.epoch, k.servers, k.probations, changed = r.Origin, r.Epoch, nil, 0, true
	}
	if k.origin == "" || r.Origin != "" && r.Origin < k.origin {
		changed = changed || k.origin != r.Origin
		k.origin = r.Origin
	}
	for _, n := range r.Servers {
		if !slices.Contains(k.servers, n) && len(k.servers) < maxServers {
			k.servers = append(k.servers, n)
			k.proven, changed = now, true
		}
	}
	if r.Probations > k.probations {
		k.probations, k.proven, changed = r.Probations, now, true
	}
	if at := now.Add(-r.Age); at.After(k.last) {
		s.extend(k, at)
	}
	if changed {
		s.touch(k)
	}
}

// extend sets the time of the last crash or refused attempt.
func (s *Suspects) extend(r *record, at time.Time) {
	r.last = at
	if r.last.Sub(r.published) >= extendInterval {
		s.touch(r)
	}
}

// touch marks a change of the record that other hosts must learn of.
func (s *Suspects) touch(r *record) {
	s.revision++
	r.revision, r.published = s.revision, r.last
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

// evict removes the record with the fewest crashed servers, and the oldest of these, when
// there are maxRecords: requests that only ran beside others have few.
func (s *Suspects) evict() {
	if len(s.records) < maxRecords {
		return
	}
	var least Fingerprint
	var x *record
	for p, r := range s.records {
		if x == nil || cmp.Or(cmp.Compare(len(r.servers), len(x.servers)), r.last.Compare(x.last)) < 0 {
			least, x = p, r
		}
	}
	delete(s.records, least)
}

// successSlot returns the entry of the table of recent successes for the fingerprint.
func (s *Suspects) successSlot(p Fingerprint) *Fingerprint {
	return &s.succeeded[uint64(p)%successSlots]
}
