package route

import (
	"sync"
	"time"
)

// probeInterval is the time between two requests to an unreachable host.
const probeInterval = time.Second

// reachability records the hosts that could not be reached recently, with the
// time of the next probe of each. The zero value is empty.
type reachability struct {
	mu        sync.Mutex
	nextProbe map[string]time.Time
}

// allows reports whether a request may be sent to the host. An unreachable host
// is allowed one request in each probeInterval, as a probe.
func (r *reachability) allows(now time.Time, host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	due, failed := r.nextProbe[host]
	if !failed {
		return true
	}
	if now.Before(due) {
		return false
	}
	r.nextProbe[host] = now.Add(probeInterval)
	return true
}

// fail records the host as unreachable.
func (r *reachability) fail(now time.Time, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.nextProbe == nil {
		r.nextProbe = make(map[string]time.Time)
	}
	r.nextProbe[host] = now.Add(probeInterval)
}

// succeed records the host as reachable.
func (r *reachability) succeed(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.nextProbe, host)
}
