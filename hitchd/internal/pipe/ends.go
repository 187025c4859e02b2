package pipe

import (
	"io"
	"net"
	"time"
)

// end records that the connection has no more requests, and ends those that run.
func (c *caller) end(err error) {
	if c.err == nil {
		c.err = err
	}
	for _, e := range c.queue {
		signal(e.lane.wake)
		signal(e.lane.turn)
	}
}

// closeLane handles the server's close of the lane.
func (c *caller) closeLane(x *lane) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.closed {
		return nil
	}
	x.closed = true
	signal(x.wake)
	signal(x.turn)
	if x == c.main {
		c.headBytes.clear()
	} else {
		c.listener.release()
	}
	e := x.exchange
	x.exchange = nil
	switch {
	case c.closed:
	case c.err != nil:
		if x == c.main {
			c.shut()
		}
	case e != nil:
		e.done, e.closes, c.last = true, true, true
		c.dropAfter(e)
		c.advance()
	case x == c.main:
		c.last = true
		c.advance()
	}
	return nil
}

// dropAfter ends the requests behind the one whose response closes the connection.
func (c *caller) dropAfter(e *exchange) {
	behind := false
	for _, o := range c.queue {
		if behind {
			o.lane.dropped = true
			signal(o.lane.wake)
			signal(o.lane.turn)
			if o.lane == c.main {
				c.kick()
			}
		}
		behind = behind || o == e
	}
}

// closeWrite ends the response of the lane if it is its turn.
func (c *caller) closeWrite(x *lane) error {
	c.mu.Lock()
	turn := x.exchange == nil || x.exchange.turn
	c.mu.Unlock()
	if t, ok := c.raw.(interface{ CloseWrite() error }); ok && turn && x == c.main {
		return t.CloseWrite()
	}
	return nil
}

// shut closes the connection. If the caller may still be sending, that happens
// only after what it sends was read for a while.
func (c *caller) shut() {
	if c.closed {
		return
	}
	c.closed = true
	c.end(net.ErrClosed)
	c.listener.forget(c)
	unread := c.pipelined || c.opaque || c.phase == inBody || c.phase == inChunks
	if c.err == net.ErrClosed && !c.reset && (unread || c.listener.isDraining()) {
		go linger(c.raw, time.Now())
		return
	}
	_ = c.raw.Close()
}

// resetOnPanic makes a handler that panics reset the connection. A response in
// HTTP/1.0 may end with its connection, and an orderly close would make one that
// broke off complete.
func (c *caller) resetOnPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if t, ok := c.raw.(interface{ SetLinger(sec int) error }); ok && t.SetLinger(0) == nil {
		c.mu.Lock()
		c.reset = true
		c.mu.Unlock()
	}
	panic(cause)
}

// linger ends the responses and closes the connection when the caller has closed
// its side, or after lingerTime.
func linger(raw net.Conn, now time.Time) {
	if t, ok := raw.(interface{ CloseWrite() error }); ok && t.CloseWrite() == nil && raw.SetReadDeadline(now.Add(lingerTime)) == nil {
		// What arrives here is behind the last response, and its errors don't matter.
		_, _ = io.CopyN(io.Discard, raw, maxLinger)
	}
	_ = raw.Close()
}

// closeIdle ends the connection if it is idle.
func (c *caller) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle && len(c.queue) == 0 && len(c.ahead.bytes) == 0 && (c.served || now.Sub(c.accepted) >= firstRequestTime) {
		c.ending = true
		c.kick()
	}
}
