package main

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/setup"
	"magnoliahitch/links/certs"
)

const (
	// expiryWarning is the time before a certificate's expiry at which warnings begin.
	expiryWarning = 7 * 24 * time.Hour
	// warnInterval is the minimum time between two such warnings.
	warnInterval = time.Hour
)

// credentials holds the host's keys and the operators' token. They are reloaded
// when their files change.
type credentials struct {
	certs *certs.Keys
	files setup.Keys
	log   hclog.Logger

	mu    sync.RWMutex
	token string

	lastWarned time.Time
}

// openCredentials reads the keys and the token. Peers that the peer port refuses are
// logged and counted from then on.
func openCredentials(s setup.Settings, log hclog.Logger) (*credentials, error) {
	token, err := s.Keys.Token()
	if err != nil {
		return nil, err
	}
	keys, err := certs.Open(s.Keys.Files(), certs.WithName(s.Host.Name), certs.WithRefused(
		func(addr, name string, err error) {
			peersRefused.Inc()
			log.Warn("peer refused", "addr", addr, "name", name, "error", err)
		}))
	if err != nil {
		return nil, err
	}
	keyExpiry.Set(float64(keys.Expires().Unix()))
	return &credentials{certs: keys, files: s.Keys, log: log, token: token}, nil
}

// Token returns the operators' token in use. It is safe for concurrent use.
func (c *credentials) Token() string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.token
}

// run reloads the files at each interval and at each SIGHUP until the context ends.
func (c *credentials) run(ctx context.Context, interval time.Duration) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-reload:
		case <-t.C:
		}
		c.reload(time.Now())
	}
}

// reload reads the files again and warns if the certificate expires soon. If the
// key files or the token's file are invalid, the keys or the token in use stay.
func (c *credentials) reload(now time.Time) {
	changed, err := c.certs.Reload()
	if err != nil {
		c.log.Error("keys in use stay", "error", err)
	}
	if changed {
		keyExpiry.Set(float64(c.certs.Expires().Unix()))
		c.log.Info("keys reloaded", "expires", c.certs.Expires())
	}
	if left := c.certs.Expires().Sub(now); left < expiryWarning && now.Sub(c.lastWarned) >= warnInterval {
		c.lastWarned = now
		c.log.Warn("certificate expires soon", "left", left.Round(time.Minute))
	}
	token, err := c.files.Token()
	if err != nil {
		c.log.Error("operator token in use stays", "error", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if token != c.token {
		c.token = token
		c.log.Info("operator token reloaded")
	}
}
