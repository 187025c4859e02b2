package front

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/steer/result"
)

// copySize is the size of the buffers for answers, in bytes.
const copySize = 32 << 10

var buffers = sync.Pool{New: func() any { return new([copySize]byte) }}

// writeAnswer passes the upstream's answer on.
func (f *Front) writeAnswer(w *echo.Response, x *exchange, a *call.Answer) {
	h := w.Header()
	for n, v := range a.Header {
		if !strings.HasPrefix(n, ownPrefix) && n != call.HeaderRequestID {
			h[n] = v
		}
	}
	h.Set(call.HeaderOutcome, result.Done.String())
	h.Set(call.HeaderServer, a.Server)
	w.WriteHeader(a.Status)
	if err := f.copyBody(w, a.Body, h.Get("Content-Length") == ""); err != nil {
		x.outcome, x.reason = result.Unknown, result.ReasonCut
		f.log.Info("answer cut", "request", x.id, "service", x.service, "server", a.Server, "error", err)
		// Ends the connection, so that a cut answer can't pass as whole.
		panic(http.ErrAbortHandler)
	}
}

// copyBody copies the answer. The caller has the stall timeout to take each
// part. Streamed parts are sent on as they come.
func (f *Front) copyBody(w http.ResponseWriter, from io.Reader, streamed bool) error {
	conn := http.NewResponseController(w)
	buffer := buffers.Get().(*[copySize]byte)
	defer buffers.Put(buffer)
	for {
		n, err := from.Read(buffer[:])
		if n > 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(f.limits.StallTimeout))
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if streamed {
				if err := conn.Flush(); err != nil {
					return err
				}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
