package conns

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"magnoliahitch/links/clock"
	"magnoliahitch/links/head"
	"magnoliahitch/steer/quota"
	"magnoliahitch/steer/result"
)

// Headers holds the names of the headers between hosts and upstream servers. Each
// field is described by the value of its header.
type Headers struct {
	// RequestID is the id of a request; servers repeat it in the response.
	RequestID string
	// Deadline is the time until the caller's deadline in milliseconds.
	Deadline string
	// Expect is the id of the only server that may run the request.
	Expect string
	// NotRun marks the response of a server that did not run the request.
	NotRun string
	// Signature marks the responses that a server made itself.
	Signature string
	// Load holds a server's numbers of running requests, waiting requests and slots.
	Load string
	// Instance is the id of the server that sent a response to a health check.
	Instance string
}

// Sizes of messages in bytes. A server in trouble may send without end, and an
// exchange must take less than 1 MB of memory.
const (
	// maxResponseHeader bounds the header of a response together with the
	// informational responses before it.
	maxResponseHeader = 64 << 10
	// maxResponseBody bounds the body of a response. Bodies are streamed, so that it
	// is far above the length of any body that arrives before a deadline.
	maxResponseBody = 1 << 30
	// maxSkippedBody bounds the body of a response to another request.
	maxSkippedBody = 64 << 10
	// maxSkippedRest and skipTime bound the body of a response that its header decides, in
	// bytes and in time. A longer one costs the connection.
	maxSkippedRest = 4 << 10
	skipTime       = 20 * time.Millisecond
	// maxBufferedResponse is the number of body bytes that are read before a
	// response is returned, if the quota allows. A body of this length or more is streamed.
	maxBufferedResponse = 256 << 10
	// smallBody is the number of body bytes that are buffered without the quota.
	smallBody = 4 << 10
	// wideWindow and narrowWindow are the receive buffers of connections with a streamed
	// body, in bytes. The kernel doubles them. Without them a body that its caller reads
	// slowly fills up to the kernel's limit, some MB.
	wideWindow   = 128 << 10
	narrowWindow = 32 << 10
	// widePart and narrowPart are the numbers of bytes of a streamed body that are read for
	// a write. Those of wide ones are in the quota, with what the kernel holds.
	widePart   = 32 << 10
	narrowPart = 4 << 10
	streamCost = 2*wideWindow + widePart
	// maxInlineBody is the largest request body that is written before the response
	// is read. Longer ones are written concurrently.
	maxInlineBody = 2 << 10
	// maxSkipped is the number of responses to other requests that are skipped
	// before an attempt fails.
	maxSkipped = 2
)

// ErrFenced is the error of an attempt that [Request.Fenced] stopped.
var ErrFenced = errors.New("choice of the server is out of date")

// ErrIdleClosed is the error of an attempt that found only idle connections which the
// server had closed before their idle timeout, as a server does that restarts. Nothing
// was sent.
var ErrIdleClosed = errors.New("server closed all idle connections")

// ErrExpired is the error of an attempt that had a connection only after the deadline of the
// request. Nothing was sent.
var ErrExpired = errors.New("deadline passed before the first byte")

// ErrUnfinished is the error of an attempt whose response had begun but not ended at the
// deadline, although the server had the complete request.
var ErrUnfinished = errors.New("answer didn't end before the deadline")

// ErrInvalidStatus is the error of an attempt whose response has no status of a response to a
// request. What follows on the connection can't be told.
var ErrInvalidStatus = errors.New("answer has no valid status")

// ErrInvalidHeader is the error of an attempt whose response has an invalid line in its header,
// or an invalid trailer.
var ErrInvalidHeader = head.ErrInvalid

// Errors of attempts.
var (
	errOtherRequest = errors.New("answer belongs to another request")
	errOtherServer  = errors.New("another server answered the health check")
	errNoID         = errors.New("answer on a reused connection has no request id")
	errTooLong      = errors.New("answer exceeds its limit")
	errUnsigned     = errors.New("success without the server's signature")
	errEncoded      = errors.New("response has a Content-Encoding header; want an unencoded body")
)

