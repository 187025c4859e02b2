package certs

import (
	"crypto/x509"
	"net"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
)

// Info describes a certificate in a directory of development keys.
type Info struct {
	// Name is the host's name, "" for the authority.
	Name    string    `json:"name"`
	File    string    `json:"file"`
	IPs     []net.IP  `json:"ips,omitempty"`
	Expires time.Time `json:"expires"`
	// Invalid is the reason for which hosts refuse the certificate, "" if they
	// accept it.
	Invalid string `json:"fault,omitempty"`
}

// List describes all certificates of the directory, with their validity at the time
// now, in the order of the file names.
func List(now time.Time, dir string) ([]Info, error) {
	ca, _, err := readCA(dir)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(ca)
	files, err := filepath.Glob(filepath.Join(dir, "*.pem"))
	if err != nil {
		return nil, errors.Wrapf(err, "list directory %s", dir)
	}
	var out []Info
	for _, f := range files {
		i, err := describe(now, pool, f)
		if err != nil {
			return nil, err
		}
		out = append(out, i)
	}
	return out, nil
}

func describe(now time.Time, pool *x509.CertPool, file string) (Info, error) {
	der, err := readPEM(file)
	if err != nil {
		return Info{}, err
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		return Info{}, errors.Wrapf(err, "parse certificate %s", file)
	}
	i := Info{File: file, IPs: c.IPAddresses, Expires: c.NotAfter}
	if c.IsCA {
		return i, nil
	}
	if len(c.DNSNames) > 0 {
		i.Name = c.DNSNames[0]
	}
	if err := verify(now, pool, c); err != nil {
		i.Invalid = err.Error()
	}
	return i, nil
}
