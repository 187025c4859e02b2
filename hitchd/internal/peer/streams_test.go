package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"magnoliahitch/steer/member"
)

// TestManyRequestsWaitAtOnce has more requests wait at a host than a QUIC
// connection admits by default, 100.
func TestManyRequestsWaitAtOnce(t *testing.T) {
	const waiting = linkWidth*100 + 50
	dir := authority(t)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(open(t, makeHost(t, dir, "norte-a-1")))
	var arrived sync.WaitGroup
	arrived.Add(waiting)
	s.Handle("POST /wait", Message(func(*http.Request, string) (string, error) {
		arrived.Done()
		arrived.Wait()
		return "", nil
	}))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.Serve(ctx, conn)
	c := NewClient(open(t, makeHost(t, dir, "litoral-a-1")))
	defer c.Close()
	to := member.Host{Name: "norte-a-1", PeerAddr: conn.LocalAddr().String()}
	var g sync.WaitGroup
	for range waiting {
		g.Go(func() {
			if err := c.Tell(t.Context(), to, "/wait", "", nil); err != nil {
				t.Error(err)
			}
		})
	}
	g.Wait()
}
