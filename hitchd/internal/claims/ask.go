package claims

import (
	"context"
	"net/http"
	"time"

	"magnoliahitch/hitchd/internal/peer"
	"magnoliahitch/steer/claim"
	"magnoliahitch/steer/member"
)

// askPath is the path of the message that asks a holder for an operation.
const askPath = "/claims/ask"

// askWait bounds how long a holder lets an asking host wait for the end of an
// operation.
const askWait = 2 * time.Second

type askMessage struct {
	Key string `msgpack:"key"`
	ID  string `msgpack:"id"`
	// Incarnation is the one that made the claim.
	Incarnation uint64 `msgpack:"incarnation"`
}

type askAnswer struct {
	// State is empty when the holder doesn't know the operation.
	State  claim.State   `msgpack:"state"`
	Answer *claim.Answer `msgpack:"answer"`
}

// ask asks the holder how far the operation is. A holder that can't be
// reached may be running it.
func (c *Claims) ask(ctx context.Context, holder member.Host, key, id string) askAnswer {
	if holder.Name == c.members.Self().Name {
		return c.state(ctx, key, id)
	}
	var out askAnswer
	in := askMessage{Key: key, ID: id, Incarnation: holder.Incarnation}
	if err := c.peers.Tell(ctx, holder, askPath, in, &out); err != nil {
		c.log.Warn("ask for operation", "host", holder.Name, "error", err)
		return askAnswer{State: claim.Claimed}
	}
	return out
}

// state waits for the end of the operation on this host.
func (c *Claims) state(ctx context.Context, key, id string) askAnswer {
	o := c.running.find(key, id)
	if o == nil {
		return askAnswer{}
	}
	t := time.NewTimer(askWait)
	defer t.Stop()
	select {
	case <-o.done:
		return askAnswer{State: o.state, Answer: o.answer}
	case <-ctx.Done():
	case <-t.C:
	}
	return askAnswer{State: claim.Claimed}
}

// Handle registers the messages of claims.
func (c *Claims) Handle(s *peer.Server) {
	s.Handle("POST "+askPath, peer.Message(func(r *http.Request, in askMessage) (askAnswer, error) {
		if in.Incarnation != c.members.Self().Incarnation {
			return askAnswer{}, nil
		}
		return c.state(r.Context(), in.Key, in.ID), nil
	}))
}
