package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/vmihailenco/msgpack/v5"

	"magnoliahitch/steer/member"
)

// Times of the connections between hosts.
const (
	idleTimeout      = 15 * time.Second
	keepAlive        = 5 * time.Second
	handshakeTimeout = 2 * time.Second
)

// maxMessage bounds the answer to a message, in bytes.
const maxMessage = 8 << 20

// Client reaches other hosts.
type Client struct {
	transport *http3.Transport
}

// NewClient returns a client that shows the host's certificate.
func NewClient(keys *tls.Config) *Client {
	return &Client{transport: &http3.Transport{
		TLSClientConfig: keys,
		QUICConfig: &quic.Config{
			MaxIdleTimeout:       idleTimeout,
			KeepAlivePeriod:      keepAlive,
			HandshakeIdleTimeout: handshakeTimeout,
		},
		DisableCompression: true,
	}}
}

// Close ends all connections.
func (c *Client) Close() error { return c.transport.Close() }

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
	res, err := c.transport.RoundTrip(req)
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
