package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
)

// Names of the authority's files in a directory of development keys.
const (
	CAFile    = "ca.pem"
	CAKeyFile = "ca.key"
)

// keyMode is the file mode of a private key: only the owner can read it.
const keyMode = 0o600

// MakeCA creates a development authority in the directory, valid from now for the
// lifetime. It returns an error if the directory has one already.
func MakeCA(now time.Time, dir string, lifetime time.Duration) error {
	path := filepath.Join(dir, CAFile)
	if _, err := os.Stat(path); err == nil {
		return errors.Errorf("make CA: %s exists already", path)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "make CA key")
	}
	t := &x509.Certificate{
		SerialNumber:          big.NewInt(now.UnixNano()),
		Subject:               pkix.Name{CommonName: "magnoliahitch development CA"},
		NotBefore:             now.Add(-time.Minute),
		NotAfter:              now.Add(lifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return errors.Wrap(err, "sign CA")
	}
	return writePair(path, filepath.Join(dir, CAKeyFile), der, key)
}

// HostFiles returns the paths of the host's key files in a directory of development
// keys.
func HostFiles(dir, name string) Files {
	return Files{
		CA:   filepath.Join(dir, CAFile),
		Cert: filepath.Join(dir, name+".pem"),
		Key:  filepath.Join(dir, name+".key"),
	}
}

// MakeHost creates a certificate, signed by the directory's authority, and a private
// key for the named host in NAME.pem and NAME.key. It replaces existing files.
func MakeHost(now time.Time, dir, name string, ips []net.IP, lifetime time.Duration) error {
	if !ValidName(name) {
		return errors.Errorf("make key of host %q: want 1 to 63 lower-case letters, digits and inner hyphens", name)
	}
	ca, caKey, err := readCA(dir)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "make host key")
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		IPAddresses:  ips,
		NotBefore:    now.Add(-time.Minute),
		NotAfter:     now.Add(lifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, t, ca, &key.PublicKey, caKey)
	if err != nil {
		return errors.Wrapf(err, "sign key of host %s", name)
	}
	f := HostFiles(dir, name)
	return writePair(f.Cert, f.Key, der, key)
}

func readCA(dir string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certDER, err := readPEM(filepath.Join(dir, CAFile))
	if err != nil {
		return nil, nil, err
	}
	keyDER, err := readPEM(filepath.Join(dir, CAKeyFile))
	if err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, nil, errors.Wrap(err, "parse CA certificate")
	}
	key, err := x509.ParseECPrivateKey(keyDER)
	if err != nil {
		return nil, nil, errors.Wrap(err, "parse CA key")
	}
	return cert, key, nil
}

func readPEM(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read key file")
	}
	b, _ := pem.Decode(text)
	if b == nil {
		return nil, errors.Errorf("read key file %s: file has no PEM block", path)
	}
	return b.Bytes, nil
}

func writePair(certPath, keyPath string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode private key")
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	if err := os.WriteFile(keyPath, keyPEM, keyMode); err != nil {
		return errors.Wrap(err, "write private key")
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	if err := os.WriteFile(certPath, certPEM, 0o644); err != nil {
		return errors.Wrap(err, "write certificate")
	}
	return nil
}
