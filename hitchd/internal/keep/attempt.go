package keep

import (
	"context"
	"sync/atomic"

	"github.com/go-faster/errors"

	"magnoliahitch/steer/result"
)

// States of an attempt.
const (
	// pending: no byte was passed to a connection yet.
	pending int32 = iota
	// begun: the first byte was passed to the attempt's only connection.
	begun
	// cancelled: no byte was passed to a connection, and none ever will be.
	cancelled
)

// Errors of a write that a connection refuses.
var (
	errNoAttempt = errors.New("no attempt owns the connection")
	errCancelled = errors.New("attempt was cancelled before its first byte")
	errFenced    = errors.New("lease was lost before the first byte")
	errOtherConn = errors.New("attempt already began on another connection")
	errEnded     = errors.New("connection carried a response after which it can't be used")
)

// attempt is one transmission of a request to one server. Its state changes once,
// from pending to begun by the connection that writes the first byte, or to
// cancelled by cancel or by the loss of the lease. The request can have run only
// if the attempt has begun.
type attempt struct {
	state atomic.Int32
	conn  atomic.Pointer[conn]
	// fence reports whether this host still holds the lease of the cell. It is
	// called right before the first byte is written.
	fence  func() bool
	fenced atomic.Bool
	// used are the connections that the attempt has, until [attempt.release].
	used []*conn
	// turnedAway is set when a connection didn't write because it had ended.
	turnedAway atomic.Bool
}

// use makes the attempt the owner of the connection, and waits for the end of the one
// before: the transport may pass a connection on before the response of that one was
// looked at.
func (a *attempt) use(c *conn) {
	c.exchange.Lock()
	c.resetOnClose(true)
	a.used = append(a.used, c)
	c.expect()
	c.attempt.Store(a)
}

// invalidHeader returns the error of an invalid header on one of the connections, nil for none.
func (a *attempt) invalidHeader() error {
	for _, c := range a.used {
		if err := c.invalidHeader(); err != nil {
			return err
		}
	}
	return nil
}

// release gives the connections up. After the last exchange no other attempt may use them: the
// server could repeat a refusal, and nothing tells which request it belongs to. Without a response
// their close resets them.
func (a *attempt) release(responded, last bool) {
	for _, c := range a.used {
		if responded {
			c.resetOnClose(false)
		}
		if last {
			c.ended.Store(true)
			_ = c.Close()
		}
		c.exchange.Unlock()
	}
	a.used = nil
}

// begin allows the connection to write, or returns the error why it must not. It
// is called before each write. At most one connection ever writes for an attempt,
// even if the HTTP transport retries on another one.
func (a *attempt) begin(c *conn) error {
	if c.ended.Load() {
		a.turnedAway.Store(true)
		return errEnded
	}
	switch a.state.Load() {
	case begun:
		if a.conn.Load() != c {
			return errOtherConn
		}
		return nil
	case cancelled:
		return errCancelled
	}
	if !a.fence() {
		a.fenced.Store(true)
		a.state.CompareAndSwap(pending, cancelled)
		return errFenced
	}
	a.conn.CompareAndSwap(nil, c)
	if a.conn.Load() != c {
		return errOtherConn
	}
	if !a.state.CompareAndSwap(pending, begun) {
		return errCancelled
	}
	return nil
}

// cancel cancels an attempt that has not begun. It reports whether the attempt is
// cancelled, so that the request provably did not run and never will.
func (a *attempt) cancel() bool {
	a.state.CompareAndSwap(pending, cancelled)
	return a.state.Load() == cancelled
}

// classify returns the error of an attempt that got no response, and whether the
// server's connection failed after the attempt had begun. The outcome is unknown
// once the attempt has begun, and not run otherwise.
func (a *attempt) classify(ctx context.Context, err error, server string) (*result.Error, bool) {
	e := result.NewUnknown(result.ReasonUpstream, "send request", server, err)
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Reason = result.ReasonDeadline
	case ctx.Err() != nil:
		e.Reason = result.ReasonCanceled
	}
	if !a.cancel() {
		return e, e.Reason == result.ReasonUpstream
	}
	e.Outcome = result.NotRun
	if a.fenced.Load() {
		e.Reason = result.ReasonFenced
	}
	return e, false
}