// Request is a request for one server. Body is the buffered start of the body,
// Stream the remainder to be sent or nil, and Length the length of both in
// bytes, negative if unknown. Stream has no other reader until [Response.Sent] is
// closed, or until its reads fail.
type Request struct {
	ID       string
	Method   string
	Target   string
	Host     string
	Header   http.Header
	Body     []byte
	Stream   io.Reader
	Length   int64
	Deadline time.Time
	// Check marks a health check, whose response has no signature. It is also sent after
	// the server closed all idle connections.
	Check bool
	// Fenced reports that the choice of the server is no longer valid; nil means never.
	// It is called right before the first byte is written.
	Fenced func() bool
	// OnResponse is called with the status and header of each response that the server
	// sends on the connection, also of one that belongs to another request and is skipped;
	// nil for no call. Responses of another server at the address are left out.
	OnResponse func(status int, h http.Header)
	// NonIdempotent marks a request that isn't idempotent. It only reuses
	// connections that were idle for a short time.
	NonIdempotent bool
}

// Response is the response of a server. It must be closed.
type Response struct {
	Status int
	Header http.Header
	// Body is the complete body, or its start when Stream has the rest.
	Body   []byte
	Stream io.ReadCloser
	// Length is the length of the complete body in bytes, -1 if it isn't known. That of
	// a response to HEAD is the one that the server announced.
	Length int64
	// StaleClosed reports that the server had closed idle connections before their
	// idle timeout, or had sent unexpected bytes on them.
	StaleClosed bool
	// Reused reports that the connection had carried other requests.
	Reused bool
	// Sent is closed once the whole request has been written, or writing it failed. A server
	// may respond before, and read the rest of the body later.
	Sent <-chan struct{}
	// Narrow reports that Stream has only what the next write needs, since the host holds
	// as much for other responses as it may.
	Narrow bool

	// granted is the number of bytes of the quota that Body has, windowed that of Stream.
	quota             *quota.Quota
	granted, windowed int64
}

// PartSize returns the number of bytes of Stream to be read for a write.
func (a *Response) PartSize() int {
	if a.Narrow {
		return narrowPart
	}
	return widePart
}

// FreeBody discards the buffered body, which has been passed on.
func (a *Response) FreeBody() {
	a.Body = nil
	if a.granted > 0 {
		a.quota.Return(a.granted)
		a.granted = 0
	}
}

// Close discards the response. If its body wasn't read to the end, its connection is closed.
func (a *Response) Close() {
	if a.Stream != nil {
		// Its Close reports no error.
		_ = a.Stream.Close()
		a.Stream = nil
	}
	a.FreeBody()
	if a.windowed > 0 {
		a.quota.Return(a.windowed)
		a.windowed = 0
	}
}

// Signed reports whether the response has the server's signature.
func (a *Response) Signed(w Headers) bool { return a.Header.Get(w.Signature) != "" }

// Send sends the request once to the server with the id and address. Without a
// usable response it returns an error and an outcome that reports whether the
// server can have run the request.
func (p *Pool) Send(ctx context.Context, r *Request, id, addr string) (*Response, result.Outcome, error) {
	c, closed, dirty := p.idleConn(clock.Now(), addr, r)
	var err error
	switch {
	case c != nil:
	case closed && !r.Check:
		err = ErrIdleClosed
	default:
		c, err = p.open(ctx, addr)
	}
	if err != nil {
		return nil, result.NotRun, errors.Wrapf(err, "connect to %s at %s", id, addr)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	x := &exchange{pool: p, conn: c, request: r, server: id, stop: stop, reused: c.reused}
	a, outcome, err := x.run(ctx)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, outcome, errors.Wrapf(err, "send to %s at %s", id, addr)
	}
	a.StaleClosed = closed || dirty
	return a, outcome, nil
}

// exchange is one request and its response on a connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	request *Request
	// server is the id of the server that the request is for.
	server       string
	stop         func() bool
	reused       bool
	writeErr     error
	bytesWritten int64
	// written is closed when the request has been written or writing it failed.
	written chan struct{}
	// mu guards writing and released. Writing is set while the request is written, released
	// when its response ended meanwhile.
	mu                sync.Mutex
	writing, released bool
	// begun is set when the header of the response has arrived.
	begun bool
	// streamErr is the error of reading the rest of the body, or of writing it.
	streamErr atomic.Pointer[error]
}

