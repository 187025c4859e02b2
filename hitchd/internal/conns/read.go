package conns

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/clock"
	"magnoliahitch/links/head"
	"magnoliahitch/steer/result"
)

// newChunked returns a writer for the chunked transfer coding.
func newChunked(w io.Writer) io.WriteCloser { return chunked{httputil.NewChunkedWriter(w), w} }

// chunked adds the empty trailer that ends the body, which the writer of
// httputil leaves out.
type chunked struct {
	io.WriteCloser
	raw io.Writer
}

// Close writes the last chunk and the empty trailer.
func (c chunked) Close() error {
	if err := c.WriteCloser.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(c.raw, "\r\n")
	return err
}

// read returns the response to this request. It skips up to maxSkipped responses
// with the id of another request, such as a late second response to an earlier
// one; the connection is not reused then. A response without an id can only belong
// to this request on a connection that has carried no other.
func (x *exchange) read() (*Response, error) {
	for skipped := 0; ; skipped++ {
		res, err := x.readHeader()
		if err != nil {
			return nil, err
		}
		id := res.Header.Get(x.pool.headers.RequestID)
		x.observe(res, id == x.request.ID || id == "" && !x.reused && skipped == 0)
		switch {
		case id == x.request.ID:
			return x.readBody(res, skipped > 0)
		case id == "" && (x.reused || skipped > 0):
			return nil, errNoID
		case id == "":
			return x.readBody(res, false)
		}
		if skipped == maxSkipped || res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
			return nil, errOtherRequest
		}
		x.conn.in.left = maxSkippedBody
		if _, err := io.Copy(io.Discard, head.Body(res)); err != nil {
			return nil, errors.Wrap(err, "skip response to another request")
		}
	}
}

// observe passes the status and header of a response on to the observer of the request,
// if the response is from the server that the request is for. Own tells that it belongs
// to the request, which names that server. A response to another request doesn't tell by
// itself, but comes from the same process as the others on the connection.
func (x *exchange) observe(res *http.Response, own bool) {
	if res.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if own {
		if x.request.Check && x.byOther(res.Header) {
			return
		}
		x.conn.server = x.server
	}
	if x.conn.server == x.server && x.request.OnResponse != nil {
		x.request.OnResponse(res.StatusCode, res.Header)
	}
}

// byOther reports whether the response to a health check names another server than the one
// that was asked.
func (x *exchange) byOther(h http.Header) bool {
	id := h.Get(x.pool.headers.Instance)
	return id != "" && id != x.server
}

// readHeader reads the header of the next final response and skips informational
// ones. It returns [ErrInvalidStatus] for one that is neither, and [ErrInvalidHeader] for one
// with an invalid line.
func (x *exchange) readHeader() (*http.Response, error) {
	x.conn.in.left = maxResponseHeader
	for {
		if err := x.conn.beginHead(); err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		res, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.request.Method})
		if invalid := x.conn.in.invalid; err != nil && invalid != nil {
			// The parser may have another error for the line that was cut off.
			err = invalid
		}
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		switch {
		case call.IsFinal(res.StatusCode):
			return res, nil
		case !call.IsInterim(res.StatusCode, res.Header) || len(res.TransferEncoding) > 0:
			return nil, errors.Wrapf(ErrInvalidStatus, "read answer %q", res.Status)
		}
	}
}

// beginHead begins the check of the next header, whose first bytes may have been read already.
func (c *conn) beginHead() error {
	// It has all bytes that are buffered.
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	c.in.head = &head.Scanner{}
	c.in.scan(buffered)
	return c.in.invalid
}

func (x *exchange) readBody(res *http.Response, skipped bool) (*Response, error) {
	a := &Response{Status: res.StatusCode, Header: res.Header, Length: res.ContentLength, Reused: x.reused, Sent: x.written, quota: x.pool.quota}
	framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	reusable := framed && !res.Close && !skipped
	if n := keepAliveTimeout(res.Header); n > 0 {
		x.conn.idleTimeout = n
	}
	_, outcome, err := x.classify(a)
	if err != nil {
		return nil, err
	}
	if x.request.Check || outcome != result.Done {
		// The header tells all.
		x.end(x.skipBody(res) && framed, reusable)
		return a, nil
	}
	if res.ContentLength > maxResponseBody && x.request.Method != http.MethodHead {
		return nil, errors.Wrapf(errTooLong, "read body of %d bytes", res.ContentLength)
	}
	x.begun = true
	x.conn.in.left = maxResponseBody
	ended, err := a.buffer(head.Body(res))
	if err != nil {
		n := len(a.Body)
		a.Close()
		return nil, errors.Wrapf(err, "read body after %d bytes", n)
	}
	if !ended {
		x.widen(a)
		a.Stream = &stream{Reader: head.Body(res), onEnd: func(err error) { x.end(framed && err == nil, reusable) }}
		return a, nil
	}
	if x.request.Method != http.MethodHead {
		a.Length = int64(len(a.Body))
	}
	x.end(framed, reusable)
	return a, nil
}

// skipBody reads a body that isn't passed on, if it is short and arrives at once, and reports
// whether it did.
func (x *exchange) skipBody(res *http.Response) bool {
	x.conn.in.left = maxSkippedRest
	if err := x.conn.SetReadDeadline(time.Now().Add(skipTime)); err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, head.Body(res)); err != nil {
		return false
	}
	return x.conn.SetReadDeadline(time.Time{}) == nil
}

