package soak

import (
	"fmt"
	"net/http"
	"time"
)

// maxAttempts is the number of servers that the routes allow for one request.
const maxAttempts = 2

// config is a configuration that the operator sent.
type config struct {
	version int
	// services maps each route's prefix to its service.
	services    map[string]string
	sent, acked time.Time
}

// effect is the newest configuration whose effect was seen at a host.
type effect struct {
	version int
	at      time.Time
}

// Configure records that the operator sends a configuration.
func (l *Ledger) Configure(now time.Time, version int, services map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configs = append(l.configs, config{version: version, services: services, sent: now})
}

// Configured records that the store acknowledged the newest configuration.
func (l *Ledger) Configured(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configs[len(l.configs)-1].acked = now
}

// serviceOf returns the service of the route in the newest configuration.
func (l *Ledger) serviceOf(route string) string {
	if len(l.configs) == 0 {
		return ""
	}
	return l.configs[len(l.configs)-1].services[route]
}

// superseded returns when a configuration newer than the i-th was
// acknowledged, and whether one was.
func (l *Ledger) superseded(i int) (time.Time, bool) {
	for _, c := range l.configs[i+1:] {
		if !c.acked.IsZero() {
			return c.acked, true
		}
	}
	return time.Time{}, false
}

// checkRoute checks that the service may run the request by the
// configurations that may be in force.
func (l *Ledger) checkRoute(now time.Time, r *record, service string) {
	oldest, newest := 0, 0
	timely := false
	var late time.Time
	for i, c := range l.configs {
		if c.services[r.Route] != service {
			continue
		}
		if oldest == 0 {
			oldest = c.version
		}
		newest = c.version
		t, over := l.superseded(i)
		timely = timely || !over || r.Sent.Sub(t) <= l.bounds.Apply
		late = t
	}
	key := lifeOf(r)
	seen := l.seen[key]
	switch {
	case newest == 0:
		l.broken(now, RightService, r, "service %s ran a request on route %s", service, r.Route)
	case newest < seen.version && r.Sent.Sub(seen.at) > l.revert(r, seen.at, now):
		l.broken(now, ConfigNeverReverts, r, "version %d was acted on %s after version %d", newest, r.Sent.Sub(seen.at), seen.version)
	case !timely && l.inTouch(late, now, r):
		l.broken(now, ConfigInForce, r, "sent %s after version %d was superseded, and acted on by it", r.Sent.Sub(late), newest)
	}
	if oldest > seen.version {
		l.seen[key] = effect{oldest, now}
	}
}

// slowed is how much longer the bound of a disturbed host is.
const slowed = 8

func (l *Ledger) revert(r *record, from, to time.Time) time.Duration {
	if l.calm.Calm(from.Add(-l.bounds.Contact), to, partHost(r.Host), partMachine) {
		return l.bounds.Revert
	}
	return slowed * l.bounds.Revert
}

// lifeOf names one start of a host.
func lifeOf(r *record) string { return fmt.Sprintf("%s#%d", r.Host, r.Life) }

// checkDenied judges an error of the host's own.
func (l *Ledger) checkDenied(now time.Time, r *record, status int) {
	allowed := 0
	var last config
	for _, c := range l.configs {
		if c.services[r.Route] != "" {
			allowed++
			last = c
		}
	}
	newest := len(l.configs) > 0 && l.configs[len(l.configs)-1].version == last.version
	seen := l.seen[lifeOf(r)]
	switch {
	case allowed == len(l.configs):
		l.broken(now, NoFalseError, r, "got status %d on route %s, which every configuration has", status, r.Route)
	case status != http.StatusNotFound || !newest || last.acked.IsZero():
	case seen.version >= last.version && r.Sent.Sub(seen.at) > l.revert(r, seen.at, now):
		l.broken(now, ConfigNeverReverts, r, "route %s of version %d is gone %s after it was seen", r.Route, last.version, r.Sent.Sub(seen.at))
	case r.Sent.Sub(last.acked) > l.bounds.Apply && l.inTouch(last.acked, now, r):
		l.broken(now, ConfigInForce, r, "route %s of version %d is not there %s after its acknowledgement", r.Route, last.version, r.Sent.Sub(last.acked))
	}
}

// traffic counts the requests for a service and what was sent again.
type traffic struct{ requests, repeats []time.Time }

func (l *Ledger) traffic(service string) *traffic {
	t := l.services[service]
	if t == nil {
		t = &traffic{}
		l.services[service] = t
	}
	return t
}

func (t *traffic) request(now time.Time) { t.requests = append(t.requests, now) }

// again counts an arrival beyond a request's first one, and reports whether
// there are too many.
func (t *traffic) again(now time.Time, b Bounds) bool {
	t.repeats = append(t.repeats, now)
	for now.Sub(t.repeats[0]) > b.RetryWindow {
		t.repeats = t.repeats[1:]
	}
	most := 0
	for _, back := range []time.Duration{0, b.RetryWindow / 2, b.RetryWindow} {
		n, to := 0, now.Add(-back)
		for _, at := range t.requests {
			if !at.After(to) && to.Sub(at) <= b.RetryWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return float64(len(t.repeats)) > b.RetryShare*float64(most)+b.RetrySlack
}
