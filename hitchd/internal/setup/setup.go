// Package setup reads and checks a host's settings.
package setup

import (
	"net"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"

	"magnoliahitch/links/certs"
)

// Settings are a host's settings. All addresses are IP addresses with ports.
type Settings struct {
	Host     Host     `ini:"host"`
	Listen   Listen   `ini:"listen"`
	Platform Platform `ini:"platform"`
	Keys     Keys     `ini:"keys"`
	Log      Log      `ini:"log"`
}

// Host says who and where this host is.
type Host struct {
	Name   string `ini:"name"`
	Region string `ini:"region"`
	Domain string `ini:"domain"`
}

// Listen holds the addresses of the three ports.
type Listen struct {
	Caller   string `ini:"caller"`
	Peer     string `ini:"peer"`
	Operator string `ini:"operator"`
}

// Platform holds the base addresses of the platform's services.
type Platform struct {
	Table   string `ini:"table"`
	Objects string `ini:"objects"`
}

// Keys names the files of the host's keys and the operators' token.
type Keys struct {
	CA            string `ini:"ca"`
	Cert          string `ini:"cert"`
	Key           string `ini:"key"`
	OperatorToken string `ini:"operatorToken"`
}

// Log says what is logged and how.
type Log struct {
	Level string `ini:"level"`
	JSON  bool   `ini:"json"`
}

// Files returns the names of the key files.
func (k Keys) Files() certs.Files {
	return certs.Files{CA: k.CA, Cert: k.Cert, Key: k.Key}
}

// Token reads the operators' token.
func (k Keys) Token() (string, error) {
	text, err := os.ReadFile(k.OperatorToken)
	if err != nil {
		return "", errors.Wrap(err, "read operator token")
	}
	return strings.TrimSpace(string(text)), nil
}

// Load reads the settings from a file and checks them.
func Load(path string) (Settings, error) {
	f, err := ini.Load(path)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "read settings %s", path)
	}
	var s Settings
	if err := f.StrictMapTo(&s); err != nil {
		return Settings{}, errors.Wrapf(err, "read settings %s", path)
	}
	return s, s.check()
}

func (s Settings) check() error {
	var faults []error
	for _, a := range []struct{ key, value string }{
		{"caller", s.Listen.Caller},
		{"peer", s.Listen.Peer},
		{"operator", s.Listen.Operator},
	} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			faults = append(faults, errors.Errorf("[listen] %s = %s: want an IP address and a port", a.key, a.value))
		}
	}
	return errors.Join(faults...)
}
