package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"magnoliahitch/links/plat"
	"magnoliahitch/platform"
)

// Downtime of a server after a fatal request.
const (
	minFatalDowntime    = time.Second
	fatalDowntimeSpread = 2 * time.Second
)

// fleet runs the upstream servers and writes their records to the store.
type fleet struct {
	world *World
	store *platform.Store
	ctx   context.Context

	mu        sync.Mutex
	count     int
	endpoints []*endpoint
}

// endpoint runs one server at a time behind a link. The link's address is the
// one in the server's record, so that a new server reuses the address.
type endpoint struct {
	domain  domain
	service string
	link    *Link
	server  *Server
	// sequence counts the changes of the server's record.
	sequence int
	// announced is set while the record says that the server drains.
	announced bool
	// unregistered is set while the server runs but no longer writes its record.
	unregistered bool
	// busy is set while the server is being drained, stopped or replaced.
	busy bool
}

func newFleet(ctx context.Context, w *World, store *platform.Store) *fleet {
	return &fleet{world: w, store: store, ctx: ctx}
}

// startAll starts the initial servers.
func (f *fleet) startAll() error {
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

// add creates an endpoint and starts a server at it. A cold server needs a warm-up.
func (f *fleet) add(group int, d domain, service string, cold bool) error {
	l, err := NewLink(f.ctx, f.world.ip(100+group, 1)+":0", "", "")
	if err != nil {
		return err
	}
	s := &endpoint{domain: d, service: service, link: l}
	if err := f.start(s, "", cold); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints = append(f.endpoints, s)
	return nil
}

// start starts a server at the endpoint, under a new id unless one is given,
// and registers it in the background.
func (f *fleet) start(s *endpoint, id string, cold bool) error {
	f.mu.Lock()
	f.count++
	if id == "" {
		id = fmt.Sprintf("i-%s-%d", s.service, f.count)
	}
	f.mu.Unlock()
	u := Upstream{ID: id, Service: s.service, Domain: s.domain.name, Link: s.link.Addr()}
	addr := f.world.ip(110, 1) + ":0"
	x, err := StartServer(time.Now(), u, addr, cold, f.world.ledger, func(target string) bool { return f.crashFatally(s, id, target) })
	if err != nil {
		return err
	}
	s.link.SetTarget(x.Addr())
	f.mu.Lock()
	s.server, s.sequence, s.announced, s.unregistered, s.busy = x, 1, false, false, false
	f.mu.Unlock()
	go f.register(s, x)
	return nil
}

// register writes the server's record and retries until the store acknowledges
// it. It reports false when the server was replaced, removed or ended before.
func (f *fleet) register(s *endpoint, x *Server) bool {
	for f.ctx.Err() == nil {
		f.mu.Lock()
		obsolete, value := s.server != x || s.unregistered || x.ended.Load(), f.record(s, x, s.link.Addr())
		f.mu.Unlock()
		if obsolete {
			return false
		}
		if _, err := f.store.Put(f.ctx, platform.ServerTable, x.ID, value); err == nil {
			return true
		}
		sleep(f.ctx, retryInterval)
	}
	return false
}

// cool starts a warm-up of all servers of the domain. Each reports it with its next
// heartbeat.
func (f *fleet) cool(domain string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, s := range f.endpoints {
		x := s.server
		if s.domain.name != domain || x == nil || x.ended.Load() {
			continue
		}
		s.sequence++
		x.Cool(now)
		f.world.ledger.Cool(x.ID, *x.coldUntil.Load())
		time.AfterFunc(rand.N(f.world.bounds.Heartbeat), func() { f.register(s, x) })
	}
}

// record encodes the server's record with the address. The caller holds f.mu.
func (f *fleet) record(s *endpoint, x *Server, address string) []byte {
	state := "ready"
	if s.announced {
		state = "draining"
	}
	out, err := json.Marshal(map[string]any{
		"service": x.Service, "address": address, "zone": x.Domain, "version": "1", "max_concurrency": serverSlots, "state": state,
		"warmup_left_s": x.WarmUpLeft(time.Now()).Seconds(), "sequence": s.sequence, "born": x.Born,
	})
	if err != nil {
		panic(err)
	}
	return out
}

// unregister deletes a server's record and retries until the store
// acknowledges it. It reports false when the context ended before.
func (f *fleet) unregister(id string) bool {
	for f.ctx.Err() == nil {
		if f.store.Delete(f.ctx, platform.ServerTable, id, plat.Position{}) == nil {
			return true
		}
		sleep(f.ctx, retryInterval)
	}
	return false
}

// run stops the servers when the context ends.
func (f *fleet) run(ctx context.Context) {
	<-ctx.Done()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.endpoints {
		s.server.Crash()
	}
}

// reserve marks an endpoint that isn't busy as busy and returns it, or nil when
// all are busy.
func (f *fleet) reserve(target uint32) *endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.endpoints {
		s := f.endpoints[(int(target)+i)%len(f.endpoints)]
		if !s.busy {
			s.busy = true
			return s
		}
	}
	return nil
}

// selectServers returns distinct endpoints, at least one; their number grows with the
// square of the share.
func (f *fleet) selectServers(target uint32, share float64) []*endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*endpoint
	step := 7
	if len(f.endpoints)%step == 0 {
		// The step would come back to the first one before it has met all.
		step = 1
	}
	for i := range 1 + int(share*share*float64(len(f.endpoints)-1)) {
		out = append(out, f.endpoints[(int(target)+i*step)%len(f.endpoints)])
	}
	return out
}

