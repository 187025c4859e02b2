package keep

import (
	"context"
	"net/http"
	"time"

	"magnoliahitch/hitchd/internal/peer"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/place"
)

// endedPath is the path of the message that a request has ended.
const endedPath = "/ended"

// endedRetention is how long the id of an ended request is retained, because the
// message may arrive before the handover that names the request.
const endedRetention = time.Minute

// endedMessage notifies the next keeper of a cell that a request named in a
// handover has ended. A duplicate has no effect. If the message is lost, the slot
// stays held until the request's deadline.
type endedMessage struct {
	Region  string `msgpack:"region"`
	Service string `msgpack:"service"`
	ID      uint64 `msgpack:"id"`
}

// notifyEnded notifies the hosts that keep or may keep the cell that the request
// has ended. It takes at most a second.
func (k *Keeper) notifyEnded(p place.Cell, id uint64) {
	t := k.crashes
	if t.peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, h := range t.recipients(p.Service, []string{p.Region}) {
		if err := t.peers.Call(ctx, h, endedPath, endedMessage{p.Region, p.Service, id}, nil); err != nil {
			k.log.Debug("send notice of ended request", "host", h.Name, "error", err)
		}
	}
}

// Ended returns the handler of the message that a former keeper of a cell sends
// when one of its requests has ended. It frees the slot that is held for it.
func (k *Keeper) Ended() http.Handler {
	return peer.MessageHandler(func(_ *http.Request, m endedMessage) (struct{}, error) {
		now := clock.Now()
		k.mu.Lock()
		for id, until := range k.ended {
			if !now.Before(until) {
				delete(k.ended, id)
			}
		}
		k.ended[m.ID] = now.Add(endedRetention)
		c := k.cells[place.Cell{Region: m.Region, Service: m.Service}]
		k.mu.Unlock()
		if c != nil {
			c.mu.Lock()
			c.deliver(now, c.slots.ReleaseHold(now, m.ID))
			c.mu.Unlock()
		}
		return struct{}{}, nil
	})
}
