package setup

import (
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/certs"
)

// Settings are the settings of a host. The tags of a field give its key, its
// default and the name of its check. A key without a default is required, and
// text values need a check.
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

// Host holds the name, the region and the failure domain of this host.
type Host struct {
	Name   string `ini:"name" check:"name"`
	Region string `ini:"region" check:"name"`
	Domain string `ini:"domain" check:"name"`
}

// Listen holds the IP addresses and port numbers on which the host listens. They
// are also published, so callers and other hosts must be able to reach them.
type Listen struct {
	Caller   string `ini:"caller" check:"address"`
	Peer     string `ini:"peer" check:"address"`
	Operator string `ini:"operator" check:"address"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Store   string `ini:"table" check:"base"`
	Objects string `ini:"objects" check:"base"`
	// Timeout bounds each call to the platform.
	Timeout time.Duration `ini:"timeout" default:"3s"`
	// Seeds are the hosts to request the configuration from while no other host is
	// known, as when the table is down at the start, or [NoSeeds]. See
	// [Platform.SeedHosts].
	Seeds string `ini:"seeds" check:"seeds" default:"none"`
}

// Keys names the files of the host's keys and the operators' token.
type Keys struct {
	CA            string `ini:"ca" check:"file"`
	Cert          string `ini:"cert" check:"file"`
	Key           string `ini:"key" check:"file"`
	OperatorToken string `ini:"operatorToken" check:"file"`
	// Reload is the interval of checks for changed files.
	Reload time.Duration `ini:"reload" default:"10s"`
}

// Caller holds the limits of the caller port and the defaults of lookups.
type Caller struct {
	// MaxBody and MaxHeader bound the size of a request's body and header.
	MaxBody   Size `ini:"maxBody" default:"1MiB"`
	MaxHeader Size `ini:"maxHeader" default:"16KiB"`
	// HeaderTimeout bounds the time to read a request's header.
	HeaderTimeout time.Duration `ini:"headerTimeout" default:"5s"`
	// StallTimeout bounds the time without progress while a body is received from a
	// caller or a response is sent to it.
	StallTimeout time.Duration `ini:"stallTimeout" default:"10s"`
	// IdleTimeout bounds the time that a connection is kept without a request.
	IdleTimeout time.Duration `ini:"idleTimeout" default:"2m"`
	// LookupTTL is the time to live of lookup responses for profiles that set none.
	LookupTTL time.Duration `ini:"lookupTtl" default:"5s"`
	// LookupHosts is the number of hosts in a lookup response.
	LookupHosts int `ini:"lookupHosts" default:"3"`
}

// Daemon holds the timeouts and intervals of the daemon.
type Daemon struct {
	// StopTimeout bounds each wait for requests in flight during a graceful stop.
	StopTimeout time.Duration `ini:"stopTimeout" default:"30s"`
	// HostsInterval is the interval of reads of the list of hosts.
	HostsInterval time.Duration `ini:"hostsInterval" default:"1s"`
	// ConfigInterval is the interval of reads of the configuration.
	ConfigInterval time.Duration `ini:"configInterval" default:"500ms"`
}

// Log holds the log level and whether log lines are in JSON.
type Log struct {
	Level string `ini:"level" default:"info" check:"level"`
	JSON  bool   `ini:"json" default:"false"`
}

// Files returns the names of the key files.
func (k Keys) Files() certs.Files {
	return certs.Files{CA: k.CA, Cert: k.Cert, Key: k.Key}
}

// minTokenLength is the minimum length of the operators' token, in bytes.
const minTokenLength = 16

// Token reads the operators' token from its file, without the white space around
// it. It returns an error if the token is shorter than 16 bytes.
func (k Keys) Token() (string, error) {
	text, err := os.ReadFile(k.OperatorToken)
	if err != nil {
		return "", errors.Wrap(err, "read operator token")
	}
	token := strings.TrimSpace(string(text))
	if len(token) < minTokenLength {
		return "", errors.Errorf("read operator token %s: %d bytes, want %d or more", k.OperatorToken, len(token), minTokenLength)
	}
	return token, nil
}
