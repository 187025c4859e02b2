package relay

import (
	"context"
	"time"

	"magnoliahitch/steer/member"
)

// avoidFirst and avoidMax bound how long a host that didn't answer is passed
// over as source, which doubles.
const (
	avoidFirst = time.Second
	avoidMax   = 15 * time.Second
)

// avoided is a host that didn't answer.
type avoided struct {
	until time.Time
	pause time.Duration
}

// sources returns the hosts of the domain that come before this one, or all
// of another domain, less those that didn't answer lately.
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
		if now.Before(r.avoided[h.Name].until) {
			continue
		}
		out = append(out, h)
	}
	return out
}

// RunSeeds asks the seeds for their copies until the hosts' table is known or
// the context ends. A host that starts beside a healthy store knows it before.
func (r *Relay) RunSeeds(ctx context.Context) error {
	r.awaitRows(ctx)
	t := time.NewTicker(seedInterval)
	defer t.Stop()
	for !r.knowsRows() && ctx.Err() == nil {
		for _, addr := range r.seeds {
			if err := r.poll(ctx, member.Host{Name: addr, PeerAddr: addr}); err != nil {
				r.log.Info("seed doesn't answer", "address", addr, "error", err)
				continue
			}
			if r.knowsRows() {
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
	there := make(map[string]bool)
	var out []string
	for _, x := range r.rows {
		d := x.host.Domain
		if x.host.Region == r.self.Region && d != r.self.Domain && !there[d] {
			there[d] = true
			out = append(out, d)
		}
	}
	return out
}

// avoid passes the host over for a while.
func (r *Relay) avoid(now time.Time, h member.Host, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.avoided[h.Name]
	a.pause = min(avoidMax, max(avoidFirst, 2*a.pause))
	a.until = now.Add(a.pause)
	r.avoided[h.Name] = a
	pollsFailed.Inc()
	r.log.Warn("host doesn't answer polls", "peer", h.Name, "avoidedForMs", a.pause.Milliseconds(), "error", err)
}
