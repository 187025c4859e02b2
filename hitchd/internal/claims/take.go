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

// claimedError reports an operation that was claimed before and must not run
// again.
type claimedError struct {
	decision claim.Decision
	stored   *claim.Response
	peer     string
}

// Error names the host that holds the claim.
func (e *claimedError) Error() string { return "operation is claimed by host " + e.peer }

// response returns the stored response or the error for a caller that repeated
// the operation.
func (e *claimedError) response() (*call.Response, error) {
	switch e.decision {
	case claim.Replay:
		if e.stored != nil {
			count("replayed")
			return callAnswer(e.stored, "kept"), nil
		}
		fallthrough
	case claim.NotStored:
		count("gone")
		return nil, &result.Error{Outcome: result.Done, Reason: result.ReasonOperationDone, Step: "replay operation", Peer: e.peer}
	case claim.Mismatch:
		count("mismatch")
		return nil, result.NewNotRun(result.ReasonOperationMismatch, "compare operation", e.peer)
	case claim.QueryHolder:
		count("inProgress")
		return nil, result.NewUnknown(result.ReasonOperationInProgress, "query operation", e.peer, nil).WithRetryAfter(time.Second)
	}
	count("unknown")
	return nil, result.NewUnknown(result.ReasonOperationUnknown, "find operation", e.peer, nil)
}

// errBackoff refuses an operation without a write during outageBackoff. It
// doesn't extend the backoff.
var errBackoff = errors.New("platform table failed recently and is not retried yet")

// claim writes the operation's record and returns it with its position. It
// returns a [claimedError] if the existing record must not be replaced,
// errBackoff, or an error of package plat.
func (c *Claims) claim(ctx context.Context, o *operation) (claim.Record, plat.Position, error) {
	if c.now().UnixNano() < c.retryTableAt.Load() {
		return claim.Record{}, plat.Position{}, errBackoff
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
		return rec, plat.Position{}, err
	}
	var at plat.Position
	for range maxClaimAttempts {
		w := write{ctx: ctx, key: o.key, at: at, value: value, done: make(chan writeResult, 1)}
		c.writer.submit(w, true)
		r, err := await(ctx, w)
		if err == nil || !errors.Is(err, plat.ErrConflict) {
			return rec, r.at, err
		}
		if at, err = c.checkExisting(ctx, o); err != nil {
			return rec, plat.Position{}, err
		}
	}
	return rec, plat.Position{}, &claimedError{decision: claim.QueryHolder, peer: self.Name}
}

// await waits for the outcome of the write. It is plat.ErrUnknown if the
// context ends first.
func await(ctx context.Context, w write) (writeResult, error) {
	select {
	case r := <-w.done:
		return r, r.err
	case <-ctx.Done():
		return writeResult{}, errors.Wrapf(plat.ErrUnknown, "write row %s", w.key)
	}
}

// checkExisting decides on the record that the operation's key already has. It
// returns the position that may be overwritten, zero if there is no record, or a
// [claimedError].
func (c *Claims) checkExisting(ctx context.Context, o *operation) (plat.Position, error) {
	row, err := c.table.Get(ctx, o.key)
	if errors.Is(err, plat.ErrMissing) {
		return plat.Position{}, nil
	}
	if err != nil {
		return plat.Position{}, err
	}
	var found claim.Record
	if err := json.Unmarshal(row.Value, &found); err != nil {
		return plat.Position{}, errors.Wrapf(err, "decode row %s", o.key)
	}
	holder, alive := c.holder(found)
	d := claim.Decide(time.Now(), found, o.fingerprint, alive)
	if d != claim.QueryHolder {
		if d == claim.Claim {
			return row.At, nil
		}
		return plat.Position{}, &claimedError{decision: d, stored: found.Response, peer: found.Holder}
	}
	a := c.queryHolder(ctx, holder, o.key, found.ID)
	switch a.State {
	case claim.Released:
		return row.At, nil
	case claim.Done:
		return plat.Position{}, &claimedError{decision: claim.Replay, stored: a.Response, peer: found.Holder}
	case claim.Claimed:
		return plat.Position{}, &claimedError{decision: claim.QueryHolder, peer: found.Holder}
	}
	return plat.Position{}, &claimedError{decision: claim.Unknown, peer: found.Holder}
}

// holder returns the live host that made the record. It reports whether that
// host still has the record's incarnation.
func (c *Claims) holder(rec claim.Record) (member.Host, bool) {
	for _, h := range append(c.members.Live(), c.members.Self()) {
		if h.Name == rec.Holder {
			return h, h.Incarnation == rec.Incarnation
		}
	}
	return member.Host{}, false
}

// releaseUnknown deletes the claim of a refused operation if its write, whose
// outcome was unknown, took effect.
func (c *Claims) releaseUnknown(o *operation) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		row, err := c.table.Get(ctx, o.key)
		var found claim.Record
		if err == nil && json.Unmarshal(row.Value, &found) == nil {
			if found.ID == o.id {
				c.recordOutcome(o.key, row.At, found.WithState(claim.Released))
			}
			return
		}
		pause(ctx, outcomeRetryInterval)
	}
}

// releaseTimeout bounds how long the table is read for a claim whose write had
// an unknown outcome.
const releaseTimeout = time.Minute
