package gossip

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/vmihailenco/msgpack/v5"

	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
	"magnoliahitch/steer/member"
)

// Times of the exchange.
const (
	// nearInterval is the time between two datagrams to a host of the region,
	// farInterval the same for other regions.
	nearInterval = 300 * time.Millisecond
	farInterval  = 900 * time.Millisecond
	// silence is how long a host may not be heard before it counts as dead:
	// three datagrams to another region, and one that is late.
	silence = 3 * time.Second
	// forget is how long a silent host is still told of this one.
	forget = time.Minute
)

// maxDatagram bounds a datagram in bytes.
const maxDatagram = 1400

// Versions tell how new a host's copy of the store's tables is.
type Versions struct {
	Operator int64 `msgpack:"operator"`
	Servers  int64 `msgpack:"servers"`
}

// message is a datagram.
type message struct {
	Host     member.Host `msgpack:"host"`
	Versions Versions    `msgpack:"versions"`
}

// peer is what is known of another host.
type peer struct {
	host     member.Host
	addr     *net.UDPAddr
	heard    time.Time
	listed   time.Time
	told     time.Time
	versions Versions
	alive    bool
}

// Gossip exchanges datagrams. It is safe for concurrent use.
type Gossip struct {
	conn     *net.UDPConn
	versions func() Versions
	log      hclog.Logger

	mu    sync.Mutex
	self  member.Host
	peers map[string]*peer
}

// New returns the exchange of the host over the socket.
func New(self member.Host, conn *net.UDPConn, versions func() Versions, log hclog.Logger) *Gossip {
	return &Gossip{self: self, conn: conn, versions: versions, log: log, peers: make(map[string]*peer)}
}

// Row returns this host's row for the hosts' table.
func (g *Gossip) Row() ([]byte, error) { return json.Marshal(g.Self()) }

// Self returns this host.
func (g *Gossip) Self() member.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// Leave tells the others that this host is about to stop.
func (g *Gossip) Leave(now time.Time) {
	g.mu.Lock()
	g.self.Leaving = true
	for _, p := range g.peers {
		p.told = time.Time{}
	}
	g.mu.Unlock()
	g.send(now)
}

// List takes the rows of the hosts' table in.
func (g *Gossip) List(rows map[string]plat.Change) {
	now := clock.Now()
	for key, r := range rows {
		var h member.Host
		if err := json.Unmarshal(r.Value, &h); err != nil || h.Name != key {
			g.log.Warn("row names no host", "key", key, "version", r.Version, "error", err)
			continue
		}
		g.learn(now, h, false)
	}
}

// learn takes a host in, unless a newer incarnation of it is known.
func (g *Gossip) learn(now time.Time, h member.Host, heard bool) *peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h.Name == g.self.Name {
		return nil
	}
	p := g.peers[h.Name]
	if p != nil && h.Incarnation < p.host.Incarnation {
		return nil
	}
	if p == nil || p.host.PeerAddr != h.PeerAddr {
		addr, err := net.ResolveUDPAddr("udp4", h.PeerAddr)
		if err != nil {
			g.log.Warn("address of the host can't be used", "host", h.Name, "address", h.PeerAddr, "error", err)
			return nil
		}
		p = &peer{addr: addr, listed: now}
		g.peers[h.Name] = p
	}
	if h.Incarnation > p.host.Incarnation {
		p.listed = now
	}
	if !heard && h.Incarnation == p.host.Incarnation {
		return p
	}
	p.host = h
	if heard {
		p.heard = now
	}
	return p
}

// Live returns the hosts that are heard and not about to stop, this one
// included unless it is.
func (g *Gossip) Live(now time.Time) []member.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []member.Host
	if !g.self.Leaving {
		out = append(out, g.self)
	}
	for _, p := range g.peers {
		if !p.host.Leaving && now.Sub(p.heard) < silence {
			out = append(out, p.host)
		}
	}
	return out
}

// Newest returns the live host with the newest copy of the operator's or the
// servers' table that is newer than the given versions.
func (g *Gossip) Newest(now time.Time, than Versions) (member.Host, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var best *peer
	for _, p := range g.peers {
		if now.Sub(p.heard) >= silence || p.versions.Operator <= than.Operator && p.versions.Servers <= than.Servers {
			continue
		}
		if best == nil || p.versions.Servers > best.versions.Servers {
			best = p
		}
	}
	if best == nil {
		return member.Host{}, false
	}
	return best.host, true
}

// Receive takes datagrams in until the context ends.
func (g *Gossip) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := g.conn.ReadFromUDP(buffer)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "receive datagrams")
		case err != nil:
			continue
		}
		var m message
		if err := msgpack.Unmarshal(buffer[:n], &m); err != nil {
			g.log.Debug("datagram can't be read", "bytes", n, "error", err)
			continue
		}
		g.take(clock.Now(), m)
	}
}

func (g *Gossip) take(now time.Time, m message) {
	p := g.learn(now, m.Host, true)
	if p == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p.versions = m.Versions
}

// Send sends datagrams until the context ends.
func (g *Gossip) Send(ctx context.Context) error {
	t := time.NewTicker(nearInterval)
	defer t.Stop()
	for {
		g.send(clock.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// send tells the hosts whose turn it is.
func (g *Gossip) send(now time.Time) {
	v := g.versions()
	g.mu.Lock()
	data, err := msgpack.Marshal(message{Host: g.self, Versions: v})
	var to []*net.UDPAddr
	for name, p := range g.peers {
		g.judge(now, p)
		if now.Sub(p.heard) > forget && now.Sub(p.listed) > forget {
			delete(g.peers, name)
			continue
		}
		every := farInterval
		if p.host.Region == g.self.Region {
			every = nearInterval
		}
		// Half an interval allows for a timer that fires early.
		if now.Sub(p.told) >= every-nearInterval/2 {
			p.told = now
			to = append(to, p.addr)
		}
	}
	g.mu.Unlock()
	if err != nil {
		g.log.Error("datagram can't be encoded", "error", err)
		return
	}
	for _, a := range to {
		if _, err := g.conn.WriteToUDP(data, a); err != nil {
			g.log.Debug("datagram was not sent", "to", a, "error", err)
		}
	}
}

// judge logs a host that is lost or regained.
func (g *Gossip) judge(now time.Time, p *peer) {
	alive := now.Sub(p.heard) < silence
	if alive == p.alive {
		return
	}
	p.alive = alive
	if alive {
		g.log.Info("host is heard", "host", p.host.Name, "incarnation", p.host.Incarnation)
		return
	}
	g.log.Warn("host is silent", "host", p.host.Name, "for", now.Sub(p.heard))
}
