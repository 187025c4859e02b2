package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/hitchctl/client"
	"magnoliahitch/links/certs"
)

// dirMode gives only the owner access to a directory of keys.
const dirMode = 0o700

type keysCommand struct {
	client   *client.Global
	Dir      string        `long:"dir" description:"directory of the keys" required:"true" value-name:"DIR"`
	Hosts    []string      `long:"host" description:"host to make a key for, with its IP addresses if other programs check them; may be repeated" value-name:"NAME[=IP,...]"`
	Renew    bool          `long:"renew" description:"replace the keys of the named hosts, or of every host in the directory"`
	Show     bool          `long:"show" description:"show the certificates of the directory and when they expire"`
	Lifetime time.Duration `long:"lifetime" description:"how long the keys are valid" default:"720h"`
}

// Execute creates the certificate authority if the directory has none, then the
// keys of the hosts. With --show it only prints the certificates.
func (c *keysCommand) Execute([]string) error {
	now := time.Now()
	if c.Show {
		return c.show(now, os.Stdout)
	}
	if err := os.MkdirAll(c.Dir, dirMode); err != nil {
		return errors.Wrap(err, "make directory")
	}
	if _, err := os.Stat(filepath.Join(c.Dir, certs.CAFile)); os.IsNotExist(err) {
		if err := certs.MakeCA(now, c.Dir, c.Lifetime); err != nil {
			return err
		}
	}
	if c.Renew && len(c.Hosts) == 0 {
		return c.renewAll(now)
	}
	for _, h := range c.Hosts {
		if err := c.makeHost(now, h); err != nil {
			return err
		}
	}
	return nil
}

// makeHost creates the key of one host. It fails if the host has a certificate
// already, unless --renew is given.
func (c *keysCommand) makeHost(now time.Time, text string) error {
	name, ips, err := parseHost(text)
	if err != nil {
		return err
	}
	file := certs.HostFiles(c.Dir, name).Cert
	if _, err := os.Stat(file); err == nil && !c.Renew {
		return errors.Errorf("--host %s: %s exists already; use --renew to replace it", text, file)
	}
	return certs.MakeHost(now, c.Dir, name, ips, c.Lifetime)
}

// parseHost parses "name" or "name=ip,ip" into a host name and IP addresses.
func parseHost(text string) (string, []net.IP, error) {
	name, list, ok := strings.Cut(text, "=")
	if !ok {
		return name, nil, nil
	}
	var out []net.IP
	for s := range strings.SplitSeq(list, ",") {
		ip := net.ParseIP(s)
		if ip == nil {
			return "", nil, errors.Errorf("--host %s: %q is no IP address", text, s)
		}
		out = append(out, ip)
	}
	return name, out, nil
}

// renewAll replaces the key of every host in the directory. The key of the
// authority, which is listed without a host name, is kept.
func (c *keysCommand) renewAll(now time.Time) error {
	list, err := certs.List(now, c.Dir)
	if err != nil {
		return err
	}
	for _, i := range list {
		if i.Name == "" {
			continue
		}
		if err := certs.MakeHost(now, c.Dir, i.Name, i.IPs, c.Lifetime); err != nil {
			return err
		}
	}
	return nil
}

// show prints the certificates of the directory with their expiry, as JSON or as
// a table.
func (c *keysCommand) show(now time.Time, out io.Writer) error {
	list, err := certs.List(now, c.Dir)
	if err != nil {
		return err
	}
	if c.client != nil && c.client.JSON {
		return json.NewEncoder(out).Encode(list)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tFILE\tEXPIRES\tLEFT\tFAULT")
	for _, i := range list {
		name := i.Name
		if name == "" {
			name = "(authority)"
		}
		left := i.Expires.Sub(now).Truncate(time.Minute)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", name, i.File, i.Expires.Format(time.RFC3339), left, i.Invalid)
	}
	return w.Flush()
}
