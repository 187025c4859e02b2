package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"magnoliahitch/links/mem"
	"magnoliahitch/standin/internal/store"
)

// How strong faults are.
const (
	linkDelay  = 150 * time.Millisecond
	storeDelay = 900 * time.Millisecond
	lostWrites = 30
	slowest    = 8.0
	spoilt     = 0.15
	// rollGap is the time between two planned stops of a series.
	rollGap = 600 * time.Millisecond
	// stormGap is the time between two configurations of a series.
	stormGap = 250 * time.Millisecond
	// powerDown bounds how long hosts stay down that are killed together.
	powerDown = 9 * time.Second
)

// carryOut carries the plan out and returns when the last fault ended.
func (w *World) carryOut(ctx context.Context, p Plan) {
	began := time.Now()
	var all sync.WaitGroup
	for _, e := range p {
		sleep(ctx, e.At-time.Since(began))
		if ctx.Err() != nil {
			break
		}
		fmt.Printf("%6.2f %s for %.1f s, target %d, share %.2f\n", time.Since(began).Seconds(), e.Kind, e.For.Seconds(), e.Target, e.Share)
		all.Go(func() {
			if err := w.act(ctx, e); err != nil {
				fmt.Printf("%s was not carried out: %v\n", e.Kind, err)
			}
		})
	}
	all.Wait()
}

// act carries out one fault and returns when it ended.
func (w *World) act(ctx context.Context, e Event) error {
	h := w.hosts[int(e.Target)%len(w.hosts)]
	switch e.Kind {
	case HostKill:
		return h.Kill(e.For)
	case HostPower:
		return w.eachHost(e, func(h *Host) error { return h.Kill(min(powerDown, e.For)) })
	case HostStop:
		return h.Stop(ctx, w.bounds.Stop)
	case HostRoll:
		return w.roll(ctx, e)
	case HostPause:
		return h.Pause(ctx, e.For)
	case HostReload:
		return h.Reload()
	case FrontDelay, FrontReset, FrontCut, FrontSilence:
		w.harmLink(ctx, e, h.front, partHost(h.Name))
	case HostStoreDelay, HostStoreReset, HostStoreCut, HostStoreSilence:
		w.harmLink(ctx, e, h.store, partHost(h.Name))
	case ServerLinkDelay, ServerLinkReset, ServerLinkCut, ServerLinkSilence:
		l := w.fleet.some(e.Target, 0)[0].link
		w.harmLink(ctx, e, l, partLink(l.Addr()))
	case HostTurnedAway, StoreDown, StoreSlow, StoreLose, StoreLate, StoreForget:
		w.harmStore(ctx, e, h)
	case ServerCrash, ServerDrain, ServerVanish, ServerReplace, ServerAdd:
		return w.changeServers(ctx, e)
	case ServerSlow, ServerFail, ServerLose, ServerGarble, ServerForget:
		w.harmServers(ctx, e)
	case Configure:
		w.operator.configure(ctx)
	case Storm:
		for end := time.Now().Add(e.For); time.Now().Before(end); sleep(ctx, stormGap) {
			w.operator.configure(ctx)
		}
	case Evacuate:
		w.operator.evacuate(ctx, domains[int(e.Target)%len(domains)].name, e.For)
	}
	return nil
}

// roll stops a share of the hosts, one a while after the other.
func (w *World) roll(ctx context.Context, e Event) error {
	g, ctx := errgroup.WithContext(ctx)
	for i := range 1 + int(e.Share*float64(len(w.hosts)/2)) {
		g.Go(func() error {
			sleep(ctx, time.Duration(i)*rollGap)
			return w.hosts[(int(e.Target)+i)%len(w.hosts)].Stop(ctx, w.bounds.Stop)
		})
	}
	return g.Wait()
}

// eachHost does something to a share of the hosts at the same time.
func (w *World) eachHost(e Event, f func(*Host) error) error {
	for i := range int(math.Ceil(e.Share * float64(len(w.hosts)))) {
		if err := f(w.hosts[(int(e.Target)+i)%len(w.hosts)]); err != nil {
			return err
		}
	}
	return nil
}

// harmLink harms a link for the time, which disturbs the part.
func (w *World) harmLink(ctx context.Context, e Event, l *Link, part string) {
	end := w.calm.Disturb(time.Now(), part)
	defer func() { end(time.Now()) }()
	var f LinkFault
	switch e.Kind {
	case FrontDelay, HostStoreDelay, ServerLinkDelay:
		f.Delay = time.Duration(e.Share * float64(linkDelay))
	case FrontReset, HostStoreReset, ServerLinkReset:
		f.Refuse = e.Share > 0.5
		l.Reset()
	case FrontCut, HostStoreCut, ServerLinkCut:
		// One way, the other one, or both.
		f.Cut = [2]bool{e.Share < 0.6, e.Share > 0.3}
	case FrontSilence, HostStoreSilence, ServerLinkSilence:
		l.Silence()
	}
	n := w.pushLink(l, f)
	sleep(ctx, e.For)
	w.popLink(l, n)
}

