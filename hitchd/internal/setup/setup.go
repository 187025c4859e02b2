package setup

import (
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/certs"
)

// Settings are a host's settings. The tags of a field name its key, its
// default (a key without one must be set) and its check.
type Settings struct {
	Host     Host     `ini:"host"`
	Listen   Listen   `ini:"listen"`
	Platform Platform `ini:"platform"`
	Keys     Keys     `ini:"keys"`
	Caller   Caller   `ini:"caller"`
	Daemon   Daemon   `ini:"daemon"`
	Log      Log      `ini:"log"`

	file string
}

// Host says who and where this host is.
type Host struct {
	Name   string `ini:"name" check:"name"`
	Region string `ini:"region" check:"name"`
	Domain string `ini:"domain" check:"name"`
}

// Listen holds the IP addresses and ports of the three ports. Others reach
// the host at these addresses.
type Listen struct {
	Caller   string `ini:"caller" check:"address"`
	Peer     string `ini:"peer" check:"address"`
	Operator string `ini:"operator" check:"address"`
}

// Platform holds the base addresses of the platform's services.
type Platform struct {
	Table   string `ini:"table" check:"base"`
	Objects string `ini:"objects" check:"base"`
	// Timeout bounds each call to the platform.
	Timeout time.Duration `ini:"timeout" default:"3s"`
	// Seeds are hosts that are asked for the configuration when the table
	// can't name any, or [NoSeeds]. See [Platform.SeedHosts].
	Seeds string `ini:"seeds" check:"seeds" default:"none"`
}

// Keys names the files of the host's keys and the operators' token.
type Keys struct {
	CA            string `ini:"ca" check:"file"`
	Cert          string `ini:"cert" check:"file"`
	Key           string `ini:"key" check:"file"`
	OperatorToken string `ini:"operatorToken" check:"file"`
	// Reload is the time between two looks for changed files.
	Reload time.Duration `ini:"reload" default:"10s"`
}

// Caller holds the bounds of the caller port.
type Caller struct {
	// MaxBody and MaxHeader bound a request.
	MaxBody   Size `ini:"maxBody" default:"1MiB"`
	MaxHeader Size `ini:"maxHeader" default:"16KiB"`
	// HeaderTimeout bounds the time to read a request's header.
	HeaderTimeout time.Duration `ini:"headerTimeout" default:"5s"`
	// StallTimeout bounds the time in which a caller sends or takes nothing.
	StallTimeout time.Duration `ini:"stallTimeout" default:"10s"`
	// IdleTimeout bounds the time that a connection stands unused.
	IdleTimeout time.Duration `ini:"idleTimeout" default:"2m"`
	// LookupTTL is the time to live of look-up answers for profiles that set none.
	LookupTTL time.Duration `ini:"lookupTtl" default:"5s"`
	// LookupHosts is the number of hosts in a look-up answer.
	LookupHosts int `ini:"lookupHosts" default:"3"`
}

// Daemon holds the times of the daemon's own work.
type Daemon struct {
	// StopTimeout bounds a graceful stop.
	StopTimeout time.Duration `ini:"stopTimeout" default:"30s"`
	// HostsInterval is the time between two readings of the list of hosts.
	HostsInterval time.Duration `ini:"hostsInterval" default:"1s"`
	// ConfigInterval is the time between two readings of the configuration.
	ConfigInterval time.Duration `ini:"configInterval" default:"500ms"`
}

// Log says what is logged and how.
type Log struct {
	Level string `ini:"level" default:"info" check:"level"`
	JSON  bool   `ini:"json" default:"false"`
}

// Files returns the names of the key files.
func (k Keys) Files() certs.Files {
	return certs.Files{CA: k.CA, Cert: k.Cert, Key: k.Key}
}

// minToken is the least length of the operators' token, in bytes.
const minToken = 16

// Token reads the operators' token.
func (k Keys) Token() (string, error) {
	text, err := os.ReadFile(k.OperatorToken)
	if err != nil {
		return "", errors.Wrap(err, "read operator token")
	}
	token := strings.TrimSpace(string(text))
	if len(token) < minToken {
		return "", errors.Errorf("read operator token %s: %d bytes, want %d or more", k.OperatorToken, len(token), minToken)
	}
	return token, nil
}