// buffer reads the body until its end, maxBufferedResponse or the quota's bound. It reports
// whether the body has ended.
func (a *Response) buffer(body io.Reader) (ended bool, err error) {
	size := smallBody
	if a.Length >= 0 {
		// One more byte shows the end.
		size = int(min(a.Length, smallBody-1)) + 1
	}
	a.Body = make([]byte, 0, size)
	for {
		if len(a.Body) == cap(a.Body) && !a.grow() {
			return false, nil
		}
		n, err := body.Read(a.Body[len(a.Body):cap(a.Body)])
		a.Body = a.Body[:len(a.Body)+n]
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// grow doubles the buffer of the body, and reports whether the bounds allow it.
func (a *Response) grow() bool {
	size := min(2*max(cap(a.Body), smallBody/2), maxBufferedResponse)
	if a.Length > int64(cap(a.Body)) {
		size = int(min(int64(size)-1, a.Length)) + 1
	}
	if len(a.Body) == maxBufferedResponse || !a.quota.Take(int64(size)) {
		return false
	}
	b := make([]byte, len(a.Body), size)
	copy(b, a.Body)
	a.quota.Return(a.granted)
	a.Body, a.granted = b, int64(size)
	return true
}

// widen bounds what the kernel holds of the body's rest, by the quota.
func (x *exchange) widen(a *Response) {
	window := wideWindow
	if len(a.Body) == maxBufferedResponse && a.quota.Take(streamCost) {
		a.windowed = streamCost
	} else {
		a.Narrow, x.conn.narrow, window = true, true, narrowWindow
	}
	if c, ok := x.conn.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		// It fails on a connection that is closed, which the next read tells.
		_ = c.SetReadBuffer(window)
	}
}

// end ends the exchange after its response, which may be complete or not. A server that has
// answered before it has the whole body may read on, so that the connection stays until then.
// It isn't reused: a server that doesn't read on would take the next request for the rest.
func (x *exchange) end(complete, reusable bool) {
	x.mu.Lock()
	x.released = complete && x.writing
	wait := x.released
	x.mu.Unlock()
	if !wait {
		x.release(complete, reusable)
	}
}

// endWrite ends the part of the exchange that writes the request.
func (x *exchange) endWrite() {
	x.mu.Lock()
	x.writing = false
	released := x.released
	x.mu.Unlock()
	if released {
		x.release(true, false)
	}
	close(x.written)
}

// abandon closes the connection unless the whole request was written.
func (x *exchange) abandon() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.writing {
		_ = x.conn.Close()
	}
}

// release returns the connection to the pool after a complete exchange if it is reusable, or
// closes it.
func (x *exchange) release(complete, reusable bool) {
	notCanceled := x.stop()
	switch {
	case !complete || !notCanceled || x.writeErr != nil:
		_ = x.conn.Close()
	case !reusable || x.conn.reader.Buffered() > 0:
		x.conn.end()
	case x.request.Stream != nil && x.conn.setUnacked(unackedTimeout) != nil:
		// The server has closed it.
		_ = x.conn.Close()
	default:
		x.pool.put(clock.Now(), x.conn)
	}
}

// classify returns the outcome of the response. The NotRun header proves that the request
// did not run. Without it the outcome of status 421 is unknown. An unsigned success and an
// encoded body are errors with an unknown outcome. Health checks aren't classified.
func (x *exchange) classify(a *Response) (*Response, result.Outcome, error) {
	w := x.pool.headers
	switch {
	case x.request.Check && x.byOther(a.Header):
		return nil, result.Done, errOtherServer
	case x.request.Check:
		return a, result.Done, nil
	case a.Header.Get(w.NotRun) != "" || a.Status == http.StatusMisdirectedRequest:
		x.abandon()
		if a.Header.Get(w.NotRun) == "" {
			return a, result.Unknown, nil
		}
		return a, result.NotRun, nil
	case a.Status >= 200 && a.Status < 300 && !a.Signed(w):
		return nil, result.Unknown, errUnsigned
	case a.Header.Get("Content-Encoding") != "":
		return nil, result.Unknown, errEncoded
	}
	return a, result.Done, nil
}

// keepAliveTimeout returns three quarters of the idle timeout in the server's
// Keep-Alive header, at least 1 ms, or 0 without such a header. The header counts
// whole seconds; with the margin this side stops using the connection before the
// server closes it.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, v := range h["Keep-Alive"] {
		for f := range strings.SplitSeq(v, ",") {
			n, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout=")
			if !ok {
				continue
			}
			if s, err := strconv.Atoi(n); err == nil {
				return max(time.Millisecond, time.Duration(s)*time.Second*3/4)
			}
		}
	}
	return 0
}

// stream is the part of a response body that isn't buffered.
type stream struct {
	io.Reader
	onEnd func(error)
	done  bool
}

// Read reads from the body. The end of the body or an error ends the exchange.
func (s *stream) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b)
	if err != nil && !s.done {
		s.done = true
		if err == io.EOF {
			s.onEnd(nil)
		} else {
			s.onEnd(err)
		}
	}
	return n, err
}

// Close ends the exchange if the body wasn't read completely; the connection is
// closed then.
func (s *stream) Close() error {
	if !s.done {
		s.done = true
		s.onEnd(errors.New("response body was not read to the end"))
	}
	return nil
}

// Reader returns a reader of the complete body.
func (a *Response) Reader() io.Reader {
	if a.Stream == nil {
		return bytes.NewReader(a.Body)
	}
	return io.MultiReader(bytes.NewReader(a.Body), a.Stream)
}
