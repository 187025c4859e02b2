// Package view holds the configuration in force on this host.
package view

import (
	"sync"

	"magnoliahitch/steer/config"
)

// View holds the configuration in force. Its revision never goes back.
type View struct {
	mu       sync.RWMutex
	config   *config.Config
	watchers []func(*config.Config)
}

// New returns a view of the empty configuration.
func New() *View { return &View{config: &config.Config{}} }

// Config returns the configuration in force.
func (v *View) Config() *config.Config {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.config
}

// Watch calls f with each configuration that comes into force.
func (v *View) Watch(f func(*config.Config)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.watchers = append(v.watchers, f)
}

// Advance brings c into force unless its revision is not greater than the
// present one. It reports whether it did.
func (v *View) Advance(c *config.Config) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c.Revision <= v.config.Revision {
		return false
	}
	v.config = c
	for _, f := range v.watchers {
		f(c)
	}
	return true
}
