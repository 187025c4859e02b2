package main

import (
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/certs"
)

// dirMode lets nobody but the owner into a directory of keys.
const dirMode = 0o700

type keysCommand struct {
	Dir      string        `long:"dir" description:"directory of the keys" required:"true"`
	Hosts    []string      `long:"host" description:"name of a host; may be repeated"`
	IP       string        `long:"ip" description:"IP address of the hosts" default:"127.0.0.1"`
	Lifetime time.Duration `long:"lifetime" description:"how long the keys are valid" default:"720h"`
}

// Execute makes the authority when there is none, then the hosts' keys.
func (c *keysCommand) Execute([]string) error {
	if err := os.MkdirAll(c.Dir, dirMode); err != nil {
		return errors.Wrap(err, "make directory")
	}
	now := time.Now()
	if _, err := os.Stat(c.Dir + "/" + certs.CAFile); os.IsNotExist(err) {
		if err := certs.MakeCA(now, c.Dir, c.Lifetime); err != nil {
			return err
		}
	}
	for _, h := range c.Hosts {
		if err := certs.MakeHost(now, c.Dir, h, []net.IP{net.ParseIP(c.IP)}, c.Lifetime); err != nil {
			return err
		}
	}
	return nil
}
