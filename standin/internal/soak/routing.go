package soak

import (
	"fmt"
	"net/http"
	"time"
)

// maxAttempts is the number of servers that the routes allow for one request.
const maxAttempts = 2

// config is a configuration that the operator wrote.
type config struct {
	version int
	// routes maps each route's path prefix to its services.
	routes      map[string]shares
	sent, acked time.Time
}

// shares are the shares of a route's services, which sum up to 1.
type shares map[string]float64

// only returns the shares of a route with one service.
func only(service string) shares { return shares{service: 1} }

// effect is the newest configuration that a host was observed to apply.
type effect struct {
	version int
	at      time.Time
}

// Configure records that the operator starts to write a configuration.
func (l *Ledger) Configure(now time.Time, version int, routes map[string]shares) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configs = append(l.configs, config{version: version, routes: routes, sent: now})
}

// Configured records that the store acknowledged the newest configuration.
func (l *Ledger) Configured(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configs[len(l.configs)-1].acked = now
}

// sharesOf returns the shares of the route's services in the newest configuration, nil for none.
func (l *Ledger) sharesOf(route string) shares {
	if len(l.configs) == 0 {
		return nil
	}
	return l.configs[len(l.configs)-1].routes[route]
}

// superseded returns when the next acknowledged configuration after the i-th was
// acknowledged, and whether there is one.
func (l *Ledger) superseded(i int) (time.Time, bool) {
	for _, c := range l.configs[i+1:] {
		if !c.acked.IsZero() {
			return c.acked, true
		}
	}
	return time.Time{}, false
}

// checkRoute checks that a configuration that may be in force routes the
// request to the service.
func (l *Ledger) checkRoute(now time.Time, r *record, service string) {
	oldest, newest := 0, 0
	timely := false
	var late time.Time
	for i, c := range l.configs {
		if c.routes[r.Route][service] == 0 {
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
	key := startKey(r)
	seen := l.seen[key]
	switch {
	case newest == 0:
		l.addViolation(now, RightService, r, "service %s ran a request on route %s", service, r.Route)
	case newest < seen.version && r.Sent.Sub(seen.at) > l.revertBound(r, seen.at, now):
		l.addViolation(now, ConfigNeverReverts, r, "version %d was applied %s after version %d", newest, r.Sent.Sub(seen.at), seen.version)
	case !timely && l.mustApply(late, now, r):
		l.addViolation(now, ConfigInForce, r, "sent %s after version %d was superseded, but routed by it", r.Sent.Sub(late), newest)
	}
	if oldest > seen.version {
		l.seen[key] = effect{oldest, now}
	}
}

// mustApply reports whether the host of the request must apply a configuration that was
// acknowledged at the time: it was sent later than bounds.Apply after that, and nothing
// was disturbed since shortly before the acknowledgement, or shortly before the request.
func (l *Ledger) mustApply(acked, now time.Time, r *record) bool {
	return r.Sent.Sub(acked) > l.bounds.Apply && (l.inTouch(acked, now, r) || l.inTouch(r.Sent, now, r))
}

// disturbedFactor is the factor by which Bounds.Revert is longer for a disturbed host.
const disturbedFactor = 8

func (l *Ledger) revertBound(r *record, from, to time.Time) time.Duration {
	if l.disturbances.Undisturbed(from.Add(-l.bounds.QuietPeriod), to, partHost(r.Host), partSlow(r.Host), partMachine) {
		return l.bounds.Revert
	}
	return disturbedFactor * l.bounds.Revert
}

// startKey identifies one start of a host.
func startKey(r *record) string { return fmt.Sprintf("%s#%d", r.Host, r.Incarnation) }

// checkHostError checks a 4xx that the host itself sent, refusals aside. It is a
// violation if every configuration has the route, or as a 404 if the newest
// one has it and must be in force.
func (l *Ledger) checkHostError(now time.Time, r *record, status int) {
	allowed := 0
	var last config
	for _, c := range l.configs {
		if c.routes[r.Route] != nil {
			allowed++
			last = c
		}
	}
	newest := len(l.configs) > 0 && l.configs[len(l.configs)-1].version == last.version
	seen := l.seen[startKey(r)]
	switch {
	case allowed == len(l.configs):
		l.addViolation(now, NoFalseError, r, "got status %d on route %s, which every configuration has", status, r.Route)
	case status != http.StatusNotFound || !newest || last.acked.IsZero():
	case seen.version >= last.version && r.Sent.Sub(seen.at) > l.revertBound(r, seen.at, now):
		l.addViolation(now, ConfigNeverReverts, r, "route %s of version %d is missing %s after it was applied", r.Route, last.version, r.Sent.Sub(seen.at))
	case l.mustApply(last.acked, now, r):
		l.addViolation(now, ConfigInForce, r, "route %s of version %d is missing %s after its acknowledgement", r.Route, last.version, r.Sent.Sub(last.acked))
	}
}

// traffic records the times of a service's requests and of their retries.
type traffic struct{ requests, repeats []time.Time }

func (l *Ledger) traffic(service string) *traffic {
	t := l.services[service]
	if t == nil {
		t = &traffic{}
		l.services[service] = t
	}
	return t
}

func (t *traffic) addRequest(now time.Time) { t.requests = append(t.requests, now) }

// addRepeat records an arrival after a request's first one, and reports whether
// the retries exceed the budget. Their share is of the largest number of requests in
// a window that ends now, half a window ago or one window ago.
func (t *traffic) addRepeat(now time.Time, b Bounds) bool {
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
