package pipe

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"

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

	mu     sync.Mutex
	phase  phase
	head   headScanner
	chunks chunkScanner
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
		if c.ending && c.phase == idle {
			if nothingReceived(c.raw) {
				c.end(io.EOF)
			}
			c.ending = false
		}
		if c.err != nil || c.closed || c.main.dropped || c.last && c.phase == idle {
			return 0, io.EOF
		}
		if n := c.take(c.ahead.bytes[:min(len(p), len(c.ahead.bytes))]); n > 0 {
			copy(p, c.ahead.bytes[:n])
			c.ahead.consume(n)
			c.dispatch()
			return n, nil
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
			if done {
				c.phase = afterHead
				c.main.exchange.arrived = c.ahead.timeAt(n)
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
	c.ahead.add(clock.Now(), b)
	c.dispatch()
}

// timedOut handles a read that ended at the deadline. It returns nil when the read
// is to be repeated.
func (c *caller) timedOut(now time.Time, err error) error {
	if !c.main.expired(now) {
		// Only wakes the reader, see kick.
		return c.raw.SetReadDeadline(c.main.deadline)
	}
	if c.phase == idle && len(c.queue) > 0 {
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

// push appends a request to the queue and gives it to the lane.
func (c *caller) push(x *lane, e *exchange) {
	e.lane, e.turn = x, len(c.queue) == 0
	x.exchange = e
	c.queue = append(c.queue, e)
}

// dispatch starts the requests that were read ahead and may run now, each on a lane
// of its own.
func (c *caller) dispatch() {
	for c.phase == inResponse && !c.opaque && !c.last && c.err == nil && len(c.ahead.bytes) > 0 && len(c.queue) < maxRequests {
		if !c.judge() || !c.allConcurrent() || !c.listener.reserve() {
			return
		}
		x := newLane(c)
		x.head = append(x.head, c.ahead.bytes[:c.judged.length]...)
		e := &exchange{arrived: c.ahead.timeAt(c.judged.length), concurrency: mayRunBeside}
		c.ahead.consume(c.judged.length)
		c.push(x, e)
		c.listener.lanes <- x
	}
}

// judgement is whether the request at a position of the connection may run beside
// those before it, and the length of its head, 0 if that isn't complete.
type judgement struct {
	at     int64
	length int
	ok     bool
}

// judge reports whether ahead starts with a complete request that may run beside
// others.
func (c *caller) judge() bool {
	if c.judged.at == c.ahead.start && c.judged.length > 0 {
		return c.judged.ok
	}
	c.judged = judgement{at: c.ahead.start, length: headEnd(c.ahead.bytes)}
	if c.judged.length == 0 {
		return false
	}
	r, err := http.ReadRequest(newReader(c.ahead.bytes[:c.judged.length]))
	if err != nil {
		// The server responds to it in its turn.
		return false
	}
	c.judged.ok = isPlain(r) && hostLines(c.ahead.bytes[:c.judged.length]) == 1 && c.listener.concurrent(r.Method, r.Host, r.RequestURI)
	return c.judged.ok
}

// isPlain reports whether the request has no body, keeps the connection open and is
// one that the server doesn't reject itself. Requests behind a rejected one must
// not run.
func isPlain(r *http.Request) bool {
	if r.ContentLength != 0 || len(r.TransferEncoding) > 0 || r.Close || !r.ProtoAtLeast(1, 1) || r.ProtoMajor > 1 ||
		r.Header.Get("Expect") != "" || r.Header.Get("Upgrade") != "" || r.Host == "" || !httpguts.ValidHostHeader(r.Host) {
		return false
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) || slices.ContainsFunc(values, func(v string) bool { return !httpguts.ValidHeaderFieldValue(v) }) {
			return false
		}
	}
	return true
}

// hostLines returns the number of lines of the head that are Host headers.
func hostLines(head []byte) int {
	n := 0
	for line := range bytes.Lines(head) {
		if name, _, ok := bytes.Cut(line, []byte(":")); ok && strings.EqualFold(string(name), "Host") {
			n++
		}
	}
	return n
}

// allConcurrent reports whether requests may run beside all those in the queue.
func (c *caller) allConcurrent() bool {
	for _, e := range c.queue {
		if e.concurrency == unknown && e.method != "" {
			e.concurrency = runsAlone
			if c.listener.concurrent(e.method, e.host, e.target) {
				e.concurrency = mayRunBeside
			}
		}
		if e.concurrency != mayRunBeside {
			return false
		}
	}
	return true
}

// begin records the request that the handler of the lane begins with.
func (c *caller) begin(x *lane, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x != c.main {
		return
	}
	if x.exchange == nil {
		c.push(x, &exchange{})
	}
	e := x.exchange
	if r.ContentLength == 0 && r.ProtoAtLeast(1, 1) {
		e.method, e.host, e.target = r.Method, r.Host, r.RequestURI
	}
	c.last = c.last || r.Close
	if c.phase != afterHead {
		return
	}
	switch {
	case r.ContentLength > 0:
		c.phase, c.left = inBody, r.ContentLength
	case r.ContentLength < 0:
		c.phase, c.chunks = inChunks, chunkScanner{}
	default:
		c.phase = inResponse
		c.dispatch()
	}
}

// finish records that the server has written the complete response of the lane's
// request and keeps the lane open.
func (c *caller) finish(x *lane) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.exchange != nil {
		x.exchange.done = true
		x.exchange = nil
	}
	if x == c.main {
		// The server uses a connection again only after the end of the body.
		c.opaque = c.opaque || c.phase == inBody || c.phase == inChunks
		c.phase, c.served = idle, true
	}
	c.advance()
}

// advance writes the responses whose turn has come, as far as they are held, and
// then starts requests that waited for them.
func (c *caller) advance() {
	for len(c.queue) > 0 && c.queue[0].turn && c.queue[0].done {
		if c.queue[0].closes {
			c.shut()
			return
		}
		c.queue = c.queue[1:]
		if len(c.queue) > 0 && !c.passTurn(c.queue[0]) {
			return
		}
	}
	switch {
	case c.closed:
	case len(c.queue) == 0 && c.main.closed:
		c.shut()
	case c.phase == idle && (len(c.ahead.bytes) > 0 || len(c.queue) == 0 && c.pipelined):
		if len(c.queue) == 0 && c.idleTime > 0 && !c.main.deadline.IsZero() {
			c.main.deadline = time.Now().Add(c.idleTime)
		}
		c.kick()
	default:
		c.dispatch()
	}
}

// passTurn writes the held part of the response, and lets its lane write the rest.
// It reports whether that succeeded.
func (c *caller) passTurn(e *exchange) bool {
	for len(e.held) > 0 && !c.closed {
		b := e.held
		e.held = nil
		c.mu.Unlock()
		_, err := c.write(b)
		c.mu.Lock()
		if err != nil {
			c.end(err)
			c.shut()
			return false
		}
	}
	e.turn = true
	signal(e.lane.turn)
	return true
}

// write writes a part of the response whose turn it is.
func (c *caller) write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		if now := time.Now(); now.Sub(c.writeDeadlineSet) > c.listener.stall/8 {
			c.writeDeadlineSet = now
			if err := c.raw.SetWriteDeadline(now.Add(c.listener.stall)); err != nil {
				return written, err
			}
		}
		n, err := c.raw.Write(p[:min(len(p), maxWrite)])
		written += n
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
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
	if x != c.main {
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
	if c.err == net.ErrClosed && !c.reset && (c.pipelined || c.listener.isDraining()) {
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

func (c *caller) arrived(x *lane) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.exchange == nil || x.exchange.arrived.IsZero() {
		return time.Time{}, false
	}
	return x.exchange.arrived, true
}

func (c *caller) mayClose(x *lane) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.exchange == nil {
		return true
	}
	if c.queue[len(c.queue)-1] != x.exchange {
		return false
	}
	c.last = true
	return true
}
