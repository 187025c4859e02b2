package edge

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxHeldEnd is how long the end of a response without a length waits while nothing of
	// the request's body arrives or is taken.
	maxHeldEnd = 500 * time.Millisecond
	// The rest of a body that no server gets is read after the response until nothing
	// arrives for readAwayTime, for at most maxReadAway. Unread bytes at the close would reset
	// the connection, and the caller could lose that response.
	readAwayTime = 500 * time.Millisecond
	maxReadAway  = 2 * time.Second
	// readAwaySize is the number of bytes that are read at a time.
	readAwaySize = 16 << 10
)

// errGivenUp is the error of reading a body after its end or after it was given up.
var errGivenUp = errors.New("request body was given up")

// callerBody is the part of a caller's body that isn't buffered. The goroutine that sends it
// to a server is its only reader until it is given up, so that all bytes and the end that
// reach a server are the caller's.
type callerBody struct {
	conn *http.ResponseController
	// limited is the body up to the configured limit, whole the same body without one.
	limited, whole io.Reader
	// read is the number of bytes that were read.
	read    atomic.Int64
	givenUp atomic.Bool
	// ended is set once the end of the body was read.
	ended atomic.Bool
	// done is set by endBody.
	done bool

	// mu is held during each read.
	mu sync.Mutex
	// broken is set once reading the body failed. The connection can't carry another request
	// then.
	broken bool
}

// newCallerBody returns the body of the request whose response w is. From now on the HTTP
// server leaves the body alone until the handler returns.
func newCallerBody(w http.ResponseWriter, limited, whole io.Reader) (*callerBody, error) {
	b := &callerBody{conn: http.NewResponseController(w), limited: limited, whole: whole}
	if err := b.conn.EnableFullDuplex(); err != nil {
		return nil, errors.Wrap(err, "read body beside the response")
	}
	return b, nil
}

// Read reads from the body. It fails after the body was given up.
func (b *callerBody) Read(p []byte) (int, error) {
	if b.givenUp.Load() {
		return 0, errGivenUp
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.givenUp.Load() {
		return 0, errGivenUp
	}
	n, err := b.limited.Read(p)
	b.record(n, err)
	return n, err
}

func (b *callerBody) record(n int, err error) {
	b.read.Add(int64(n))
	var tooLong *http.MaxBytesError
	switch {
	case err == io.EOF:
		b.ended.Store(true)
	case err != nil && !errors.As(err, &tooLong):
		b.broken = true
	}
}

// await waits until the request is sent or the context ends. If the end of the response is
// held meanwhile, it also ends when the body makes no progress.
func (b *callerBody) await(ctx context.Context, sent <-chan struct{}, held bool) {
	var tick <-chan time.Time
	if held {
		t := time.NewTicker(maxHeldEnd)
		defer t.Stop()
		tick = t.C
	}
	for before := b.read.Load(); ; {
		select {
		case <-sent:
			return
		case <-ctx.Done():
			return
		case <-tick:
		}
		now := b.read.Load()
		if now == before {
			return
		}
		before = now
	}
}

// giveUp makes further reads fail, and one that waits for the caller from the time on. It
// reports whether the body has ended before.
func (b *callerBody) giveUp(until time.Time) bool {
	b.givenUp.Store(true)
	if !b.mu.TryLock() {
		_ = b.conn.SetReadDeadline(until)
		b.mu.Lock()
	}
	defer b.mu.Unlock()
	return b.ended.Load() && !b.broken
}

// past is a time that has passed.
var past = time.Unix(1, 0)

// abort gives the body up unless endBody has ended it. The HTTP server would wait for the rest
// of the body before it closes the connection.
func (b *callerBody) abort() {
	if !b.done && !b.giveUp(past) {
		_ = b.conn.SetReadDeadline(past)
	}
}

// readAway reads the rest of a body that was given up. It reports whether the body has ended.
func (b *callerBody) readAway(start time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for p := make([]byte, readAwaySize); !b.ended.Load() && !b.broken; {
		until := start.Add(maxReadAway)
		if silent := time.Now().Add(readAwayTime); silent.Before(until) {
			until = silent
		}
		_ = b.conn.SetReadDeadline(until)
		b.record(b.whole.Read(p))
	}
	return b.ended.Load() && !b.broken
}

// closeAfter closes the connection after the response, whose head may have been written. No
// more of the caller's body is read before that.
func (b *callerBody) closeAfter(w http.ResponseWriter) {
	_ = b.conn.SetReadDeadline(past)
	for u, ok := w.(interface{ Unwrap() http.ResponseWriter }); ok; u, ok = w.(interface{ Unwrap() http.ResponseWriter }) {
		w = u.Unwrap()
	}
	// Reading beyond a limit is the way to close the connection after the head was written.
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, io.NopCloser(strings.NewReader("-")), 0))
}

// endBody ends the body of a request after its response. If that is a server's, the server
// gets the rest of the body until the request's deadline. What no server gets is read away for a
// while, or the connection closed.
func (e *Edge) endBody(ctx context.Context, w http.ResponseWriter, x *exchange) {
	b := x.body
	defer func() { b.done = true }()
	var sent <-chan struct{}
	if x.passedOn != nil {
		sent = x.passedOn.Sent
	}
	wait := sent != nil && !isClosed(sent)
	if wait || !b.ended.Load() {
		_ = b.conn.Flush()
	}
	if wait {
		b.await(ctx, sent, x.passedOn.Length < 0)
	}
	passedOn, start := b.read.Load(), time.Now()
	if b.giveUp(start.Add(readAwayTime)) {
		return
	}
	ended := b.readAway(start)
	e.log.Info("rest of a body was not passed on", "request", x.id, "service", x.service, "server", x.lastChoice.Server.ID, "bodyBytes", x.request.Length,
		"passedOnBytes", int64(len(x.request.Body))+passedOn, "readAwayBytes", b.read.Load()-passedOn, "tookMs", ms(time.Since(start)), "ended", ended)
	if !ended {
		b.closeAfter(w)
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
