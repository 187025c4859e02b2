package conns

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/result"
)

// Words are the header names that hosts and upstream servers agree on.
type Words struct {
	// RequestID names a request; servers repeat it in the answer.
	RequestID string
	// Deadline is the number of milliseconds that the caller still waits.
	Deadline string
	// Expect names the only server that may run the request.
	Expect string
	// NotRun marks the answer of a server that did not run the request.
	NotRun string
	// Signature marks the answers that a server made.
	Signature string
	// Load is a server's count of its running and waiting requests and slots.
	Load string
}

// Sizes of messages in bytes.
const (
	// maxAnswerHeader bounds the header of an answer.
	maxAnswerHeader = 64 << 10
	// maxHeldAnswer is the largest answer that is read whole before it is
	// passed on; longer ones are streamed.
	maxHeldAnswer = 256 << 10
	// inlineBody is the largest body that is written before the answer is read.
	inlineBody = 2 << 10
	// maxForeign is the number of answers to other requests that are skipped.
	maxForeign = 2
)

// Errors of attempts.
var (
	errForeign = errors.New("answer belongs to another request")
	errNoMark  = errors.New("success without the server's signature")
	errEncoded = errors.New("answer has an encoding that was not asked for")
)

// Request is one request for one server.
type Request struct {
	ID       string
	Method   string
	Target   string
	Host     string
	Header   http.Header
	Body     []byte
	Rest     io.Reader
	Length   int64
	Deadline time.Time
	// Check requests are health checks, whose answers have no signature.
	Check bool
	// Exact requests must not be lost on a connection that the server closes.
	Exact bool
}

// Answer is what a server answered.
type Answer struct {
	Status int
	Header http.Header
	// Body is the whole answer, unless Stream has the end of a longer one.
	Body   []byte
	Stream io.ReadCloser
	// Length is the length of the whole answer, -1 when it isn't known.
	Length int64
	// Closed tells that the server had closed idle connections.
	Closed bool
	// Reused tells that the connection had carried other requests.
	Reused bool
}

// Signed reports whether the server's signature is on the answer.
func (a *Answer) Signed(w Words) bool { return a.Header.Get(w.Signature) != "" }

// Send makes one attempt at the server with the id and address. The error of
// an attempt without answer names the step.
func (p *Pool) Send(ctx context.Context, r *Request, id, addr string) (*Answer, result.Outcome, error) {
	c, closed, err := p.get(ctx, clock.Now(), addr, r.Exact)
	if err != nil {
		return nil, result.NotRun, errors.Wrapf(err, "connect to %s at %s", id, addr)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	x := &exchange{pool: p, conn: c, request: r, stop: stop, reused: c.used}
	a, outcome, err := x.run(ctx, id)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, outcome, errors.Wrapf(err, "send to %s at %s", id, addr)
	}
	a.Closed = closed
	return a, outcome, nil
}

// exchange is one request and its answer on a connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	request *Request
	stop    func() bool
	reused  bool
	// written is closed when the request was written or the writing failed.
	written chan struct{}
	failed  error
	sent    int64
}

func (x *exchange) run(ctx context.Context, id string) (*Answer, result.Outcome, error) {
	if ctx.Err() != nil {
		return nil, result.NotRun, ctx.Err()
	}
	// The head of a body of unknown length ends with its first chunk.
	first := x.head(id)
	if x.request.Length >= 0 {
		first = append(first, x.request.Body...)
	}
	x.written = make(chan struct{})
	if x.request.Rest == nil && len(x.request.Body) <= inlineBody {
		x.write(first, nil)
		if x.failed != nil && x.sent == 0 {
			return nil, result.NotRun, x.failed
		}
	} else {
		go x.write(first, x.request.Rest)
	}
	a, err := x.read()
	if err != nil {
		return nil, result.Unknown, err
	}
	return x.judge(a)
}

// write writes the request. A body whose reader fails ends the connection, so
// that the server can't take a part for the whole.
func (x *exchange) write(first []byte, rest io.Reader) {
	defer close(x.written)
	n, err := x.conn.Write(first)
	x.sent = int64(n)
	if err == nil && rest != nil {
		err = x.writeRest(rest)
	}
	if err != nil {
		x.failed = errors.Wrap(err, "write request")
		if rest != nil {
			_ = x.conn.Close()
		}
	}
}

func (x *exchange) writeRest(rest io.Reader) error {
	if x.request.Length >= 0 {
		want := x.request.Length - int64(len(x.request.Body))
		n, err := io.CopyN(x.conn, rest, want)
		if err == nil && n != want {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	w := newChunked(x.conn)
	if _, err := io.Copy(w, rest); err != nil {
		return err
	}
	return w.Close()
}

// hopHeaders concern a single connection.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
}

// IsHop reports whether the header concerns one connection only.
func IsHop(name string) bool { return hopHeaders[name] }

// Named returns the headers that the Connection header adds to those of one connection.
func Named(h http.Header) map[string]bool {
	var out map[string]bool
	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			if out == nil {
				out = make(map[string]bool)
			}
			out[http.CanonicalHeaderKey(strings.TrimSpace(n))] = true
		}
	}
	return out
}

// head returns the request line and header.
func (x *exchange) head(id string) []byte {
	r, w := x.request, x.pool.words
	var b bytes.Buffer
	b.Grow(1 << 10)
	line := func(name, value string) {
		b.WriteString(name)
		b.WriteString(": ")
		b.WriteString(value)
		b.WriteString("\r\n")
	}
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\n")
	line("Host", r.Host)
	named := Named(r.Header)
	for name, values := range r.Header {
		if IsHop(name) || named[name] || name == w.Deadline || name == w.Expect {
			continue
		}
		for _, v := range values {
			line(name, v)
		}
	}
	line(w.Deadline, strconv.FormatInt(max(1, r.Deadline.Sub(clock.Now()).Milliseconds()), 10))
	line(w.Expect, id)
	switch {
	case r.Length > 0 || r.Length == 0 && r.Method != http.MethodGet && r.Method != http.MethodHead:
		line("Content-Length", strconv.FormatInt(r.Length, 10))
	case r.Length < 0:
		line("Transfer-Encoding", "chunked")
	}
	b.WriteString("\r\n")
	if r.Length < 0 && len(r.Body) > 0 {
		b.WriteString(strconv.FormatInt(int64(len(r.Body)), 16) + "\r\n")
		b.Write(r.Body)
		b.WriteString("\r\n")
	}
	return b.Bytes()
}
