package pipe

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/clock"
)

// phase is the position in the stream of a connection's requests up to which
// bytes have been handed to the main lane.
type phase int

const (
	// idle is before a request.
	idle phase = iota
	inHead
	// afterHead is after a head whose handler has not begun, so that the framing of
	// the body isn't known.
	afterHead
	inBody
	inChunks
	// inResponse is after the end of a request that has no complete response.
	inResponse
)

// caller is a connection of a caller.
type caller struct {
	listener *Listener
	raw      net.Conn
	main     *lane
	accepted time.Time

	mu    sync.Mutex
	phase phase
	head  headScanner
	// headBytes counts those of the head that the main lane gets.
	headBytes headBytes
	chunks    chunkScanner
	// left is the number of bytes until the end of the body.
	left int64
	// opaque is set when the end of a request could not be found. The main lane gets
	// all further bytes as they arrive.
	opaque bool
	// ahead holds the bytes that were read ahead.
	ahead ahead
	// judged is the latest judgement of a request in ahead.
	judged judgement
	// queue holds the requests whose responses aren't complete, in order.
	queue []*exchange
	// served is set after the first request, pipelined once bytes arrived before a
	// response was complete.
	served, pipelined bool
	// last is set when no further request is accepted, ending when the connection
	// is to be closed unless a request has arrived.
	last, ending bool
	// idleTime is the duration of the latest read deadline when it was set.
	idleTime time.Duration
	// err is why the connection has no more requests. closed is set once the
	// connection is closed, reset if that must not look like an orderly end.
	err           error
	closed, reset bool
	// writeDeadlineSet is when the write deadline was last set. Only the writer whose
	// turn it is uses it.
	writeDeadlineSet time.Time
}

func newCaller(l *Listener, raw net.Conn, now time.Time) *caller {
	c := &caller{listener: l, raw: raw, accepted: now}
	c.main = newLane(c)
	return c
}

// read hands bytes of the current request to the main lane. Between the end of a
// request and the end of its response it reads ahead, and returns only at the
// deadline or the end of the connection.
func (c *caller) read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if c.headBytes.refusal != nil {
			c.refuseHead()
			return 0, io.EOF
		}
		if c.ending && c.phase == idle {
			if nothingReceived(c.raw) {
				c.end(io.EOF)
			}
			c.ending = false
		}
		if c.err != nil || c.closed || c.main.dropped || c.last && c.phase == idle || c.main.refused() {
			return 0, io.EOF
		}
		if n := c.take(c.ahead.bytes[:min(len(p), len(c.ahead.bytes))]); n > 0 {
			copy(p, c.ahead.bytes[:n])
			c.ahead.consume(n)
			c.dispatch()
			return n, nil
		}
		if c.headBytes.refusal != nil {
			continue
		}
		n, err := c.fill(p)
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// take returns the length of the part of b, the next bytes of the connection, that
// the main lane gets now.
func (c *caller) take(b []byte) int {
	if c.opaque {
		return len(b)
	}
	for n := 0; n < len(b); {
		switch c.phase {
		case idle:
			if !c.mayStart() {
				return n
			}
			c.push(c.main, &exchange{})
			c.phase = inHead
		case inHead:
			k, done := c.head.scan(b[n:])
			n += k
			if !c.growHead(k) {
				return 0
			}
			if done {
				c.phase = afterHead
				c.main.exchange.arrived = c.timeAt(n)
			}
		case inBody:
			k := min(c.left, int64(len(b)-n))
			n += int(k)
			c.left -= k
			if c.left == 0 {
				c.phase = inResponse
			}
		case inChunks:
			k, done, ok := c.chunks.scan(b[n:])
			n += k
			if !ok {
				c.opaque = true
				return len(b)
			}
			if done {
				c.phase = inResponse
			}
		default:
			return n
		}
		if n == len(b) {
			return n
		}
	}
	return 0
}

// mayStart reports whether the main lane may get the next request now.
func (c *caller) mayStart() bool {
	return len(c.queue) == 0 || len(c.queue) < maxRequests && c.judge() && c.allConcurrent()
}

// fill reads from the connection, into p if the main lane gets the next bytes, and
// else ahead. It returns the number of bytes in p.
func (c *caller) fill(p []byte) (int, error) {
	direct := len(c.ahead.bytes) == 0 && c.wants()
	b := p
	if !direct && len(c.ahead.bytes) > 0 {
		room := maxAhead - len(c.ahead.bytes)
		if room <= 0 {
			return 0, c.awaitRoom()
		}
		b = make([]byte, min(room, maxAhead/4))
	}
	c.mu.Unlock()
	n, err := c.raw.Read(b)
	c.mu.Lock()
	if n > 0 {
		c.ending = false
		if direct {
			n = c.takeDirect(b[:n])
			if n > 0 {
				return n, nil
			}
			return 0, nil
		}
		c.readAhead(b[:n])
		return 0, nil
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.end(err)
		return 0, err
	}
	return 0, c.timedOut(time.Now(), err)
}

// wants reports whether the main lane gets the next bytes whatever they are.
func (c *caller) wants() bool {
	switch c.phase {
	case idle:
		return c.opaque || len(c.queue) == 0
	case inHead, inBody, inChunks:
		return true
	}
	return c.opaque
}

// takeDirect takes the part of b that the main lane gets and keeps the rest.
func (c *caller) takeDirect(b []byte) int {
	n := c.take(b)
	if n < len(b) {
		c.readAhead(b[n:])
	}
	return n
}

// readAhead keeps bytes that no lane gets yet, and starts the requests in them that
// may run now.
func (c *caller) readAhead(b []byte) {
	c.pipelined = true
	c.ahead.add(lastReceived(c.raw, clock.Now()), b)
	c.dispatch()
}

// timeAt returns when the next n bytes had arrived, which were read ahead or just now.
func (c *caller) timeAt(n int) time.Time {
	if at, ok := c.ahead.timeAt(n); ok {
		return at
	}
	return lastReceived(c.raw, clock.Now())
}

// timedOut handles a read that ended at the deadline. It returns nil when the read
// is to be repeated.
func (c *caller) timedOut(now time.Time, err error) error {
	if !c.main.expired(now) {
		// Only wakes the reader, see kick.
		return c.raw.SetReadDeadline(c.main.deadline)
	}
	if c.phase == idle && len(c.queue) > 0 && !c.opaque {
		// The connection isn't idle while another lane responds.
		return c.raw.SetReadDeadline(now.Add(c.idleTime))
	}
	return err
}

// awaitRoom waits until bytes that were read ahead are used, the deadline or the
// caller's close. Bytes that can't be read ahead hide that close from a read.
func (c *caller) awaitRoom() error {
	t := time.NewTimer(hangUpInterval)
	defer t.Stop()
	c.mu.Unlock()
	select {
	case <-c.main.wake:
	case <-t.C:
	}
	c.mu.Lock()
	if c.main.expired(time.Now()) {
		return os.ErrDeadlineExceeded
	}
	if hungUp(c.raw) {
		c.end(io.EOF)
	}
	return nil
}

// kick wakes the read of the main lane.
func (c *caller) kick() {
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	signal(c.main.wake)
}

func (c *caller) setDeadline(now, t time.Time) error {
	if t.After(now) {
		c.idleTime = t.Sub(now)
	}
	return c.raw.SetReadDeadline(t)
}
