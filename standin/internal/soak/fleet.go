package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"magnoliahitch/platform"
)

// fleet keeps the upstream servers and writes their records.
type fleet struct {
	world *World
	store *platform.Store
	ctx   context.Context

	mu    sync.Mutex
	count int
	slots []*slot
}

// slot is a place for one server at a time, with a link in front of it.
type slot struct {
	domain  domain
	service string
	link    *Link
	server  *Server
	// sequence counts the changes of the server's record.
	sequence int
	// silent servers write no records though they serve.
	silent bool
	// busy slots are being emptied or filled.
	busy bool
}

func newFleet(ctx context.Context, w *World, store *platform.Store) *fleet {
	return &fleet{world: w, store: store, ctx: ctx}
}

// fill starts the servers that are there from the beginning.
func (f *fleet) fill() error {
	for i, d := range domains {
		for _, service := range services {
			for range serversPerDomain {
				if err := f.add(i, d, service, false); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// add makes a slot with a running server.
func (f *fleet) add(group int, d domain, service string, cold bool) error {
	l, err := NewLink(f.ctx, f.world.ip(100+group, 1)+":0", "", "")
	if err != nil {
		return err
	}
	s := &slot{domain: d, service: service, link: l}
	if err := f.start(s, "", cold); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slots = append(f.slots, s)
	return nil
}

// start starts a server in the slot, under a new id unless one is given.
func (f *fleet) start(s *slot, id string, cold bool) error {
	f.mu.Lock()
	f.count++
	if id == "" {
		id = fmt.Sprintf("i-%s-%d", s.service, f.count)
	}
	f.mu.Unlock()
	u := Upstream{ID: id, Service: s.service, Domain: s.domain.name, Link: s.link.Addr()}
	addr := f.world.ip(110, 1) + ":0"
	x, err := StartServer(time.Now(), u, addr, cold, f.world.ledger)
	if err != nil {
		return err
	}
	s.link.Aim(x.Addr())
	f.mu.Lock()
	s.server, s.sequence, s.silent, s.busy = x, 1, false, false
	f.mu.Unlock()
	go f.register(s, x)
	return nil
}

// register writes the record of the slot's server until the store has it.
func (f *fleet) register(s *slot, x *Server) bool {
	for f.ctx.Err() == nil {
		f.mu.Lock()
		gone, value := s.server != x || s.silent || x.ended.Load(), f.record(s, x)
		f.mu.Unlock()
		if gone {
			return false
		}
		if f.store.Put(f.ctx, platform.ServerTable, x.ID, value) == nil {
			return true
		}
		sleep(f.ctx, retryPause)
	}
	return false
}

// record encodes the server's record. The caller holds the lock.
func (f *fleet) record(s *slot, x *Server) []byte {
	state := "ready"
	if x.draining.Load() {
		state = "draining"
	}
	out, err := json.Marshal(map[string]any{
		"service": x.Service, "address": s.link.Addr(), "zone": x.Domain, "version": "1", "max_concurrency": serverSlots, "state": state,
		"warmup_left_s": max(0, time.Until(x.coldUntil).Seconds()), "sequence": s.sequence, "born": x.Born,
	})
	if err != nil {
		panic(err)
	}
	return out
}

// unregister removes a record until the store acknowledges it.
func (f *fleet) unregister(id string) bool {
	for f.ctx.Err() == nil {
		if f.store.Delete(f.ctx, platform.ServerTable, id, 0) == nil {
			return true
		}
		sleep(f.ctx, retryPause)
	}
	return false
}

// run ends the servers with the context.
func (f *fleet) run(ctx context.Context) {
	<-ctx.Done()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.slots {
		s.server.Crash()
	}
}

// take returns a slot that nothing else happens to, and keeps others from taking it.
func (f *fleet) take(target uint32) *slot {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.slots {
		s := f.slots[(int(target)+i)%len(f.slots)]
		if !s.busy {
			s.busy = true
			return s
		}
	}
	return nil
}

// some returns a part of the running servers.
func (f *fleet) some(target uint32, share float64) []*slot {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*slot
	for i := range 1 + int(share*share*float64(len(f.slots)-1)) {
		out = append(out, f.slots[(int(target)+i*7)%len(f.slots)])
	}
	return out
}

// crash ends the slot's server at once and starts one again after the time.
// Its record lapses meanwhile, unless the server is back before.
func (f *fleet) crash(ctx context.Context, s *slot, down time.Duration, sameID bool) error {
	x := s.server
	end := f.world.calm.Disturb(time.Now(), partLink(x.Link))
	x.Crash()
	id := ""
	if sameID {
		id = x.ID
	} else {
		go func() {
			sleep(f.ctx, f.world.bounds.Lapse)
			f.unregister(x.ID)
		}()
	}
	sleep(ctx, down)
	end(time.Now())
	return f.start(s, id, true)
}

// leave empties the slot's server and starts another one. A server that
// announces it says so in its record first; the others just lose theirs.
func (f *fleet) leave(ctx context.Context, s *slot, announced bool) error {
	x := s.server
	f.mu.Lock()
	s.sequence++
	f.mu.Unlock()
	if announced {
		x.draining.Store(true)
		if f.register(s, x) {
			f.world.ledger.Leaving(time.Now(), x.ID)
		}
	} else {
		f.mu.Lock()
		s.silent = true
		f.mu.Unlock()
		if f.unregister(x.ID) {
			f.world.ledger.Leaving(time.Now(), x.ID)
		}
	}
	sleep(ctx, f.world.bounds.Drain+rand.N(2*time.Second))
	end := f.world.calm.Disturb(time.Now(), partLink(x.Link))
	x.Crash()
	f.unregister(x.ID)
	end(time.Now())
	return f.start(s, "", true)
}

// replace ends two servers for good and gives each the address of the other.
func (f *fleet) replace(ctx context.Context, a, b *slot) error {
	for _, s := range []*slot{a, b} {
		defer func(end func(time.Time)) { end(time.Now()) }(f.world.calm.Disturb(time.Now(), partLink(s.link.Addr())))
		id := s.server.ID
		s.server.Crash()
		go func() {
			sleep(f.ctx, f.world.bounds.Lapse)
			f.unregister(id)
		}()
	}
	sleep(ctx, f.world.bounds.Reuse+rand.N(time.Second))
	f.mu.Lock()
	a.link, b.link = b.link, a.link
	f.mu.Unlock()
	if err := f.start(a, "", true); err != nil {
		return err
	}
	return f.start(b, "", true)
}

// lapse drops the records of all servers while the store is down. They are
// written again when it is back.
func (f *fleet) lapse(ctx context.Context, back func() bool) {
	f.mu.Lock()
	list := make([]*Server, 0, len(f.slots))
	owners := make(map[*Server]*slot)
	for _, s := range f.slots {
		list = append(list, s.server)
		owners[s.server] = s
	}
	f.mu.Unlock()
	for _, x := range list {
		f.world.store.Drop(platform.ServerTable, x.ID)
	}
	for ctx.Err() == nil && !back() {
		sleep(ctx, retryPause)
	}
	for _, x := range list {
		go func() {
			sleep(f.ctx, rand.N(f.world.bounds.Heartbeat))
			f.register(owners[x], x)
		}()
	}
}
