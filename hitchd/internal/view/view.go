// Package view holds the configuration in force on this host and notifies the
// parts of the host when a later revision replaces it.
package view

import (
	"sync"
	"sync/atomic"

	"magnoliahitch/steer/config"
)

// View holds the configuration in force, whose revision only increases. It is
// safe for concurrent use.
type View struct {
	config atomic.Pointer[config.Config]

	// mu serialises updates and the calls of watchers.
	mu       sync.Mutex
	watchers []func(*config.Config)
}

// New returns a view that holds an empty configuration with revision 0.
func New() *View {
	v := &View{}
	v.config.Store(&config.Config{})
	return v
}

// Config returns the configuration in force.
func (v *View) Config() *config.Config { return v.config.Load() }

// Watch registers f to be called with each configuration that comes into force
// from now on. Calls are made one at a time, in the order of revisions. f must
// not call Watch or Update.
func (v *View) Watch(f func(*config.Config)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.watchers = append(v.watchers, f)
}

// Update puts c into force and calls the watchers if the revision of c is
// greater than that of the configuration in force. It reports whether it was.
func (v *View) Update(c *config.Config) bool {
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
