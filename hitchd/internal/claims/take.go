package claims

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/plat"
	"magnoliahitch/steer/claim"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/result"
)

// heldError reports an operation that somebody claimed before.
type heldError struct {
	decision claim.Decision
	kept     *claim.Answer
	peer     string
}

// Error says who holds the operation.
func (e *heldError) Error() string { return "operation is held by host " + e.peer }

// answer returns what a caller gets who sent the operation again.
func (e *heldError) answer() (*call.Answer, error) {
	switch e.decision {
	case claim.Replay:
		if e.kept != nil {
			count("replayed")
			return answerOf(e.kept, "kept"), nil
		}
		fallthrough
	case claim.Gone:
		count("gone")
		return nil, &result.Error{Outcome: result.Done, Reason: result.ReasonGone, Step: "replay operation", Peer: e.peer}
	case claim.Mismatch:
		count("mismatch")
		return nil, result.Refuse(result.ReasonMismatch, "compare operation", e.peer)
	case claim.Ask:
		count("inProgress")
		return nil, result.Lose(result.ReasonInProgress, "ask for operation", e.peer, nil).WithRetryAfter(time.Second)
	}
	count("unknown")
	return nil, result.Lose(result.ReasonLost, "find operation", e.peer, nil)
}

// errPaused refuses at once while the table is given time to come back. It
// doesn't prolong that time.
var errPaused = errors.New("table failed a moment ago")

// claim writes the operation's record. It returns a [heldError] when another
// claim stands, or an error of package plat.
func (c *Claims) claim(ctx context.Context, o *operation) (claim.Record, int64, error) {
	if c.now().UnixNano() < c.downUntil.Load() {
		return claim.Record{}, 0, errPaused
	}
	self := c.members.Self()
	rec := claim.Record{
		ID:          o.id,
		Holder:      self.Name,
		Incarnation: self.Incarnation,
		Fingerprint: o.fingerprint,
		State:       claim.Claimed,
		Expires:     time.Now().Add(Window).UTC(),
	}
	value, err := json.Marshal(rec)
	if err != nil {
		return rec, 0, err
	}
	version := int64(0)
	for range takeTries {
		w := write{ctx: ctx, key: o.key, version: version, value: value, done: make(chan written, 1)}
		c.writer.submit(w, true)
		r, err := await(ctx, w)
		if err == nil || !errors.Is(err, plat.ErrConflict) {
			return rec, r.version, err
		}
		if version, err = c.standing(ctx, o); err != nil {
			return rec, 0, err
		}
	}
	return rec, 0, &heldError{decision: claim.Ask, peer: self.Name}
}

// await waits for the write's outcome. A write that is still on its way when
// the context ends has an unknown one.
func await(ctx context.Context, w write) (written, error) {
	select {
	case r := <-w.done:
		return r, r.err
	case <-ctx.Done():
		return written{}, errors.Wrapf(plat.ErrUnknown, "write row %s", w.key)
	}
}

// standing decides on the record that stands in the way. It returns the
// version over which the operation may be claimed, or a [heldError].
func (c *Claims) standing(ctx context.Context, o *operation) (int64, error) {
	row, err := c.table.Get(ctx, o.key)
	if errors.Is(err, plat.ErrMissing) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var found claim.Record
	if err := json.Unmarshal(row.Value, &found); err != nil {
		return 0, errors.Wrapf(err, "decode row %s", o.key)
	}
	holder, alive := c.holder(found)
	d := claim.Decide(time.Now(), found, o.fingerprint, alive)
	if d != claim.Ask {
		if d == claim.Take {
			return row.Version, nil
		}
		return 0, &heldError{decision: d, kept: found.Answer, peer: found.Holder}
	}
	a := c.ask(ctx, holder, o.key, found.ID)
	switch a.State {
	case claim.Released:
		return row.Version, nil
	case claim.Done:
		return 0, &heldError{decision: claim.Replay, kept: a.Answer, peer: found.Holder}
	case claim.Claimed:
		return 0, &heldError{decision: claim.Ask, peer: found.Holder}
	}
	return 0, &heldError{decision: claim.Unknown, peer: found.Holder}
}

// holder returns the host of the record, and whether that incarnation lives.
func (c *Claims) holder(rec claim.Record) (member.Host, bool) {
	for _, h := range append(c.members.Live(), c.members.Self()) {
		if h.Name == rec.Holder {
			return h, h.Incarnation == rec.Incarnation
		}
	}
	return member.Host{}, false
}

// disown deletes a claim whose write had no known outcome before the caller
// was refused.
func (c *Claims) disown(o *operation) {
	ctx, cancel := context.WithTimeout(context.Background(), disownTimeout)
	defer cancel()
	for ctx.Err() == nil {
		row, err := c.table.Get(ctx, o.key)
		var found claim.Record
		if err == nil && json.Unmarshal(row.Value, &found) == nil {
			if found.ID == o.id {
				c.settle(o.key, row.Version, found.WithState(claim.Released))
			}
			return
		}
		pause(ctx, resettlePause)
	}
}

// disownTimeout bounds how long a claim without a known outcome is looked for.
const disownTimeout = time.Minute
