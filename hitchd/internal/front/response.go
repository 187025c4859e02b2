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

// copySize is the size of the buffers through which responses are copied, in
// bytes.
const copySize = 32 << 10

var buffers = sync.Pool{New: func() any { return new([copySize]byte) }}

// writeResponse forwards the response of the upstream to the caller. The
// headers of this system and the request id are set by the host, never taken
// from the upstream.
func (f *Front) writeResponse(w *echo.Response, x *exchange, a *call.Response) {
	h := w.Header()
	for n, v := range a.Header {
		if !strings.HasPrefix(n, headerPrefix) && n != call.HeaderRequestID {
			h[n] = v
		}
	}
	h.Set(call.HeaderOutcome, result.Done.String())
	h.Set(call.HeaderServer, a.Server)
	w.WriteHeader(a.Status)
	if err := f.copyBody(w, a.Body, h.Get("Content-Length") == ""); err != nil {
		x.outcome, x.reason = result.Unknown, result.ReasonResponseCut
		f.log.Info("response cut short", "request", x.id, "service", x.service, "server", a.Server, "error", err)
		// Closes the connection, so that the caller can't take a truncated
		// response for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// copyBody copies the body of a response. The caller must accept each part
// within the stall timeout. Parts of a streamed body are flushed as they
// arrive.
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