func (x *exchange) run(ctx context.Context) (*Response, result.Outcome, error) {
	if ctx.Err() != nil {
		return nil, result.NotRun, ctx.Err()
	}
	if x.request.Fenced != nil && x.request.Fenced() {
		return nil, result.NotRun, ErrFenced
	}
	// The timer of the context fires late in a process that runs late.
	if !clock.Now().Before(x.request.Deadline) {
		return nil, result.NotRun, ErrExpired
	}
	if x.request.Stream != nil {
		if err := x.conn.setUnacked(x.request.Deadline.Sub(clock.Now()) + unackedTimeout); err != nil {
			return nil, result.NotRun, errors.Wrap(err, "set timeout of unacknowledged bytes")
		}
	}
	x.conn.carried = append(x.conn.carried, xxhash.Sum64String(x.request.ID))
	// A body of unknown length is sent in chunks. The head then includes the chunk of
	// the buffered bytes.
	head := x.encodeHead()
	if x.request.Length >= 0 {
		head = append(head, x.request.Body...)
	}
	x.written, x.writing = make(chan struct{}), true
	if x.request.Stream == nil && len(x.request.Body) <= maxInlineBody {
		x.write(head, nil)
		if x.writeErr != nil && x.bytesWritten == 0 {
			return nil, result.NotRun, x.writeErr
		}
	} else {
		go x.write(head, x.request.Stream)
	}
	a, err := x.read()
	if err != nil {
		if cause := x.streamErr.Load(); cause != nil {
			err = *cause
		} else if x.begun && x.sent() && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			err = errors.Wrap(ErrUnfinished, err.Error())
		}
		return nil, result.Unknown, err
	}
	return x.classify(a)
}

// sent reports whether the complete request has been written.
func (x *exchange) sent() bool {
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
		return false
	}
}

// write writes the request. If reading the streamed body fails, it closes the connection,
// so that the server can't take a truncated body for a complete one. If the server stops
// reading, its response may still be read.
func (x *exchange) write(head []byte, rest io.Reader) {
	n, err := x.conn.Write(head)
	x.bytesWritten = int64(n)
	from := &source{Reader: rest}
	if err == nil && rest != nil {
		err = x.writeRest(from)
	}
	if err != nil {
		x.writeErr = errors.Wrap(err, "write request")
		if rest != nil {
			x.streamErr.Store(&x.writeErr)
		}
		if from.err != nil {
			_ = x.conn.Close()
		}
	}
	x.endWrite()
}

func (x *exchange) writeRest(from *source) error {
	if x.request.Length >= 0 {
		remaining := x.request.Length - int64(len(x.request.Body))
		n, err := io.CopyN(x.conn, from, remaining)
		if n < remaining && errors.Is(err, io.EOF) {
			from.err = io.ErrUnexpectedEOF
			err = from.err
		}
		return err
	}
	w := newChunked(x.conn)
	if _, err := io.Copy(w, from); err != nil {
		return err
	}
	return w.Close()
}

// source reads the streamed part of a request's body and keeps the error that broke it off.
type source struct {
	io.Reader
	err error
}

// Read reads from the body.
func (s *source) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != nil && err != io.EOF {
		s.err = err
	}
	return n, err
}

// hopHeaders are the headers that are not forwarded: hop-by-hop headers, and
// those that are written anew for each connection.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
}

// IsHopByHop reports whether the header with the canonical name concerns one
// connection only and is not forwarded.
func IsHopByHop(name string) bool { return hopHeaders[name] }

// ConnectionHeaders returns the canonical names of the headers that the
// Connection header lists as hop-by-hop, nil for none.
func ConnectionHeaders(h http.Header) map[string]bool {
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

// encodeHead returns the request line and header and, for a body of unknown length, the
// chunk of its buffered bytes.
func (x *exchange) encodeHead() []byte {
	r, w := x.request, x.pool.headers
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
	perConnection := ConnectionHeaders(r.Header)
	for name, values := range r.Header {
		if IsHopByHop(name) || perConnection[name] || name == w.Deadline || name == w.Expect {
			continue
		}
		for _, v := range values {
			line(name, v)
		}
	}
	line(w.Deadline, strconv.FormatInt(max(1, r.Deadline.Sub(clock.Now()).Milliseconds()), 10))
	line(w.Expect, x.server)
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
