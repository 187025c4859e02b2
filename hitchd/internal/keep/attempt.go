package keep

import (
	"context"
	"sync/atomic"

	"github.com/go-faster/errors"

	"magnoliahitch/steer/result"
)

// States of an attempt.
const (
	// fresh: no byte was handed to a connection.
	fresh int32 = iota
	// begun: the first byte was handed to the attempt's only connection.
	begun
	// sealed: no byte was, and none will be, handed to a connection.
	sealed
)

// Errors of a connection that refuses to write.
var (
	errNoAttempt = errors.New("no attempt owns the connection")
	errSealed    = errors.New("attempt was given up before its first byte")
	errFenced    = errors.New("lease was lost before the first byte")
	errTwice     = errors.New("attempt was begun on another connection")
)

// attempt is one try of a request on one server. It decides once, between the
// connection that asks to write the first byte and the caller that gives up,
// whether the request can have run.
type attempt struct {
	state atomic.Int32
	conn  atomic.Pointer[conn]
	// fence is asked right before the first byte.
	fence  func() bool
	fenced atomic.Bool
}

// begin lets the connection write, or returns why it must not. Only one
// connection ever writes for an attempt, whatever the transport tries.
func (a *attempt) begin(c *conn) error {
	switch a.state.Load() {
	case begun:
		if a.conn.Load() != c {
			return errTwice
		}
		return nil
	case sealed:
		return errSealed
	}
	if !a.fence() {
		a.fenced.Store(true)
		a.state.CompareAndSwap(fresh, sealed)
		return errFenced
	}
	a.conn.CompareAndSwap(nil, c)
	if a.conn.Load() != c {
		return errTwice
	}
	if !a.state.CompareAndSwap(fresh, begun) {
		return errSealed
	}
	return nil
}

// seal reports whether the request provably did not run, and keeps it so.
func (a *attempt) seal() bool {
	a.state.CompareAndSwap(fresh, sealed)
	return a.state.Load() == sealed
}

// conclude returns the outcome of an attempt that got no answer, and whether
// the server's connection died while it ran.
func (a *attempt) conclude(ctx context.Context, err error, server string) (*result.Error, bool) {
	e := result.Lose(result.ReasonUpstream, "send request", server, err)
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Reason = result.ReasonDeadline
	case ctx.Err() != nil:
		e.Reason = result.ReasonCanceled
	}
	if !a.seal() {
		return e, e.Reason == result.ReasonUpstream
	}
	e.Outcome = result.NotRun
	if a.fenced.Load() {
		e.Reason = result.ReasonFenced
	}
	return e, false
}
