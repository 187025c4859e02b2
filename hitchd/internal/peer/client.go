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

// Timeouts of the connections between hosts. Keep-alive packets are sent three
// times within the idle timeout.
const (
	idleTimeout      = 6 * time.Second
	keepAlive        = 2 * time.Second
	handshakeTimeout = 2 * time.Second
)

// maxStreams is the number of concurrent requests on one connection. It is far
// above QUIC's default of 100, because requests that wait in queues hold their
// streams and must not block others.
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

// maxMessageSize bounds the encoded size of a message and of its response, in bytes.
const maxMessageSize = 8 << 20

// Client sends messages and requests to other hosts. It is safe for concurrent
// use. Connections are kept for each host name and address, and the host must
// present a certificate with that name.
type Client struct {
	keys Keys

	mu    sync.Mutex
	pools map[string]*pool
}

// Keys provides the TLS configurations with this host's certificate.
type Keys interface {
	// Client returns the TLS configuration of a connection to the named host.
	Client(name string) *tls.Config
	// Server returns the TLS configuration of the peer port.
	Server() *tls.Config
	// Peer returns the name in the certificate of the host that sent the request,
	// an error if the certificate isn't valid any more.
	Peer(r *http.Request) (string, error)
}

// poolSize is the number of connections to a host. A connection processes its
// packets sequentially, so requests are spread over several.
const poolSize = 2

// poolIdleTimeout is the time without a new request after which the connections
// to a host are closed. It exceeds the longest duration of a request, so that none
// is in flight then.
const poolIdleTimeout = 2 * maxDeadline

// pool holds the connections to a host at one address.
type pool struct {
	addr       string
	lastUsed   time.Time
	next       atomic.Uint32
	transports [poolSize]*http3.Transport
}

// nextTransport returns the transports in round-robin order.
func (p *pool) nextTransport() *http3.Transport {
	return p.transports[p.next.Add(1)%poolSize]
}

func (p *pool) close() error {
	var out []error
	for _, t := range p.transports {
		out = append(out, t.Close())
	}
	return errors.Join(out...)
}

// NewClient returns a client that presents the host's certificate. Connections are
// made at the first request to a host.
func NewClient(keys Keys) *Client {
	return &Client{keys: keys, pools: make(map[string]*pool)}
}

// Close closes all connections.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []error
	for _, p := range c.pools {
		out = append(out, p.close())
	}
	clear(c.pools)
	return errors.Join(out...)
}

// roundTrip sends the request over one of the connections to the host.
func (c *Client) roundTrip(to member.Host, req *http.Request) (*http.Response, error) {
	return c.pool(clock.Now(), to).nextTransport().RoundTrip(req)
}

// pool returns the connections to the host. If the host's address changed, the
// connections to the old address are closed and new ones are used. Idle
// connections to other hosts are closed whenever a pool is added.
func (c *Client) pool(now time.Time, to member.Host) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[to.Name]
	if p != nil && p.addr == to.PeerAddr {
		p.lastUsed = now
		return p
	}
	if p != nil {
		go p.close()
	}
	c.closeIdle(now)
	p = &pool{addr: to.PeerAddr, lastUsed: now}
	for i := range p.transports {
		p.transports[i] = c.newTransport(to)
	}
	c.pools[to.Name] = p
	return p
}

// closeIdle closes connections that were unused for longer than
// [poolIdleTimeout], such as those to hosts that were replaced.
func (c *Client) closeIdle(now time.Time) {
	for n, p := range c.pools {
		if now.Sub(p.lastUsed) > poolIdleTimeout {
			delete(c.pools, n)
			go p.close()
		}
	}
}

// newTransport returns a transport to the host. Its dial errors are of type
// [dialError].
func (c *Client) newTransport(to member.Host) *http3.Transport {
	return &http3.Transport{
		QUICConfig:         quicConfig(),
		DisableCompression: true,
		Dial: func(ctx context.Context, addr string, _ *tls.Config, conf *quic.Config) (*quic.Conn, error) {
			// Keys may be reloaded, so each connection gets its own TLS configuration.
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

// dialError reports that no connection to a host could be made, so that no
// request was sent.
type dialError struct{ err error }

// Error returns the cause's text with the step in front of it.
func (e *dialError) Error() string { return "connect: " + e.err.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.err }

// Call sends a message to the host and decodes the response into out, unless
// out is nil. It returns an error if the host can't be reached or the status of
// its response isn't 200.
func (c *Client) Call(ctx context.Context, to member.Host, path string, in, out any) error {
	body, err := msgpack.Marshal(in)
	if err != nil {
		return errors.Wrapf(err, "encode %s for host %s", path, to.Name)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+to.PeerAddr+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "build %s for host %s", path, to.Name)
	}
	res, err := c.roundTrip(to, req)
	if err != nil {
		return errors.Wrapf(err, "send %s to host %s", path, to.Name)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxMessageSize))
	if err != nil {
		return errors.Wrapf(err, "read response to %s of host %s", path, to.Name)
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("send %s to host %s: status %d, want 200: %s", path, to.Name, res.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := msgpack.Unmarshal(data, out); err != nil {
		return errors.Wrapf(err, "decode response to %s of host %s", path, to.Name)
	}
	return nil
}
