package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// serveCalls starts a server with next as the handler of forwarded requests. It
// returns a client and the server's host.
func serveCalls(t *testing.T, next call.Doer) (*Client, member.Host) {
	t.Helper()
	dir := makeAuthority(t)
	keys := openKeys(t, makeHost(t, dir, "norte-a-1"))
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(keys)
	s.HandleCalls(next)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- s.Serve(ctx, conn) }()
	c := NewClient(keys)
	t.Cleanup(func() {
		_ = c.Close()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return c, member.Host{Name: "norte-a-1", PeerAddr: conn.LocalAddr().String()}
}

func forwarded(id string, body io.Reader) *call.Request {
	return &call.Request{
		ID:       id,
		Cell:     place.Cell{Region: "norte", Service: "care"},
		Method:   http.MethodGet,
		Path:     "/item",
		Header:   http.Header{},
		Body:     body,
		Deadline: clock.Now().Add(time.Minute),
	}
}

// brokenBody returns a body that fails after n bytes, like that of an upstream
// that crashes.
func brokenBody(n int) io.ReadCloser {
	return io.NopCloser(io.MultiReader(bytes.NewReader(make([]byte, n)), failingReader{}))
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestForwardMatchesResponsesToRequests sends many requests at once over the
// shared connections and checks that each gets its own response.
func TestForwardMatchesResponsesToRequests(t *testing.T) {
	c, host := serveCalls(t, call.DoerFunc(func(_ context.Context, r *call.Request) (*call.Response, error) {
		in, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		out := strings.Repeat(r.ID+string(in), 5000)
		return &call.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(out))}, nil
	}))
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			id := fmt.Sprintf("request-%d", i)
			a, err := c.Forward(t.Context(), host, forwarded(id, strings.NewReader("body of "+id)))
			if err != nil {
				t.Error(err)
				return
			}
			defer a.Body.Close()
			got, err := io.ReadAll(a.Body)
			if want := strings.Repeat(id+"body of "+id, 5000); err != nil || string(got) != want {
				t.Errorf("%s: got %d bytes, %v, want its own response of %d bytes", id, len(got), err, len(want))
			}
		})
	}
	wg.Wait()
}

func TestForwardCarriesObjectAndScope(t *testing.T) {
	seen := make(chan call.Request, 1)
	c, host := serveCalls(t, call.DoerFunc(func(_ context.Context, r *call.Request) (*call.Response, error) {
		seen <- *r
		return &call.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}, nil
	}))
	r := forwarded("r", http.NoBody)
	r.Object, r.Scope = "velvet", "cloths.example"
	a, err := c.Forward(t.Context(), host, r)
	if err != nil {
		t.Fatal(err)
	}
	_ = a.Body.Close()
	got := <-seen
	if got.Object != r.Object || got.Scope != r.Scope || len(got.Header) > 0 && got.Header.Get(headerScope) != "" {
		t.Errorf("object %q, scope %q, header %v, want the request's values and no header of the scope", got.Object, got.Scope, got.Header)
	}
}

func TestForwardReportsTruncatedResponse(t *testing.T) {
	for _, n := range []int{0, 1, 100_000} {
		c, host := serveCalls(t, call.DoerFunc(func(context.Context, *call.Request) (*call.Response, error) {
			return &call.Response{Status: http.StatusOK, Header: http.Header{}, Body: brokenBody(n)}, nil
		}))
		a, err := c.Forward(t.Context(), host, forwarded("a", nil))
		if err == nil {
			_, err = io.ReadAll(a.Body)
		}
		if err == nil {
			t.Errorf("truncated after %d bytes: got a complete response, want an error", n)
		}
	}
}

func TestForwardDoesNotSendTruncatedRequest(t *testing.T) {
	c, host := serveCalls(t, call.DoerFunc(func(context.Context, *call.Request) (*call.Response, error) {
		t.Error("got a request, want none")
		return nil, io.ErrUnexpectedEOF
	}))
	_, err := c.Forward(t.Context(), host, forwarded("a", brokenBody(1000)))
	if got, want := result.OutcomeOf(err), result.NotRun; got != want {
		t.Errorf("got %s (%v), want %s", got, err, want)
	}
}

func TestForwardReturnsRefusalOfHost(t *testing.T) {
	want := result.NewNotRun(result.ReasonQueueFull, "admit request", "norte-a-1").WithRetryAfter(1500 * time.Millisecond)
	c, host := serveCalls(t, call.DoerFunc(func(context.Context, *call.Request) (*call.Response, error) { return nil, want }))
	_, err := c.Forward(t.Context(), host, forwarded("a", nil))
	var got *result.Error
	if !errors.As(err, &got) || got.Error() != want.Error() || got.RetryAfter != want.RetryAfter {
		t.Errorf("got %v, want %v", err, want)
	}
}

func TestForwardToUnusedAddressIsNotRun(t *testing.T) {
	c, host := serveCalls(t, nil)
	free, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	host.PeerAddr = free.LocalAddr().String()
	_ = free.Close()
	_, err = c.Forward(t.Context(), host, forwarded("a", nil))
	if got, want := result.OutcomeOf(err), result.NotRun; got != want {
		t.Errorf("got %s (%v), want %s", got, err, want)
	}
}

func TestCheckedBodyVerifiesDigest(t *testing.T) {
	digest := newBodyDigest()
	_, _ = digest.Write([]byte("whole"))
	for _, tt := range []struct {
		name, body, digest string
		want               error
	}{
		{"complete", "whole", digest.String(), nil},
		{"truncated", "whol", digest.String(), errBodyMismatch},
		{"altered", "whale", digest.String(), errBodyMismatch},
		{"no digest", "whole", "", errBodyMismatch},
	} {
		b := &checkedBody{
			ReadCloser: io.NopCloser(strings.NewReader(tt.body)),
			computed:   newBodyDigest(),
			expected:   func() string { return tt.digest },
		}
		if _, got := io.ReadAll(b); !errors.Is(got, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
