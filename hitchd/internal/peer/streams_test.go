package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/member"
)

// TestConcurrentRequestsExceedDefaultStreamLimit keeps more requests in flight to
// a host than QUIC connections allow by default, 100 each.
func TestConcurrentRequestsExceedDefaultStreamLimit(t *testing.T) {
	const waiting = poolSize*100 + 50
	dir := makeAuthority(t)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(openKeys(t, makeHost(t, dir, "norte-a-1")))
	var arrived sync.WaitGroup
	arrived.Add(waiting)
	s.Handle("POST /wait", MessageHandler(func(*http.Request, string) (string, error) {
		arrived.Done()
		arrived.Wait()
		return "", nil
	}))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.Serve(ctx, conn)
	c := NewClient(openKeys(t, makeHost(t, dir, "litoral-a-1")))
	defer c.Close()
	to := member.Host{Name: "norte-a-1", PeerAddr: conn.LocalAddr().String()}
	var g sync.WaitGroup
	for range waiting {
		g.Go(func() {
			if err := c.Call(t.Context(), to, "/wait", "", nil); err != nil {
				t.Error(err)
			}
		})
	}
	g.Wait()
}

func TestConnectionsToReplacedHostsAreClosed(t *testing.T) {
	c := NewClient(openKeys(t, makeHost(t, makeAuthority(t), "litoral-a-1")))
	defer c.Close()
	now := clock.Now()
	old := member.Host{Name: "norte-a-1", PeerAddr: "127.0.0.1:1"}
	busy := member.Host{Name: "norte-a-2", PeerAddr: "127.0.0.1:2"}
	c.pool(now, old)
	first := c.pool(now, busy)
	now = now.Add(poolIdleTimeout)
	c.pool(now, busy)
	now = now.Add(time.Second)
	c.pool(now, member.Host{Name: "norte-a-3", PeerAddr: "127.0.0.1:3"})
	if _, ok := c.pools[old.Name]; ok {
		t.Error("got connections to the replaced host, want them closed")
	}
	if got, want := c.pool(now, busy), first; got != want {
		t.Error("got new connections to a host in use, want the old ones")
	}
	moved := busy
	moved.PeerAddr = "127.0.0.1:4"
	if got := c.pool(now, moved); got == first {
		t.Error("got the connections to the old address, want new ones")
	}
}
