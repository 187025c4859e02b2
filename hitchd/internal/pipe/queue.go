package pipe

import (
	"bytes"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

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
		e := &exchange{arrived: c.timeAt(c.judged.length), concurrency: mayRunBeside}
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
	if c.judged.length == 0 || c.listener.tooLong(c.judged.length) {
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
		c.headBytes.clear()
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
	// A request that has arrived completely gets a response too.
	if c.queue[len(c.queue)-1] != x.exchange || headEnd(c.ahead.bytes) > 0 {
		return false
	}
	c.last = true
	return true
}
