package soak

import (
	"sync"
	"time"
)

// span is a period during which a part was disturbed.
type span struct{ from, to time.Time }

// Calm records when hosts, links, the store and the machine were disturbed, that
// is, had a fault. It is safe for concurrent use.
type Calm struct {
	mu    sync.Mutex
	open  map[string]map[int]time.Time
	next  int
	spans map[string][]span
}

// NewCalm returns a record without disturbances.
func NewCalm() *Calm {
	return &Calm{open: make(map[string]map[int]time.Time), spans: make(map[string][]span)}
}

// Disturb records that a disturbance of the named part begins. The returned
// function records its end; only the first call has an effect.
func (c *Calm) Disturb(now time.Time, name string) (end func(time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	n := c.next
	if c.open[name] == nil {
		c.open[name] = make(map[int]time.Time)
	}
	c.open[name][n] = now
	return func(now time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		from, there := c.open[name][n]
		if !there {
			return
		}
		delete(c.open[name], n)
		c.spans[name] = append(c.spans[name], span{from, now})
	}
}

// Calm reports whether none of the parts was disturbed at any time from from to to, both included.
func (c *Calm) Calm(from, to time.Time, names ...string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		for _, began := range c.open[name] {
			if !began.After(to) {
				return false
			}
		}
		for _, s := range c.spans[name] {
			if !s.from.After(to) && !s.to.Before(from) {
				return false
			}
		}
	}
	return true
}
