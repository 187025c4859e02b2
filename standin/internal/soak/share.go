package soak

import (
	"slices"
	"time"
)

// split is a route with several services in one configuration.
type split struct {
	version int
	route   string
}

// checkShares checks the shares of services in all windows of bounds.ShareWindow requests. Requests
// count that were sent while the configuration had to be in force and no newer one was sent,
// to hosts in touch. All hosts count together.
func (l *Ledger) checkShares(now time.Time) {
	sent := make(map[split][]*record)
	for _, r := range l.attempts {
		if c, ok := l.inForce(r.Sent); ok && len(c.routes[r.Route]) > 1 && !r.ended.IsZero() && l.inTouch(r.Sent, r.ended, r) {
			k := split{c.version, r.Route}
			sent[k] = append(sent[k], r)
		}
	}
	for _, c := range l.configs {
		for route, s := range c.routes {
			l.checkSplit(now, s, sent[split{c.version, route}])
		}
	}
}

// inForce returns the configuration that alone may be in force for a request sent at the time.
func (l *Ledger) inForce(sent time.Time) (config, bool) {
	for i, c := range l.configs {
		if i+1 < len(l.configs) && !sent.Before(l.configs[i+1].sent) {
			continue
		}
		return c, !c.acked.IsZero() && sent.Sub(c.acked) > l.bounds.Apply
	}
	return config{}, false
}

// checkSplit checks the shares in all windows of the requests. One that ran nowhere may have been
// any service's.
func (l *Ledger) checkSplit(now time.Time, s shares, list []*record) {
	slices.SortFunc(list, func(a, b *record) int { return a.Sent.Compare(b.Sent) })
	window := l.bounds.ShareWindow
	ran := make(map[string]int)
	for i, r := range list {
		ran[l.serviceThatRan(r)]++
		if i >= window {
			ran[l.serviceThatRan(list[i-window])]--
		}
		if i < window-1 {
			continue
		}
		l.windows++
		for service, share := range s {
			least, most := float64(ran[service])/float64(window), float64(ran[service]+ran[""])/float64(window)
			if least > share+l.bounds.ShareSlack || most < share-l.bounds.ShareSlack {
				l.addViolation(now, SharesKept, r, "service %s ran %d of %d requests on route %s, its share is %.2f, and %d ran nowhere", service, ran[service], window, r.Route, share, ran[""])
				return
			}
		}
	}
}

// serviceThatRan returns the service of the first server that ran the request, "" without one.
func (l *Ledger) serviceThatRan(r *record) string {
	if len(r.runs) == 0 {
		return ""
	}
	return l.upstreams[r.runs[0]].Service
}
