package pipe

import (
	"io"
	"net"
	"os"
	"time"
)

// exchange is a request that was handed to the server, and its response.
type exchange struct {
	lane    *lane
	arrived time.Time
	// method, host and target are those of a request on the main lane, and empty if
	// no request may run beside it.
	method, host, target string
	concurrency          concurrency
	// turn is set once all responses before this one have been written.
	turn bool
	// held holds the bytes of the response until its turn.
	held []byte
	// refused is set when the request's head wasn't allowed. The server's own response is
	// dropped then.
	refused bool
	// done is set when the response is complete, closes if the connection ends with
	// it.
	done, closes bool
}

// concurrency is whether requests may run beside a request.
type concurrency int

const (
	unknown concurrency = iota
	runsAlone
	mayRunBeside
)

// lane is a connection as the server sees it. Its state is guarded by the mutex of
// its caller.
type lane struct {
	caller *caller
	// head holds the request of a lane beside the main one, as far as it is unread.
	head     []byte
	exchange *exchange
	deadline time.Time
	// wake wakes a blocked Read, turn a blocked Write.
	wake, turn chan struct{}
	// closed is set by Close, dropped when the connection ends before the response.
	closed, dropped bool
}

func newLane(c *caller) *lane {
	return &lane{caller: c, wake: make(chan struct{}, 1), turn: make(chan struct{}, 1)}
}

// signal wakes the goroutine that waits on the channel.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Read reads from the request. After its end it blocks until the deadline or the
// end of the caller's connection.
func (x *lane) Read(p []byte) (int, error) {
	if x == x.caller.main {
		return x.caller.read(p)
	}
	return x.readHead(p)
}

func (x *lane) readHead(p []byte) (int, error) {
	c := x.caller
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.err != nil || x.closed || x.dropped:
			return 0, io.EOF
		case len(x.head) > 0:
			n := copy(p, x.head)
			x.head = x.head[n:]
			return n, nil
		case x.exchange == nil:
			return 0, io.EOF
		case x.expired(time.Now()):
			return 0, os.ErrDeadlineExceeded
		}
		c.mu.Unlock()
		<-x.wake
		c.mu.Lock()
	}
}

// refused reports whether the head of the lane's request wasn't allowed.
func (x *lane) refused() bool { return x.exchange != nil && x.exchange.refused }

// expired reports whether the read deadline has passed. The server only sets
// deadlines in the past on a lane that has no bytes left.
func (x *lane) expired(now time.Time) bool { return !x.deadline.IsZero() && !now.Before(x.deadline) }

// Write writes to the response, or holds the bytes until it is the response's turn.
func (x *lane) Write(p []byte) (int, error) {
	c := x.caller
	c.mu.Lock()
	e := x.exchange
	for {
		switch {
		case x.refused():
			c.mu.Unlock()
			return len(p), nil
		case c.closed || c.err != nil || x.closed || x.dropped || e == nil && (x != c.main || len(c.queue) > 0):
			c.mu.Unlock()
			return 0, net.ErrClosed
		case e == nil || e.turn:
			c.mu.Unlock()
			return c.write(p)
		case len(e.held)+len(p) <= maxHeld:
			e.held = append(e.held, p...)
			c.mu.Unlock()
			return len(p), nil
		}
		c.mu.Unlock()
		<-x.turn
		c.mu.Lock()
	}
}

// Close ends the lane. An incomplete response, or one after which the server
// doesn't reuse the lane, ends the connection once its bytes are written.
func (x *lane) Close() error { return x.caller.closeLane(x) }

// CloseWrite ends the response. The server calls it before it closes a connection
// on which a part of a request is unread.
func (x *lane) CloseWrite() error { return x.caller.closeWrite(x) }

// LocalAddr returns the address of this side of the connection.
func (x *lane) LocalAddr() net.Addr { return x.caller.raw.LocalAddr() }

// RemoteAddr returns the caller's address.
func (x *lane) RemoteAddr() net.Addr { return x.caller.raw.RemoteAddr() }

// SetDeadline sets the read deadline.
func (x *lane) SetDeadline(t time.Time) error { return x.SetReadDeadline(t) }

// SetReadDeadline sets the time at which a blocked Read returns.
func (x *lane) SetReadDeadline(t time.Time) error {
	c := x.caller
	c.mu.Lock()
	defer c.mu.Unlock()
	x.deadline = t
	signal(x.wake)
	if x == c.main {
		return c.setDeadline(time.Now(), t)
	}
	return nil
}

// SetWriteDeadline does nothing. A response may have to wait for its turn, and a
// caller that doesn't accept bytes is bounded by [WithStall].
func (x *lane) SetWriteDeadline(time.Time) error { return nil }
