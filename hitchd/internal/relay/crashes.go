package relay

import (
	"context"
	"time"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/crash"
	"magnoliahitch/steer/member"
)

// crashesPath is the path of an exchange of crash reports alone.
const crashesPath = "/crashes"

// CrashReports is the record of requests during which servers crashed. Hosts exchange
// its changes, which its revision counts.
type CrashReports interface {
	Changes(now time.Time, since uint64) ([]crash.Report, uint64)
	Merge(now time.Time, reports []crash.Report, known uint64) uint64
	OnChange(f func())
}

// crashCursor is what this host and another have of each other's crash reports: the
// revisions up to which they were received, here and there. They hold for the other host's
// incarnation.
type crashCursor struct {
	incarnation    uint64
	received, sent uint64
}

// crashRequest sends crash reports and requests those that the sender lacks.
type crashRequest struct {
	Reports []crashReport `msgpack:"reports"`
	// Incarnation is the receiver's as the sender knows it, Received the revision of it
	// up to which the sender has the reports.
	Incarnation uint64 `msgpack:"incarnation"`
	Received    uint64 `msgpack:"received"`
	// reached is the sender's revision that Reports reach.
	reached uint64
}

// crashResponse holds the reports that the sender of the request lacks.
type crashResponse struct {
	Reports []crashReport `msgpack:"reports"`
	// Incarnation is that of the responding host, Reached its revision that Reports reach.
	Incarnation uint64 `msgpack:"incarnation"`
	Reached     uint64 `msgpack:"reached"`
}

// crashReport is a [crash.Report] in a message. There may be thousands after an outage.
type crashReport struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Fingerprint uint64
	Origin      string
	Servers     []string
	Epoch       uint32
	Probations  int
	AgeMs       int64
}

func encodeReports(in []crash.Report) []crashReport {
	out := make([]crashReport, 0, len(in))
	for _, r := range in {
		out = append(out, crashReport{
			Fingerprint: uint64(r.Fingerprint), Origin: r.Origin, Servers: r.Servers, Epoch: r.Epoch, Probations: r.Probations, AgeMs: r.Age.Milliseconds(),
		})
	}
	return out
}

func decodeReports(in []crashReport) []crash.Report {
	out := make([]crash.Report, 0, len(in))
	for _, r := range in {
		out = append(out, crash.Report{
			Fingerprint: crash.Fingerprint(r.Fingerprint), Origin: r.Origin, Servers: r.Servers, Epoch: r.Epoch, Probations: r.Probations,
			Age: time.Duration(r.AgeMs) * time.Millisecond,
		})
	}
	return out
}

// crashRequest returns the request to the named host. The lock is held.
func (r *Relay) crashRequest(now time.Time, name string) crashRequest {
	c := r.cursors[name]
	q := crashRequest{Incarnation: c.incarnation, Received: c.received}
	reports, reached := r.crashes.Changes(now, c.sent)
	q.Reports, q.reached = encodeReports(reports), reached
	return q
}

// respondCrashes merges the reports of the request and returns those that its sender
// lacks: all, if it knows another incarnation of this host.
func (r *Relay) respondCrashes(now time.Time, q crashRequest) crashResponse {
	a := crashResponse{Incarnation: r.Self().Incarnation}
	since := q.Received
	if q.Incarnation != a.Incarnation {
		since = 0
	}
	lacking, reached := r.crashes.Changes(now, since)
	a.Reports = encodeReports(lacking)
	a.Reached = r.crashes.Merge(now, decodeReports(q.Reports), reached)
	return a
}

// applyCrashes merges the response of the named host to the request.
func (r *Relay) applyCrashes(name string, q crashRequest, a crashResponse) {
	sent := r.crashes.Merge(clock.Now(), decodeReports(a.Reports), q.reached)
	r.mu.Lock()
	defer r.mu.Unlock()
	c := crashCursor{incarnation: a.Incarnation, received: a.Reached, sent: sent}
	if q.Incarnation != a.Incarnation && q.Incarnation != 0 {
		// A restarted host has lost what was sent before.
		c.sent = 0
	}
	r.cursors[name] = c
}

// exchangeCrashes exchanges crash reports with the first host of each other region that
// responds.
func (r *Relay) exchangeCrashes(ctx context.Context) {
	for _, hosts := range r.regions(clock.Now()) {
		for _, h := range hosts[:min(len(hosts), maxPollsPerRound)] {
			r.mu.Lock()
			q := r.crashRequest(clock.Now(), h.Name)
			r.mu.Unlock()
			var a crashResponse
			asked := clock.Now()
			err := call(ctx, h, crashesPath, regionTimeout, q, &a)
			if err == nil {
				r.applyCrashes(h.Name, q, a)
				break
			}
			if ctx.Err() != nil {
				return
			}
			r.backOff(clock.Now(), asked, h, err)
		}
	}
}

// regions returns the hosts of each other region in their order as sources. Hosts in
// backoff are left out.
func (r *Relay) regions(now time.Time) [][]member.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	byRegion := make(map[string][]member.Host)
	for _, x := range r.rows {
		if x.host.Region != r.self.Region && !now.Before(r.backoffs[x.host.Name].until) {
			byRegion[x.host.Region] = append(byRegion[x.host.Region], x.host)
		}
	}
	var out [][]member.Host
	for _, hosts := range byRegion {
		out = append(out, order(hosts))
	}
	return out
}
