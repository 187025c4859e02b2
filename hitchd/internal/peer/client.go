package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/vmihailenco/msgpack/v5"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/member"
)

// Times of the connections between hosts.
const (
	idleTimeout      = 6 * time.Second
	keepAlive        = 2 * time.Second
	handshakeTimeout = 2 * time.Second
)

// maxStreams is the number of requests that one connection carries at once.
// Requests wait in queues, and must not keep others from the connection.
const maxStreams = 1 << 14

// quicConfig returns the configuration of connections between hosts.
func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlive,
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIncomingStreams:   maxStreams,
	}
}

// maxMessage bounds the answer to a message, in bytes.
const maxMessage = 8 << 20

// Client reaches other hosts. A connection to a host is bound to its name and
// address, and the host must prove its name on it.
type Client struct {
	keys Keys

	mu    sync.Mutex
	links map[string]*link
}

// Keys are the keys of this host.
type Keys interface {
	// Client returns the configuration of a connection to the named host.
	Client(name string) *tls.Config
	// Server returns the configuration of the peer port.
	Server() *tls.Config
	// Peer returns the name of the host that sent the request.
	Peer(r *http.Request) (string, error)
}

// linkWidth is the number of connections to a host. One connection handles
// its packets one after another.
const linkWidth = 2

// linkIdle is how long a host may go unused before its connections are
// dropped: longer than any request lasts.
const linkIdle = 2 * maxDeadline

// link is the connections to a host at one address.
type link struct {
	addr       string
	used       time.Time
	next       atomic.Uint32
	transports [linkWidth]*http3.Transport
}

// pick returns the transports in turn.
func (l *link) pick() *http3.Transport {
	return l.transports[l.next.Add(1)%linkWidth]
}

func (l *link) close() error {
	var out []error
	for _, t := range l.transports {
		out = append(out, t.Close())
	}
	return errors.Join(out...)
}

// NewClient returns a client that shows the host's certificate.
func NewClient(keys Keys) *Client {
	return &Client{keys: keys, links: make(map[string]*link)}
}

// Close ends all connections.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []error
	for _, l := range c.links {
		out = append(out, l.close())
	}
	clear(c.links)
	return errors.Join(out...)
}

// roundTrip sends the request over the connection to the host.
func (c *Client) roundTrip(to member.Host, req *http.Request) (*http.Response, error) {
	return c.link(clock.Now(), to).pick().RoundTrip(req)
}

// link returns the connections to the host. A host that comes back at another
// address gets new ones.
func (c *Client) link(now time.Time, to member.Host) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[to.Name]
	if l != nil && l.addr == to.PeerAddr {
		l.used = now
		return l
	}
	if l != nil {
		go l.close()
	}
	c.sweep(now)
	l = &link{addr: to.PeerAddr, used: now}
	for i := range l.transports {
		l.transports[i] = c.transport(to)
	}
	c.links[to.Name] = l
	return l
}

// sweep ends connections that no request can be on any more, as those to hosts
// that were replaced.
func (c *Client) sweep(now time.Time) {
	for n, l := range c.links {
		if now.Sub(l.used) > linkIdle {
			delete(c.links, n)
			go l.close()
		}
	}
}

func (c *Client) transport(to member.Host) *http3.Transport {
	return &http3.Transport{
		QUICConfig:         quicConfig(),
		DisableCompression: true,
		Dial: func(ctx context.Context, addr string, _ *tls.Config, conf *quic.Config) (*quic.Conn, error) {
			// Made for each connection, since keys change.
			keys := c.keys.Client(to.Name)
			keys.NextProtos = []string{http3.NextProtoH3}
			conn, err := quic.DialAddr(ctx, addr, keys, conf)
			if err != nil {
				return nil, &dialError{err}
			}
			return conn, nil
		},
	}
}

// dialError reports that no connection to a host came about, so that nothing
// was sent.
type dialError struct{ err error }

// Error describes the failure.
func (e *dialError) Error() string { return "connect: " + e.err.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.err }

// Tell sends a message to the host and decodes its answer into out, unless
// out is nil.
func (c *Client) Tell(ctx context.Context, to member.Host, path string, in, out any) error {
	body, err := msgpack.Marshal(in)
	if err != nil {
		return errors.Wrapf(err, "encode %s for host %s", path, to.Name)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+to.PeerAddr+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "%s at host %s", path, to.Name)
	}
	res, err := c.roundTrip(to, req)
	if err != nil {
		return errors.Wrapf(err, "%s at host %s", path, to.Name)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxMessage))
	if err != nil {
		return errors.Wrapf(err, "%s at host %s", path, to.Name)
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("%s at host %s: status %d: %s", path, to.Name, res.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := msgpack.Unmarshal(data, out); err != nil {
		return errors.Wrapf(err, "%s at host %s", path, to.Name)
	}
	return nil
}
