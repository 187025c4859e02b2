package edge

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"github.com/go-faster/errors"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/steer/pick"
	"magnoliahitch/steer/result"
)

// A host that runs late gets no connection within its timeout. Taken for the failure of
// servers, that ejects one after the other and makes the others suspect.
func TestLateHostBlamesNoServer(t *testing.T) {
	timeout := errors.Wrap(&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, "connect")
	refused := errors.Wrap(&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, "connect")
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		name     string
		ctx      context.Context
		response *conns.Response
		outcome  result.Outcome
		err      error
		late     bool
		want     pick.Result
	}{
		{"no connection in time", t.Context(), nil, result.NotRun, timeout, false, pick.ConnectFailed},
		{"no connection in time at a late host", t.Context(), nil, result.NotRun, timeout, true, pick.Abandoned},
		{"refused connection at a late host", t.Context(), nil, result.NotRun, refused, true, pick.ConnectFailed},
		{"lost connection at a late host", t.Context(), nil, result.Unknown, refused, true, pick.ConnectionLost},
		{"caller left", ended, nil, result.NotRun, timeout, false, pick.Abandoned},
		{"refusal", t.Context(), &conns.Response{Status: http.StatusServiceUnavailable}, result.NotRun, nil, true, pick.Shed},
	} {
		if got := classify(c.ctx, c.response, c.outcome, c.err, c.late); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
