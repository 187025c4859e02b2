package certs

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"

	"github.com/go-faster/errors"
)

// ErrNoPeer reports a request or connection without a valid certificate of a host.
var ErrNoPeer = errors.New("no valid certificate of a host")

// Server returns a TLS configuration that presents the keys in use at each
// connection and refuses peers without a valid certificate of a host.
func (k *Keys) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// Some users of a TLS configuration require that it has a certificate itself.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &k.current().cert, nil },
		GetConfigForClient: func(h *tls.ClientHelloInfo) (*tls.Config, error) {
			return k.server(h.Conn.RemoteAddr().String()), nil
		},
	}
}

// server returns the configuration for one connection from the address.
func (k *Keys) server(addr string) *tls.Config {
	p := k.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{p.cert},
		// The peer's certificate is verified below, where its address is known.
		ClientAuth:             tls.RequestClientCert,
		SessionTicketsDisabled: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			name, err := k.verifyPeer(p.pool, s.PeerCertificates)
			if err != nil {
				k.refused(addr, name, err)
			}
			return err
		},
	}
}

func (k *Keys) verifyPeer(pool *x509.CertPool, chain []*x509.Certificate) (string, error) {
	if len(chain) == 0 {
		return "", ErrNoPeer
	}
	name := ""
	if len(chain[0].DNSNames) > 0 {
		name = chain[0].DNSNames[0]
	}
	return name, verify(k.now(), pool, chain[0])
}

// Client returns a TLS configuration for one connection to the named host. It
// refuses a server whose certificate doesn't have that name.
func (k *Keys) Client(name string) *tls.Config {
	p := k.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{p.cert},
		RootCAs:      p.pool,
		ServerName:   name,
		Time:         k.now,
	}
}

// Peer returns the name of the host that sent the request. It returns [ErrNoPeer]
// without a certificate of a host, or if it has expired since the connection was
// made.
func (k *Keys) Peer(r *http.Request) (string, error) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return "", ErrNoPeer
	}
	c := r.TLS.PeerCertificates[0]
	if len(c.DNSNames) == 0 {
		return "", ErrNoPeer
	}
	name := c.DNSNames[0]
	if k.now().After(c.NotAfter) {
		k.refused(r.RemoteAddr, name, ErrNoPeer)
		return "", ErrNoPeer
	}
	return name, nil
}
