// Package view holds the configuration in force on this host.
package view

import (
	"sync"
	"sync/atomic"

	"magnoliahitch/steer/config"
)

// View holds the configuration in force. Its revision never goes back.
type View struct {
	config atomic.Pointer[config.Config]

	// mu orders the calls of watchers.
	mu       sync.Mutex
	watchers []func(*config.Config)
}

// New returns a view of the empty configuration.
func New() *View {
	v := &View{}
	v.config.Store(&config.Config{})
	return v
}

// Config returns the configuration in force.
func (v *View) Config() *config.Config { return v.config.Load() }

// Watch calls f with each configuration that comes into force. Calls come one
// at a time in the order of revisions.
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
	if c.Revision <= v.Config().Revision {
		return false
	}
	v.config.Store(c)
	for _, f := range v.watchers {
		f(c)
	}
	return true
}
