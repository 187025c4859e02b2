package claims

import (
	"context"
	"net/http"
	"time"

	"magnoliahitch/hitchd/internal/peer"
	"magnoliahitch/steer/claim"
	"magnoliahitch/steer/member"
)

// queryPath is the path of the message that queries the state of an operation
// at the host that claimed it.
const queryPath = "/claims/ask"

// queryWait bounds how long a queried host waits for the end of a running
// operation before it responds.
const queryWait = 2 * time.Second

// queryRequest identifies an operation by its key and the id of its claim.
type queryRequest struct {
	Key string `msgpack:"key"`
	ID  string `msgpack:"id"`
	// Incarnation is that of the host when it made the claim.
	Incarnation uint64 `msgpack:"incarnation"`
}

// queryResponse is the state of an operation on the queried host.
type queryResponse struct {
	// State is empty if the host has no record of the operation.
	State    claim.State     `msgpack:"state"`
	Response *claim.Response `msgpack:"answer"`
}

// queryHolder returns the state of the operation on its holder. It returns
// claim.Claimed if the holder doesn't respond, because the operation may be
// running there.
func (c *Claims) queryHolder(ctx context.Context, holder member.Host, key, id string) queryResponse {
	if holder.Name == c.members.Self().Name {
		return c.awaitEnd(ctx, key, id)
	}
	var out queryResponse
	in := queryRequest{Key: key, ID: id, Incarnation: holder.Incarnation}
	if err := c.peers.Call(ctx, holder, queryPath, in, &out); err != nil {
		c.log.Warn("query operation at its holder", "host", holder.Name, "error", err)
		return queryResponse{State: claim.Claimed}
	}
	return out
}

// awaitEnd waits up to queryWait for the end of the operation on this host and
// returns its state.
func (c *Claims) awaitEnd(ctx context.Context, key, id string) queryResponse {
	o := c.registry.find(key, id)
	if o == nil {
		return queryResponse{}
	}
	t := time.NewTimer(queryWait)
	defer t.Stop()
	select {
	case <-o.done:
		return queryResponse{State: o.state, Response: o.response}
	case <-ctx.Done():
	case <-t.C:
	}
	return queryResponse{State: claim.Claimed}
}

// Handle registers the handler of other hosts' queries. A query for another
// incarnation of this host gets an empty state.
func (c *Claims) Handle(s *peer.Server) {
	s.Handle("POST "+queryPath, peer.MessageHandler(func(r *http.Request, in queryRequest) (queryResponse, error) {
		if in.Incarnation != c.members.Self().Incarnation {
			return queryResponse{}, nil
		}
		return c.awaitEnd(r.Context(), in.Key, in.ID), nil
	}))
}
