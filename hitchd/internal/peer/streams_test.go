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

func TestConnectionsToReplacedHostsAreDropped(t *testing.T) {
	c := NewClient(open(t, makeHost(t, authority(t), "litoral-a-1")))
	defer c.Close()
	now := clock.Now()
	old := member.Host{Name: "norte-a-1", PeerAddr: "127.0.0.1:1"}
	busy := member.Host{Name: "norte-a-2", PeerAddr: "127.0.0.1:2"}
	c.link(now, old)
	first := c.link(now, busy)
	now = now.Add(linkIdle)
	c.link(now, busy)
	now = now.Add(time.Second)
	c.link(now, member.Host{Name: "norte-a-3", PeerAddr: "127.0.0.1:3"})
	if _, ok := c.links[old.Name]; ok {
		t.Error("got the replaced host still, want it dropped")
	}
	if got, want := c.link(now, busy), first; got != want {
		t.Error("got a new connection to a host in use, want the old one")
	}
	moved := busy
	moved.PeerAddr = "127.0.0.1:4"
	if got := c.link(now, moved); got == first {
		t.Error("got the connection to the old address, want a new one")
	}
}
