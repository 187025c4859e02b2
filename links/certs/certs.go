// Package certs manages the certificates and private keys with which hosts
// authenticate each other by mutual TLS, and creates such keys for development.
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

// Files holds the paths of a host's key files.
type Files struct {
	// CA is the PEM file with the certificate of the authority (CA) that signs the
	// certificates of all hosts.
	CA string
	// Cert and Key are the PEM files of the host's certificate and private key.
	Cert, Key string
}

// RefusedFunc is called for each peer that a server refuses, with its address,
// the host name in its certificate or "", and the reason.
type RefusedFunc func(addr, name string, err error)

// Keys holds a host's keys, which can be reloaded while they are in use. It is safe
// for concurrent use.
type Keys struct {
	files   Files
	name    string
	refused RefusedFunc
	now     func() time.Time

	mu     sync.RWMutex
	loaded *keySet
}

// keySet is the content of the files at one time.
type keySet struct {
	cert     tls.Certificate
	pool     *x509.CertPool
	contents []byte
}

// Option configures [Keys].
type Option func(*Keys)

// WithName makes [Open] and [Keys.Reload] fail unless the certificate is that of the
// named host.
func WithName(name string) Option { return func(k *Keys) { k.name = name } }

// WithRefused sets the function that is called for each refused peer.
func WithRefused(f RefusedFunc) Option { return func(k *Keys) { k.refused = f } }

// WithTime sets the clock by which the validity of certificates is checked.
func WithTime(now func() time.Time) Option { return func(k *Keys) { k.now = now } }

// Open reads the keys. It returns an error if the certificate isn't valid at the
// present time or isn't signed by the authority.
func Open(f Files, options ...Option) (*Keys, error) {
	k := &Keys{files: f, refused: func(string, string, error) {}, now: time.Now}
	for _, o := range options {
		o(k)
	}
	p, err := k.read()
	if err != nil {
		return nil, err
	}
	k.loaded = p
	return k, nil
}

// Reload reads the files again and reports whether the keys changed. After an error
// the keys in use stay.
func (k *Keys) Reload() (bool, error) {
	p, err := k.read()
	if err != nil {
		return false, errors.Wrap(err, "reload keys")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if bytes.Equal(p.contents, k.loaded.contents) {
		return false, nil
	}
	k.loaded = p
	return true, nil
}

// Expires returns when the certificate in use expires.
func (k *Keys) Expires() time.Time { return k.current().cert.Leaf.NotAfter }

func (k *Keys) current() *keySet {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.loaded
}

func (k *Keys) read() (*keySet, error) {
	var contents [3][]byte
	for i, name := range []string{k.files.CA, k.files.Cert, k.files.Key} {
		var err error
		if contents[i], err = os.ReadFile(name); err != nil {
			return nil, errors.Wrap(err, "read key file")
		}
	}
	p := &keySet{pool: x509.NewCertPool(), contents: bytes.Join(contents[:], nil)}
	if !p.pool.AppendCertsFromPEM(contents[0]) {
		return nil, errors.Errorf("read CA %s: file has no certificate", k.files.CA)
	}
	var err error
	if p.cert, err = tls.X509KeyPair(contents[1], contents[2]); err != nil {
		return nil, errors.Wrapf(err, "read key pair %s, %s", k.files.Cert, k.files.Key)
	}
	if err := verify(k.now(), p.pool, p.cert.Leaf); err != nil {
		return nil, errors.Wrapf(err, "certificate %s", k.files.Cert)
	}
	if k.name != "" && p.cert.Leaf.DNSNames[0] != k.name {
		return nil, errors.Errorf("certificate %s is for host %s, want %s", k.files.Cert, p.cert.Leaf.DNSNames[0], k.name)
	}
	return p, nil
}

// namePattern matches a DNS label in lower case.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidName reports whether the text is a valid host name.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// verify checks that the authority signed the certificate, that it is valid at the
// time, and that its first DNS name is a valid host name.
func verify(now time.Time, pool *x509.CertPool, c *x509.Certificate) error {
	if _, err := c.Verify(x509.VerifyOptions{
		Roots:       pool,
		CurrentTime: now,
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}); err != nil {
		return errors.Wrap(err, "verify certificate")
	}
	if len(c.DNSNames) == 0 || !ValidName(c.DNSNames[0]) {
		return errors.Errorf("certificate has DNS names %q, want a valid host name first", c.DNSNames)
	}
	return nil
}
