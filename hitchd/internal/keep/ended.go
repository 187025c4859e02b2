package keep

import (
	"context"
	"net/http"
	"time"

	"magnoliahitch/hitchd/internal/peer"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/place"
)

// endedPath is the path of the message about requests that ended.
const endedPath = "/ended"

// endedMemory is how long an ended request is remembered: the message may come
// before the handover that names the request.
const endedMemory = time.Minute

// endedMessage tells the next keeper of a cell that a request which a handover
// names has ended. A doubled one changes nothing, a lost one leaves the slot
// held until the request's deadline.
type endedMessage struct {
	Region  string `msgpack:"region"`
	Service string `msgpack:"service"`
	ID      uint64 `msgpack:"id"`
}

// tellEnded tells the hosts that keep or may keep the cell now.
func (k *Keeper) tellEnded(p place.Cell, id uint64) {
	d := k.deaths
	if d.peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, h := range d.audience(p.Service, []string{p.Region}) {
		if err := d.peers.Tell(ctx, h, endedPath, endedMessage{p.Region, p.Service, id}, nil); err != nil {
			k.log.Debug("tell of ended request", "host", h.Name, "error", err)
		}
	}
}

// Ended handles the message of a cell's former keeper.
func (k *Keeper) Ended() http.Handler {
	return peer.Message(func(_ *http.Request, m endedMessage) (struct{}, error) {
		now := clock.Now()
		k.mu.Lock()
		for id, until := range k.ended {
			if !now.Before(until) {
				delete(k.ended, id)
			}
		}
		k.ended[m.ID] = now.Add(endedMemory)
		c := k.cells[place.Cell{Region: m.Region, Service: m.Service}]
		k.mu.Unlock()
		if c != nil {
			c.mu.Lock()
			c.wake(now, c.slots.Ended(now, m.ID))
			c.mu.Unlock()
		}
		return struct{}{}, nil
	})
}
