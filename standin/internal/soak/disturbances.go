package soak

import (
	"sync"
	"time"
)

// span is a period during which a part was disturbed.
type span struct{ from, to time.Time }

// Disturbances records when hosts, links, the store and the machine were disturbed, that
// is, had a fault. It is safe for concurrent use.
type Disturbances struct {
	mu    sync.Mutex
	open  map[string]map[int]time.Time
	next  int
	spans map[string][]span
}

// NewDisturbances returns a record without disturbances.
func NewDisturbances() *Disturbances {
	return &Disturbances{open: make(map[string]map[int]time.Time), spans: make(map[string][]span)}
}

// Disturb records that a disturbance of the named part begins. The returned
// function records its end; only the first call has an effect.
func (d *Disturbances) Disturb(now time.Time, name string) (end func(time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next++
	n := d.next
	if d.open[name] == nil {
		d.open[name] = make(map[int]time.Time)
	}
	d.open[name][n] = now
	return func(now time.Time) {
		d.mu.Lock()
		defer d.mu.Unlock()
		from, there := d.open[name][n]
		if !there {
			return
		}
		delete(d.open[name], n)
		d.spans[name] = append(d.spans[name], span{from, now})
	}
}

// Undisturbed reports whether none of the parts was disturbed at any time between from and to, both included.
func (d *Disturbances) Undisturbed(from, to time.Time, names ...string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range names {
		for _, began := range d.open[name] {
			if !began.After(to) {
				return false
			}
		}
		for _, s := range d.spans[name] {
			if !s.from.After(to) && !s.to.Before(from) {
				return false
			}
		}
	}
	return true
}