func (w *World) pushLink(l *Link, f LinkFault) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.linkFaults[l]
	if s == nil {
		s = &stack[LinkFault]{}
		w.linkFaults[l] = s
	}
	n := s.push(f)
	l.Set(s.merge(joinLinks))
	return n
}

func (w *World) popLink(l *Link, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.linkFaults[l].pop(n)
	l.Set(w.linkFaults[l].merge(joinLinks))
}

func joinLinks(a, b LinkFault) LinkFault {
	return LinkFault{
		Delay: max(a.Delay, b.Delay), Refuse: a.Refuse || b.Refuse, Cut: [2]bool{a.Cut[Forth] || b.Cut[Forth], a.Cut[Back] || b.Cut[Back]},
	}
}

// harmStore harms the store, or what it does for one host, for the time.
func (w *World) harmStore(ctx context.Context, e Event, h *Host) {
	part := partStore
	var f store.Fault
	switch e.Kind {
	case HostTurnedAway:
		part = partHost(h.Name)
		f.TurnAway = map[string]int{h.IP: []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, 0}[e.Target%3]}
	case StoreDown:
		f.Down = true
	case StoreSlow:
		f.Delay = time.Duration(e.Share * float64(storeDelay))
	case StoreLose:
		f.LoseCommits = lostWrites
	case StoreLate:
		f.LoseCommits, f.LateBy = lostWrites, time.Second+time.Duration(e.Share*float64(2*time.Second))
	case StoreForget:
		w.store.Compact()
	}
	end := w.calm.Disturb(time.Now(), part)
	defer func() { end(time.Now()) }()
	w.mu.Lock()
	n := w.storeFault.push(f)
	w.store.Set(w.storeFault.merge(joinStores))
	w.mu.Unlock()
	if e.Kind == StoreDown && e.For > w.bounds.Lapse && e.Share > 0.5 {
		sleep(ctx, w.bounds.Lapse)
		go w.fleet.lapse(ctx, w.storeBack)
		sleep(ctx, e.For-w.bounds.Lapse)
	} else {
		sleep(ctx, e.For)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeFault.pop(n)
	w.store.Set(w.storeFault.merge(joinStores))
}

// storeBack reports whether the store is up.
func (w *World) storeBack() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.storeFault.merge(joinStores).Down
}

func joinStores(a, b store.Fault) store.Fault {
	out := store.Fault{
		Fault: mem.Fault{
			Down: a.Down || b.Down, Delay: max(a.Delay, b.Delay), LoseCommits: max(a.LoseCommits, b.LoseCommits), LateBy: max(a.LateBy, b.LateBy),
		},
		TurnAway: make(map[string]int),
	}
	for _, f := range []store.Fault{a, b} {
		for ip, status := range f.TurnAway {
			out.TurnAway[ip] = status
		}
	}
	return out
}

// changeServers ends, replaces or adds servers.
func (w *World) changeServers(ctx context.Context, e Event) error {
	if e.Kind == ServerAdd {
		i := int(e.Target) % len(domains)
		return w.fleet.add(i, domains[i], services[int(e.Target>>8)%len(services)], true)
	}
	s := w.fleet.take(e.Target)
	if s == nil {
		return nil
	}
	switch e.Kind {
	case ServerCrash:
		return w.fleet.crash(ctx, s, e.For, e.Share < 0.3)
	case ServerDrain:
		return w.fleet.leave(ctx, s, true)
	case ServerVanish:
		return w.fleet.leave(ctx, s, false)
	}
	other := w.fleet.take(e.Target / 3)
	if other == nil {
		return w.fleet.crash(ctx, s, e.For, false)
	}
	return w.fleet.replace(ctx, s, other)
}

// harmServers makes some servers misbehave for the time.
func (w *World) harmServers(ctx context.Context, e Event) {
	var f ServerFault
	switch e.Kind {
	case ServerSlow:
		f.Slow = 1 + e.Share*(slowest-1)
	case ServerFail:
		f.Fail = e.Share
	case ServerLose:
		f.Lose = spoilt
	case ServerGarble:
		f.Cut, f.Extra = spoilt/2, spoilt/2
	}
	numbers := make(map[*Server]int)
	w.mu.Lock()
	for _, s := range w.fleet.some(e.Target, rand.Float64()) {
		x := s.server
		if e.Kind == ServerForget {
			x.Forget()
		}
		defer func(end func(time.Time)) { end(time.Now()) }(w.calm.Disturb(time.Now(), partLink(x.Link)))
		if w.faulty[x] == nil {
			w.faulty[x] = &stack[ServerFault]{}
		}
		numbers[x] = w.faulty[x].push(f)
		w.setFault(x)
	}
	w.mu.Unlock()
	sleep(ctx, e.For)
	w.mu.Lock()
	defer w.mu.Unlock()
	for x, n := range numbers {
		w.faulty[x].pop(n)
		w.setFault(x)
	}
}

func (w *World) setFault(x *Server) {
	f := w.faulty[x].merge(func(a, b ServerFault) ServerFault {
		return ServerFault{Slow: max(a.Slow, b.Slow), Fail: max(a.Fail, b.Fail), Lose: max(a.Lose, b.Lose), Cut: max(a.Cut, b.Cut), Extra: max(a.Extra, b.Extra)}
	})
	x.fault.Store(&f)
}
