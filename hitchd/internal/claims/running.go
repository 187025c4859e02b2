package claims

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"magnoliahitch/steer/claim"
)

// Bounds of the operations held in memory.
const (
	// shards is the number of parts, each under its own lock.
	shards = 16
	// endedLimit is the number of ended operations that a shard remembers.
	endedLimit = 1024
	// endedBytes bounds the kept answers that a shard holds, in bytes.
	endedBytes = 1 << 20
)

// operation is an operation on this host.
type operation struct {
	key, id, fingerprint string
	// state and answer are set before done is closed.
	state  claim.State
	answer *claim.Answer
	done   chan struct{}
}

// running holds the operations of this host, and for a while those that ended.
type running struct {
	shards [shards]shard
}

type shard struct {
	mu    sync.Mutex
	byKey map[string]*operation
	// ended holds operations by claim id, oldest first in order.
	ended map[string]*operation
	order []string
	// bytes is the size of the answers that ended operations keep.
	bytes int
}

func newRunning() *running {
	var r running
	for i := range r.shards {
		r.shards[i].byKey = make(map[string]*operation)
		r.shards[i].ended = make(map[string]*operation)
	}
	return &r
}

func (r *running) shard(key string) *shard {
	return &r.shards[xxhash.Sum64String(key)%shards]
}

// enter adds the operation unless one of its key is running already, which it
// returns then.
func (r *running) enter(o *operation) (*operation, bool) {
	s := r.shard(o.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if first := s.byKey[o.key]; first != nil {
		return first, false
	}
	s.byKey[o.key] = o
	return o, true
}

// leave ends the operation and wakes those who wait for it.
func (r *running) leave(o *operation, state claim.State, a *claim.Answer) {
	s := r.shard(o.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	o.state, o.answer = state, a
	close(o.done)
	delete(s.byKey, o.key)
	s.ended[o.id] = o
	s.order = append(s.order, o.id)
	s.bytes += o.size()
	for len(s.order) > endedLimit || s.bytes > endedBytes {
		s.forgetOldest()
	}
}

// forgetOldest drops the operation that ended first. Its record in the table
// stays.
func (s *shard) forgetOldest() {
	id := s.order[0]
	s.bytes -= s.ended[id].size()
	delete(s.ended, id)
	s.order = s.order[1:]
}

// size returns the length of the kept answer, in bytes.
func (o *operation) size() int {
	if o.answer == nil {
		return 0
	}
	return len(o.answer.Body)
}

// find returns the operation with the claim id, running or ended lately.
func (r *running) find(key, id string) *operation {
	s := r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.byKey[key]; o != nil && o.id == id {
		return o
	}
	return s.ended[id]
}
