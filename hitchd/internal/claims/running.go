package claims

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliahitch/steer/claim"
)

// Bounds of the registry.
const (
	// shards is the number of shards, each with its own lock.
	shards = 16
	// maxEnded is the maximum number of ended operations in a shard.
	maxEnded = 1024
	// maxEndedBytes is the maximum total size of the stored response bodies in
	// a shard, in bytes.
	maxEndedBytes = 1 << 20
)

// operation is an operation that runs or ran on this host.
type operation struct {
	key, id, fingerprint string
	// expires is when the id may be used for another operation.
	expires time.Time
	// state and response are set before done is closed.
	state    claim.State
	response *claim.Response
	done     chan struct{}
}

// registry holds the running operations of this host and those that ended
// recently.
type registry struct {
	shards [shards]shard
}

type shard struct {
	mu sync.Mutex
	// byKey holds the running operations by key.
	byKey map[string]*operation
	// ended holds ended operations by claim id; order has their ids, oldest
	// first.
	ended map[string]*operation
	order []string
	// endedByKey holds the last ended operation of each key that may have run.
	endedByKey map[string]*operation
	// bytes is the total size of the stored bodies of ended operations.
	bytes int
}

func newRegistry() *registry {
	var r registry
	for i := range r.shards {
		r.shards[i].byKey = make(map[string]*operation)
		r.shards[i].ended = make(map[string]*operation)
		r.shards[i].endedByKey = make(map[string]*operation)
	}
	return &r
}

func (r *registry) shard(key string) *shard {
	return &r.shards[xxhash.Sum64String(key)%shards]
}

// start adds the operation at now. It returns the operation with the same key and false if
// there is one that runs, or that may have run and hasn't expired: a table that was
// restored from a copy may have lost its claim.
func (r *registry) start(now time.Time, o *operation) (*operation, bool) {
	s := r.shard(o.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if first := s.byKey[o.key]; first != nil {
		return first, false
	}
	if last := s.endedByKey[o.key]; last != nil && now.Before(last.expires) {
		return last, false
	}
	s.byKey[o.key] = o
	return o, true
}

// end sets the final state of the operation, moves it to the ended ones and
// wakes its waiters.
func (r *registry) end(o *operation, state claim.State, a *claim.Response) {
	s := r.shard(o.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	o.state, o.response = state, a
	close(o.done)
	delete(s.byKey, o.key)
	s.ended[o.id] = o
	if state != claim.Released {
		s.endedByKey[o.key] = o
	}
	s.order = append(s.order, o.id)
	s.bytes += o.size()
	for len(s.order) > maxEnded || s.bytes > maxEndedBytes {
		s.evictOldest()
	}
}

// evictOldest removes the operation that ended first. Its record in the table
// isn't changed.
func (s *shard) evictOldest() {
	id := s.order[0]
	o := s.ended[id]
	s.bytes -= o.size()
	delete(s.ended, id)
	if s.endedByKey[o.key] == o {
		delete(s.endedByKey, o.key)
	}
	s.order = s.order[1:]
}

// size returns the length of the stored response body, in bytes.
func (o *operation) size() int {
	if o.response == nil {
		return 0
	}
	return len(o.response.Body)
}

// find returns the operation with the claim id if it runs or ended recently, or
// nil.
func (r *registry) find(key, id string) *operation {
	s := r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.byKey[key]; o != nil && o.id == id {
		return o
	}
	return s.ended[id]
}
