// Package certs holds the keys with which hosts prove themselves to each
// other, and makes keys for development.
package certs

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"regexp"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Files names the files of a host's keys.
type Files struct {
	// CA is the PEM file of the authority that signs every host's key.
	CA string
	// Cert and Key are the host's certificate and private key in PEM.
	Cert, Key string
}

// Refused is called with each peer that a server refuses: its address, the
// name it showed, if any, and why.
type Refused func(addr, name string, err error)

// Keys are a host's keys, which can change while they are in use.
type Keys struct {
	files   Files
	name    string
	refused Refused
	now     func() time.Time

	mu   sync.RWMutex
	pair *pair
}

// pair is one content of the files.
type pair struct {
	cert tls.Certificate
	pool *x509.CertPool
	text []byte
}

// Option changes keys.
type Option func(*Keys)

// WithName demands that the certificate is that of the named host.
func WithName(name string) Option { return func(k *Keys) { k.name = name } }

// WithRefused reports refused peers to f.
func WithRefused(f Refused) Option { return func(k *Keys) { k.refused = f } }

// WithTime sets the clock for the validity of certificates.
func WithTime(now func() time.Time) Option { return func(k *Keys) { k.now = now } }

// Open reads the keys. It returns an error when the certificate isn't valid,
// or isn't signed by the authority.
func Open(f Files, options ...Option) (*Keys, error) {
	k := &Keys{files: f, refused: func(string, string, error) {}, now: time.Now}
	for _, o := range options {
		o(k)
	}
	p, err := k.read()
	if err != nil {
		return nil, err
	}
	k.pair = p
	return k, nil
}

// Reload reads the files again and reports whether the keys changed. On an
// error the keys in use stay.
func (k *Keys) Reload() (bool, error) {
	p, err := k.read()
	if err != nil {
		return false, errors.Wrap(err, "reload keys")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if bytes.Equal(p.text, k.pair.text) {
		return false, nil
	}
	k.pair = p
	return true, nil
}

// Expires returns when the certificate in use expires.
func (k *Keys) Expires() time.Time { return k.current().cert.Leaf.NotAfter }

func (k *Keys) current() *pair {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.pair
}

func (k *Keys) read() (*pair, error) {
	var text [3][]byte
	for i, name := range []string{k.files.CA, k.files.Cert, k.files.Key} {
		var err error
		if text[i], err = os.ReadFile(name); err != nil {
			return nil, errors.Wrap(err, "read key file")
		}
	}
	p := &pair{pool: x509.NewCertPool(), text: bytes.Join(text[:], nil)}
	if !p.pool.AppendCertsFromPEM(text[0]) {
		return nil, errors.Errorf("read CA %s: no certificate in it", k.files.CA)
	}
	var err error
	if p.cert, err = tls.X509KeyPair(text[1], text[2]); err != nil {
		return nil, errors.Wrapf(err, "read key pair %s, %s", k.files.Cert, k.files.Key)
	}
	if err := verify(k.now(), p.pool, p.cert.Leaf); err != nil {
		return nil, errors.Wrapf(err, "certificate %s", k.files.Cert)
	}
	if k.name != "" && p.cert.Leaf.DNSNames[0] != k.name {
		return nil, errors.Errorf("certificate %s is that of %s", k.files.Cert, p.cert.Leaf.DNSNames[0])
	}
	return p, nil
}

// namePattern is a DNS label.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidName reports whether the text can be the name of a host.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// verify checks that the authority signed the certificate, that it is valid
// at now, and that it names a host.
func verify(now time.Time, pool *x509.CertPool, c *x509.Certificate) error {
	if _, err := c.Verify(x509.VerifyOptions{
		Roots:       pool,
		CurrentTime: now,
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}); err != nil {
		return errors.Wrap(err, "verify certificate")
	}
	if len(c.DNSNames) == 0 || !ValidName(c.DNSNames[0]) {
		return errors.Errorf("certificate names no host: %q", c.DNSNames)
	}
	return nil
}
