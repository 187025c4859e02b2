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

// body streams a caller's body within its bounds of size and time.
type body struct {
	reader io.ReadCloser
	conn   *http.ResponseController
	stall  time.Duration

	mu     sync.Mutex
	ended  bool
	reason result.Reason
}

func newBody(w http.ResponseWriter, r io.ReadCloser, l setup.Caller) *body {
	return &body{
		reader: http.MaxBytesReader(w, r, int64(l.MaxBody)),
		conn:   http.NewResponseController(w),
		stall:  l.StallTimeout,
	}
}

// Read reads the next part, for which the caller has the stall timeout. The
// server clears the deadline at the end of the body.
func (b *body) Read(p []byte) (int, error) {
	if !b.arm(time.Now().Add(b.stall)) {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.reader.Read(p)
	if err != nil {
		b.note(err)
	}
	return n, err
}

// arm sets the read deadline of the connection while the request lasts.
func (b *body) arm(t time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		_ = b.conn.SetReadDeadline(t)
	}
	return !b.ended
}

func (b *body) note(err error) {
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

// end keeps late reads off the connection, which serves the next request, and
// returns why the body was cut, if it was.
func (b *body) end() result.Reason {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		b.ended = true
		_ = b.conn.SetReadDeadline(time.Time{})
	}
	return b.reason
}
