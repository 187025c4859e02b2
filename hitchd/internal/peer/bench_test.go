package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/certs"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

// BenchmarkForward forwards requests sequentially and in parallel.
func BenchmarkForward(b *testing.B) {
	dir := b.TempDir()
	if err := certs.MakeCA(time.Now(), dir, time.Hour); err != nil {
		b.Fatal(err)
	}
	var keys [2]*certs.Keys
	for i, n := range []string{"norte-a-1", "litoral-a-1"} {
		if err := certs.MakeHost(time.Now(), dir, n, nil, time.Hour); err != nil {
			b.Fatal(err)
		}
		var err error
		if keys[i], err = certs.Open(certs.HostFiles(dir, n)); err != nil {
			b.Fatal(err)
		}
	}
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	body := strings.Repeat("x", 1<<10)
	s := NewServer(keys[0])
	s.HandleCalls(call.DoerFunc(func(context.Context, *call.Request) (*call.Response, error) {
		return &call.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}, nil
	}))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Serve(ctx, conn)
	c := NewClient(keys[1])
	defer c.Close()
	to := member.Host{Name: "norte-a-1", PeerAddr: conn.LocalAddr().String()}
	one := func() {
		r := &call.Request{ID: "r", Cell: place.Cell{Region: "norte", Service: "stock"}, Method: http.MethodGet, Path: "/", Header: http.Header{}, Deadline: clock.Now().Add(time.Minute)}
		a, err := c.Forward(ctx, to, r)
		if err != nil {
			b.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, a.Body); err != nil || n != int64(len(body)) {
			b.Fatal(n, err)
		}
		a.Body.Close()
	}
	b.Run("one by one", func(b *testing.B) {
		for b.Loop() {
			one()
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.RunParallel(func(p *testing.PB) {
			for p.Next() {
				one()
			}
		})
	})
}
