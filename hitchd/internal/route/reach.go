package route

import (
	"sync"
	"time"
)

// probeInterval is the time between two requests to a host that can't be reached.
const probeInterval = time.Second

// reach holds the hosts that could not be reached lately. The zero value holds none.
type reach struct {
	mu   sync.Mutex
	next map[string]time.Time
}

// allows reports whether the host may be sent a request: unless it failed, or
// as a probe.
func (r *reach) allows(now time.Time, host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, failed := r.next[host]
	if !failed {
		return true
	}
	if now.Before(at) {
		return false
	}
	r.next[host] = now.Add(probeInterval)
	return true
}

func (r *reach) fail(now time.Time, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = make(map[string]time.Time)
	}
	r.next[host] = now.Add(probeInterval)
}

func (r *reach) succeed(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.next, host)
}
