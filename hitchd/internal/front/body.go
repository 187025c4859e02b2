package front

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/hitchd/internal/setup"
	"magnoliahitch/steer/result"
)

// body reads the body of a caller's request and limits its size and the time of
// each read.
type body struct {
	reader io.ReadCloser
	conn   *http.ResponseController
	stall  time.Duration

	mu       sync.Mutex
	detached bool
	reason   result.Reason
}

func newBody(w http.ResponseWriter, r io.ReadCloser, l setup.Caller) *body {
	return &body{
		reader: http.MaxBytesReader(w, r, int64(l.MaxBody)),
		conn:   http.NewResponseController(w),
		stall:  l.StallTimeout,
	}
}

// Read reads the next part of the body, for at most the stall timeout. The HTTP
// server clears the read deadline at the end of the body.
func (b *body) Read(p []byte) (int, error) {
	if !b.setDeadline(time.Now().Add(b.stall)) {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.reader.Read(p)
	if err != nil {
		b.recordCause(err)
	}
	return n, err
}

// setDeadline sets the read deadline of the connection, unless the body is
// detached from it. It reports whether the deadline was set.
func (b *body) setDeadline(t time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.detached {
		_ = b.conn.SetReadDeadline(t)
	}
	return !b.detached
}

// recordCause records why the body was cut short: by the size limit or by the
// stall timeout. Other errors have no reason here.
func (b *body) recordCause(err error) {
	var large *http.MaxBytesError
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case errors.As(err, &large):
		b.reason = result.ReasonTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.reason = result.ReasonSlowCaller
	}
}

// detach clears the read deadline and makes later reads fail, because the
// connection serves the next request by then. It returns why the body was cut
// short, "" if it wasn't.
func (b *body) detach() result.Reason {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.detached {
		b.detached = true
		_ = b.conn.SetReadDeadline(time.Time{})
	}
	return b.reason
}