// crash ends the endpoint's server at once and starts one after the downtime.
// With sameID the new one overwrites the record. Otherwise it has a new id, and
// the old record is removed once its lifetime has passed.
func (f *fleet) crash(ctx context.Context, s *endpoint, down time.Duration, sameID bool) error {
	x := s.server
	end := f.world.disturbances.Disturb(time.Now(), partLink(x.Link))
	x.Crash()
	id := ""
	if sameID {
		id = x.ID
	} else {
		go func() {
			sleep(f.ctx, f.world.bounds.RecordTTL)
			f.unregister(x.ID)
		}()
	}
	sleep(ctx, down)
	end(time.Now())
	return f.start(s, id, true)
}

// crashFatally ends the endpoint's server, which runs a fatal request, and starts one after
// a while. It reports false if the server is about to end anyway.
func (f *fleet) crashFatally(s *endpoint, id, target string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.busy || s.server == nil || s.server.ID != id || s.server.ended.Load() {
		return false
	}
	s.busy = true
	f.world.ledger.Crashed(time.Now(), target)
	s.link.Stop()
	go func() {
		err := f.crash(f.ctx, s, minFatalDowntime+rand.N(fatalDowntimeSpread), rand.IntN(4) == 0)
		for ; err == nil && f.ctx.Err() == nil; sleep(f.ctx, retryInterval) {
			if err := s.link.Resume(); err == nil {
				return
			}
		}
	}()
	return true
}

// retire drains the endpoint's server, stops it and starts another one. An
// announced drain is first written to the server's record as its state;
// otherwise the record is just removed. The server runs for at least
// bounds.Drain after the store acknowledged that.
func (f *fleet) retire(ctx context.Context, s *endpoint, announced bool) error {
	x := s.server
	f.mu.Lock()
	s.sequence++
	s.announced = announced
	f.mu.Unlock()
	x.leaving.Store(true)
	if announced {
		if f.register(s, x) {
			f.world.ledger.Leaving(time.Now(), x.ID)
		}
	} else {
		f.mu.Lock()
		s.unregistered = true
		f.mu.Unlock()
		if f.unregister(x.ID) {
			f.world.ledger.Leaving(time.Now(), x.ID)
		}
	}
	sleep(ctx, f.world.bounds.Drain+rand.N(2*time.Second))
	end := f.world.disturbances.Disturb(time.Now(), partLink(x.Link))
	x.Crash()
	f.unregister(x.ID)
	end(time.Now())
	return f.start(s, "", true)
}

// swapAddresses crashes two servers and starts two new ones, each at the address
// of the other endpoint's former server.
func (f *fleet) swapAddresses(ctx context.Context, a, b *endpoint) error {
	for _, s := range []*endpoint{a, b} {
		defer func(end func(time.Time)) { end(time.Now()) }(f.world.disturbances.Disturb(time.Now(), partLink(s.link.Addr())))
		id := s.server.ID
		s.server.Crash()
		go func() {
			sleep(f.ctx, f.world.bounds.RecordTTL)
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

// writeAgain makes each server write its record to a store that was restored from a copy,
// within a heartbeat. Records of the copy whose servers have left expire.
func (f *fleet) writeAgain() {
	var rows []plat.Change
	for f.ctx.Err() == nil {
		var err error
		if rows, _, err = f.store.Rows(f.ctx, platform.ServerTable); err == nil {
			break
		}
		sleep(f.ctx, retryInterval)
	}
	f.mu.Lock()
	living := make(map[string]bool)
	for _, s := range f.endpoints {
		x := s.server
		if x == nil || s.unregistered || x.ended.Load() {
			continue
		}
		living[x.ID] = true
		time.AfterFunc(rand.N(f.world.bounds.Heartbeat), func() { f.register(s, x) })
	}
	f.mu.Unlock()
	for _, r := range rows {
		if !living[r.Key] {
			time.AfterFunc(f.world.bounds.RecordTTL, func() { f.unregisterGone(r.Key) })
		}
	}
}

// unregisterGone deletes the record of a server that doesn't run.
func (f *fleet) unregisterGone(id string) {
	f.mu.Lock()
	runs := slices.ContainsFunc(f.endpoints, func(s *endpoint) bool { return s.server != nil && s.server.ID == id && !s.unregistered })
	f.mu.Unlock()
	if !runs {
		f.unregister(id)
	}
}

// expireRecords drops the records of all servers while the store is down. The
// servers write them again, each within a heartbeat after the store is back.
func (f *fleet) expireRecords(ctx context.Context, back func() bool) {
	f.mu.Lock()
	list := make([]*Server, 0, len(f.endpoints))
	owners := make(map[*Server]*endpoint)
	for _, s := range f.endpoints {
		list = append(list, s.server)
		owners[s.server] = s
	}
	f.mu.Unlock()
	for _, x := range list {
		f.world.store.Drop(platform.ServerTable, x.ID)
	}
	for ctx.Err() == nil && !back() {
		sleep(ctx, retryInterval)
	}
	for _, x := range list {
		go func() {
			sleep(f.ctx, rand.N(f.world.bounds.Heartbeat))
			f.register(owners[x], x)
		}()
	}
}
