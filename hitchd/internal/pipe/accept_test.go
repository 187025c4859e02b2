package pipe

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// exhausted is a listener whose first Accept finds no free file descriptor.
type exhausted struct {
	net.Listener
	calls atomic.Int64
}

func (l *exhausted) Accept() (net.Conn, error) {
	if l.calls.Add(1) == 1 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// A host that ran out of file descriptors once must accept connections again. It stayed
// ready and never took another one.
func TestAcceptAfterLackOfDescriptors(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	port := New(&exhausted{Listener: s.Listener})
	s.Listener = port
	port.Attach(s.Config)
	s.Start()
	defer s.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
	if err != nil {
		t.Fatalf("request after the error: %v, want a response", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusNoContent {
		t.Errorf("status = %d, want 204", res.StatusCode)
	}
}
