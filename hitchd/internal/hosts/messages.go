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

// changedMessage reports that the assignment of a region has changed.
type changedMessage struct {
	Region string `msgpack:"region"`
}

// Handle registers the handlers of messages from other hosts.
func (h *Hosts) Handle(s Registrar) {
	s.Handle("POST "+leasePath, peer.MessageHandler(func(r *http.Request, m lease.Message) (lease.Reply, error) {
		if err := checkSender(r, m.From.Host); err != nil {
			return lease.Reply{}, err
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.node.Handle(h.clock(), m), nil
	}))
	s.Handle("POST "+changedPath, peer.MessageHandler(func(*http.Request, changedMessage) (struct{}, error) {
		signal(h.readSignal)
		return struct{}{}, nil
	}))
	s.Handle("POST "+statusPath, peer.MessageHandler(h.receiveStatus))
}

// checkSender returns an error when a message names another sender than the certificate of
// its connection. A transport without certificates gives no name, and any sender passes.
func checkSender(r *http.Request, host string) error {
	if name := peer.SenderName(r.Context()); name != "" && name != host {
		return errors.Errorf("message names host %s as its sender, the certificate names host %s", host, name)
	}
	return nil
}

// contactSuccessor sends the message to the successor that is due, if any. Before, it takes
// over without the table the leases whose pledges by this host have expired, sends these
// takeovers to the region, and updates the tenants.
func (h *Hosts) contactSuccessor(ctx context.Context) {
	now := h.clock()
	h.mu.Lock()
	taken := h.node.TakeOver(now)
	m, ok := h.node.Message(now, h.tableIsQuick(now))
	to := h.regions[h.self.Region].hosts[m.To.Host]
	h.mu.Unlock()
	for _, id := range taken {
		h.log.Info("lease taken over without the table", "host", id.Host, "term", id.Term)
	}
	if len(taken) > 0 {
		h.sendStatuses(ctx)
	}
	h.updateTenants(now)
	if ok {
		go h.sendToSuccessor(ctx, to, m)
	}
}

// tableIsQuick reports whether a quick read of the table ended within the last half length
// of a lease. A regime of pledges is ended only while this is so.
func (h *Hosts) tableIsQuick(now time.Time) bool {
	return now.Sub(h.quickReadAt) < h.leaseParams.Length/2
}

// sendToSuccessor sends the message and passes the response to the node. A failure is
// logged only; the message is sent again when it is due.
func (h *Hosts) sendToSuccessor(ctx context.Context, to member.Host, m lease.Message) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var r lease.Reply
	if err := h.peers.Call(ctx, to, leasePath, m, &r); err != nil {
		h.log.Debug("send lease message to successor", "host", to.Name, "error", err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.node.Receive(r)
}

// notifyChange notifies the hosts of the region that the assignment has changed, so that
// they read it at once. Failures are ignored, as each host also reads at intervals.
func (h *Hosts) notifyChange(ctx context.Context) {
	h.mu.RLock()
	live := h.regions[h.self.Region].live()
	h.mu.RUnlock()
	for _, m := range live {
		if m.Name == h.self.Name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, messageTimeout)
			defer cancel()
			_ = h.peers.Call(ctx, m, changedPath, changedMessage{Region: h.self.Region}, nil)
		}()
	}
}

// Leave marks this host as leaving: it gets no new callers and no new cells.
func (h *Hosts) Leave() {
	h.mu.Lock()
	h.self.Leaving = true
	h.node.SetLeaving()
	h.mu.Unlock()
	signal(h.stepSignal)
}

// HandOver hands all cells of this host over to other hosts and then ends its lease. It returns
// the error of the context if that ends before the cells are handed over.
func (h *Hosts) HandOver(ctx context.Context) error {
	h.mu.Lock()
	h.yielding = true
	h.mu.Unlock()
	for h.hasCells() {
		signal(h.stepSignal)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(stepInterval):
		}
	}
	h.mu.Lock()
	w, ok := h.node.End(h.clock())
	h.mu.Unlock()
	if ok {
		h.commitLease(ctx, w)
	}
	return nil
}

// hasCells reports whether any cell is assigned to this host's lease.
func (h *Hosts) hasCells() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, v := range h.regions[h.self.Region].cells {
		if v.ID == h.node.ID() && v.Term != 0 {
			return true
		}
	}
	return false
}
