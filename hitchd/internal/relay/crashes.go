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
	Merge(now time.Time, reports []crash.Report)
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
	Reports []crash.Report `msgpack:"reports"`
	// Incarnation is the receiver's as the sender knows it, Received the revision of it
	// up to which the sender has the reports.
	Incarnation uint64 `msgpack:"incarnation"`
	Received    uint64 `msgpack:"received"`
	// reached is the sender's revision that Reports reach.
	reached uint64
}

// crashResponse holds the reports that the sender of the request lacks.
type crashResponse struct {
	Reports []crash.Report `msgpack:"reports"`
	// Incarnation is that of the responding host, Reached its revision that Reports reach.
	Incarnation uint64 `msgpack:"incarnation"`
	Reached     uint64 `msgpack:"reached"`
}

// crashRequest returns the request to the named host. The lock is held.
func (r *Relay) crashRequest(now time.Time, name string) crashRequest {
	c := r.cursors[name]
	q := crashRequest{Incarnation: c.incarnation, Received: c.received}
	q.Reports, q.reached = r.crashes.Changes(now, c.sent)
	return q
}

// respondCrashes merges the reports of the request and returns those that its sender
// lacks: all, if it knows another incarnation of this host.
func (r *Relay) respondCrashes(now time.Time, q crashRequest) crashResponse {
	r.crashes.Merge(now, q.Reports)
	a := crashResponse{Incarnation: r.Self().Incarnation}
	since := q.Received
	if q.Incarnation != a.Incarnation {
		since = 0
	}
	a.Reports, a.Reached = r.crashes.Changes(now, since)
	return a
}

// applyCrashes merges the response of the named host to the request.
func (r *Relay) applyCrashes(name string, q crashRequest, a crashResponse) {
	r.crashes.Merge(clock.Now(), a.Reports)
	r.mu.Lock()
	defer r.mu.Unlock()
	c := crashCursor{incarnation: a.Incarnation, received: a.Reached, sent: q.reached}
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
			err := call(ctx, h, crashesPath, regionTimeout, q, &a)
			if err == nil {
				r.applyCrashes(h.Name, q, a)
				break
			}
			if ctx.Err() != nil {
				return
			}
			r.backOff(clock.Now(), h, err)
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
