package relay

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/steer/delay"
	"magnoliahitch/steer/member"
)

// minBackoff and maxBackoff bound the backoff during which a host that didn't
// respond is not polled. It doubles with each consecutive failure.
const (
	minBackoff = time.Second
	maxBackoff = 15 * time.Second
)

// backoff is the state of a host that didn't respond: it is not polled until the
// time until.
type backoff struct {
	until time.Time
	delay time.Duration
}

// sources returns the hosts of the domain to poll, in order: those before this
// host in its own domain, or all of another domain. Hosts in backoff are left out.
func (r *Relay) sources(now time.Time, domain string) []member.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []member.Host{}
	for _, x := range r.rows {
		if x.host.Domain == domain && x.host.Name != r.self.Name {
			list = append(list, x.host)
		}
	}
	if domain == r.self.Domain {
		list = append(list, r.self)
	}
	var out []member.Host
	for _, h := range order(list) {
		if h.Name == r.self.Name {
			break
		}
		if now.Before(r.backoffs[h.Name].until) {
			continue
		}
		out = append(out, h)
	}
	return out
}

// RunSeeds polls the seeds for their replicas until this host has the hosts'
// table, and returns when the context ends. While the store is reachable, the
// table normally arrives before the first poll.
func (r *Relay) RunSeeds(ctx context.Context) error {
	r.awaitRows(ctx)
	t := time.NewTicker(seedInterval)
	defer t.Stop()
	for !r.hasRows() && ctx.Err() == nil {
		for _, addr := range r.seeds {
			if err := r.poll(ctx, member.Host{Name: addr, PeerAddr: addr}); err != nil {
				r.log.Info("seed doesn't answer", "address", addr, "error", err)
				continue
			}
			if r.hasRows() {
				r.log.Info("hosts learned from a seed", "address", addr)
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
	<-ctx.Done()
	return nil
}

// domains returns the other failure domains of the region.
func (r *Relay) domains() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make(map[string]bool)
	var out []string
	for _, x := range r.rows {
		d := x.host.Domain
		if x.host.Region == r.self.Region && d != r.self.Domain && !seen[d] {
			seen[d] = true
			out = append(out, d)
		}
	}
	return out
}

// backOff starts or doubles the backoff of a host that didn't respond to what it was asked
// at the time. It reports false, and starts none, if this host ran late meanwhile: the
// response may have come.
func (r *Relay) backOff(now, asked time.Time, h member.Host, err error) bool {
	if isTimeout(err) && !delay.Conclusive(r.delays, now, asked) {
		pollsLate.Inc()
		r.log.Info("poll ended while this host ran late", "peer", h.Name, "tookMs", now.Sub(asked).Milliseconds(),
			"delayMs", r.delays.Worst(now, asked).Milliseconds(), "error", err)
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.backoffs[h.Name]
	a.delay = min(maxBackoff, max(minBackoff, 2*a.delay))
	a.until = now.Add(a.delay)
	r.backoffs[h.Name] = a
	pollsFailed.Inc()
	r.log.Warn("host doesn't answer polls", "peer", h.Name, "avoidedForMs", a.delay.Milliseconds(),
		"tookMs", now.Sub(asked).Milliseconds(), "delayMs", r.delays.Worst(now, asked).Milliseconds(), "error", err)
	return true
}

// isTimeout reports whether the error is that of a call whose time was up.
func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
