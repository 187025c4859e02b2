package hosts

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/hitchd/internal/peer"
	"magnoliahitch/steer/lease"
	"magnoliahitch/steer/member"
)

// Paths of messages between hosts.
const (
	leasePath   = "/hosts/lease"
	changedPath = "/hosts/changed"
)

// changedMessage tells that the assignment has changed.
type changedMessage struct {
	Region string `msgpack:"region"`
}

// Handle registers the handlers of messages from other hosts.
func (h *Hosts) Handle(s Handler) {
	s.Handle("POST "+leasePath, peer.Message(func(r *http.Request, m lease.Message) (lease.Reply, error) {
		if err := prove(r, m.From.Host); err != nil {
			return lease.Reply{}, err
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.node.Answer(h.clock(), m), nil
	}))
	s.Handle("POST "+changedPath, peer.Message(func(*http.Request, changedMessage) (struct{}, error) {
		signal(h.wake)
		return struct{}{}, nil
	}))
	s.Handle("POST "+statusPath, peer.Message(h.receive))
}

// prove checks that a message comes from the host that it names. Transports
// without certificates name no one.
func prove(r *http.Request, host string) error {
	if name := peer.Name(r.Context()); name != "" && name != host {
		return errors.Errorf("message of host %s came from host %s", host, name)
	}
	return nil
}

// tell turns to the successor where that is due, and takes over without the
// table the leases whose pledges lapsed.
func (h *Hosts) tell(ctx context.Context) {
	now := h.clock()
	h.mu.Lock()
	taken := h.node.Take(now)
	m, ok := h.node.Message(now, h.quick(now))
	to := h.regions[h.self.Region].hosts[m.To.Host]
	h.mu.Unlock()
	for _, id := range taken {
		h.log.Info("lease taken over without the table", "host", id.Host, "term", id.Term)
	}
	if len(taken) > 0 {
		h.gossip(ctx)
	}
	h.settle(now)
	if ok {
		go h.ask(ctx, to, m)
	}
}

// quick reports whether the table answers in good time.
func (h *Hosts) quick(now time.Time) bool { return now.Sub(h.tabled) < h.terms.Length/2 }

func (h *Hosts) ask(ctx context.Context, to member.Host, m lease.Message) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var r lease.Reply
	if err := h.peers.Tell(ctx, to, leasePath, m, &r); err != nil {
		h.log.Debug("ask successor", "host", to.Name, "error", err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.node.Receive(r)
}

// announce tells the hosts of the region that the assignment has changed.
func (h *Hosts) announce(ctx context.Context) {
	h.mu.RLock()
	live := h.regions[h.self.Region].live()
	h.mu.RUnlock()
	for _, m := range live {
		if m.Name == h.self.Name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			_ = h.peers.Tell(ctx, m, changedPath, changedMessage{Region: h.self.Region}, nil)
		}()
	}
}

// Leave marks this host as leaving: it gets no new callers and no new cells.
func (h *Hosts) Leave() {
	h.mu.Lock()
	h.self.Leaving = true
	h.node.Leave()
	h.mu.Unlock()
	signal(h.change)
}

// Yield gives all cells of this host away and ends its lease. It returns when
// that is done or the context ends.
func (h *Hosts) Yield(ctx context.Context) error {
	h.mu.Lock()
	h.yielding = true
	h.mu.Unlock()
	for h.keeps() {
		signal(h.change)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(stepInterval):
		}
	}
	h.mu.Lock()
	w, ok := h.node.Finish(h.clock())
	h.mu.Unlock()
	if ok {
		h.commitLease(ctx, w)
	}
	return nil
}

// keeps reports whether the assignment names this host for any cell.
func (h *Hosts) keeps() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, v := range h.regions[h.self.Region].cells {
		if v.ID == h.node.ID() && v.Term != 0 {
			return true
		}
	}
	return false
}
