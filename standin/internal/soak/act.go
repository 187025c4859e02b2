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

// Strength and timing of faults. maxLinkDelay, maxStoreDelay and maxSlowdown are reached at Event.Share = 1.
const (
	maxLinkDelay  = 150 * time.Millisecond
	maxStoreDelay = 900 * time.Millisecond
	lostCommits   = 30
	maxSlowdown   = 8.0
	corruptShare  = 0.15
	// Few requests are answered early.
	cutShare    = 0.5
	refuseShare = 0.3
	// rollInterval is the time between the planned stops of a rolling restart.
	rollInterval = 600 * time.Millisecond
	// stormInterval is the time between two configurations of a Storm.
	stormInterval = 250 * time.Millisecond
	// maxPowerOutage bounds the downtime of hosts that are killed together.
	maxPowerOutage = 9 * time.Second
)

// runPlan injects the plan's faults at their times and returns when the last one has ended.
func (w *World) runPlan(ctx context.Context, p Plan) {
	began := time.Now()
	var all sync.WaitGroup
	for _, e := range p {
		sleep(ctx, e.At-time.Since(began))
		if ctx.Err() != nil {
			break
		}
		fmt.Printf("%6.2f %s for %.1f s, target %d, share %.2f\n", time.Since(began).Seconds(), e.Kind, e.For.Seconds(), e.Target, e.Share)
		all.Go(func() {
			if err := w.inject(ctx, e); err != nil {
				fmt.Printf("could not inject fault %s: %v\n", e.Kind, err)
			}
		})
	}
	all.Wait()
}

// inject injects one fault and returns when it has ended.
func (w *World) inject(ctx context.Context, e Event) error {
	h := w.hosts[int(e.Target)%len(w.hosts)]
	switch e.Kind {
	case HostKill:
		return h.Kill(e.For)
	case HostsKill:
		return w.forHosts(e, func(h *Host) error { return h.Kill(min(maxPowerOutage, e.For)) })
	case HostStop:
		return h.Stop(ctx, w.bounds.StopTimeout)
	case HostsStop:
		return w.roll(ctx, e)
	case HostPause:
		return h.Pause(ctx, e.For)
	case HostStarve:
		return h.Starve(ctx, e.For, e.Share)
	case HostReload:
		return h.Reload()
	case FrontDelay, FrontReset, FrontCut, FrontSilence:
		w.injectLinkFault(ctx, e, h.front, partHost(h.Name))
	case HostStoreDelay, HostStoreReset, HostStoreCut, HostStoreSilence:
		w.injectLinkFault(ctx, e, h.store, partHost(h.Name))
	case ServerLinkDelay, ServerLinkReset, ServerLinkCut, ServerLinkSilence:
		l := w.fleet.selectServers(e.Target, 0)[0].link
		w.injectLinkFault(ctx, e, l, partLink(l.Addr()))
	case HostRefused, StoreDown, StoreSlow, StoreLose, StoreLate, StoreCompact:
		w.injectStoreFault(ctx, e, h)
	case StoreRestore:
		w.restoreStore(ctx, e)
	case ServerCrash, ServerDrain, ServerVanish, ServerReplace, ServerAdd:
		return w.changeServers(ctx, e)
	case ServerSlow, ServerFail, ServerLose, ServerGarble, ServerForget, ServerHoldOff, ServerRepeat, ServerUnavailable:
		w.injectServerFault(ctx, e)
	case OddRecord:
		w.fleet.writeOdd(ctx, e)
	case Configure:
		w.operator.configure(ctx)
	case Storm:
		for end := time.Now().Add(e.For); time.Now().Before(end); sleep(ctx, stormInterval) {
			w.operator.configure(ctx)
		}
	case QueryOfDeath:
		w.repeatFatally(ctx, e)
	case Evacuate:
		d := domains[int(e.Target)%len(domains)].name
		w.operator.evacuate(ctx, d, e.For, func() { w.fleet.cool(d) })
	}
	return nil
}

// roll stops up to half of the hosts, depending on the share, at intervals of rollInterval.
func (w *World) roll(ctx context.Context, e Event) error {
	g, ctx := errgroup.WithContext(ctx)
	for i := range 1 + int(e.Share*float64(len(w.hosts)/2)) {
		g.Go(func() error {
			sleep(ctx, time.Duration(i)*rollInterval)
			return w.hosts[(int(e.Target)+i)%len(w.hosts)].Stop(ctx, w.bounds.StopTimeout)
		})
	}
	return g.Wait()
}

// forHosts calls f for a share of the hosts, rounded up, and stops at the first error.
func (w *World) forHosts(e Event, f func(*Host) error) error {
	for i := range int(math.Ceil(e.Share * float64(len(w.hosts)))) {
		if err := f(w.hosts[(int(e.Target)+i)%len(w.hosts)]); err != nil {
			return err
		}
	}
	return nil
}

// injectLinkFault applies a fault to a link for e.For and records the part as disturbed meanwhile.
func (w *World) injectLinkFault(ctx context.Context, e Event, l *Link, part string) {
	end := w.disturbances.Disturb(time.Now(), part)
	defer func() { end(time.Now()) }()
	var f LinkFault
	switch e.Kind {
	case FrontDelay, HostStoreDelay, ServerLinkDelay:
		f.Delay = time.Duration(e.Share * float64(maxLinkDelay))
	case FrontReset, HostStoreReset, ServerLinkReset:
		f.Refuse = e.Share > 0.5
		l.Reset()
	case FrontCut, HostStoreCut, ServerLinkCut:
		// One direction, the other one, or both.
		f.Block = [2]bool{e.Share < 0.6, e.Share > 0.3}
	case FrontSilence, HostStoreSilence, ServerLinkSilence:
		l.Block()
	}
	n := w.addLinkFault(l, f)
	sleep(ctx, e.For)
	w.removeLinkFault(l, n)
}

func (w *World) addLinkFault(l *Link, f LinkFault) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.linkFaults[l]
	if s == nil {
		s = &activeFaults[LinkFault]{}
		w.linkFaults[l] = s
	}
	n := s.add(f)
	l.Set(s.merge(mergeLinkFaults))
	return n
}

func (w *World) removeLinkFault(l *Link, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.linkFaults[l].remove(n)
	l.Set(w.linkFaults[l].merge(mergeLinkFaults))
}

func mergeLinkFaults(a, b LinkFault) LinkFault {
	return LinkFault{
		Delay: max(a.Delay, b.Delay), Refuse: a.Refuse || b.Refuse, Block: [2]bool{a.Block[Forth] || b.Block[Forth], a.Block[Back] || b.Block[Back]},
	}
}

// injectStoreFault applies a fault to the store for e.For, or for HostRefused
// only to requests of the one host. Some long outages also expire the servers' records.
func (w *World) injectStoreFault(ctx context.Context, e Event, h *Host) {
	part := partStore
	var f store.Fault
	switch e.Kind {
	case HostRefused:
		part = partHost(h.Name)
		f.RefusedClients = map[string]int{h.IP: []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, 0}[e.Target%3]}
	case StoreDown:
		f.Down = true
	case StoreSlow:
		f.Delay = time.Duration(e.Share * float64(maxStoreDelay))
	case StoreLose:
		f.LoseCommits = lostCommits
	case StoreLate:
		f.LoseCommits, f.LateBy = lostCommits, time.Second+time.Duration(e.Share*float64(2*time.Second))
	case StoreCompact:
		w.store.Compact()
	}
	end := w.disturbances.Disturb(time.Now(), part)
	defer func() { end(time.Now()) }()
	w.mu.Lock()
	n := w.storeFault.add(f)
	w.store.SetFault(w.storeFault.merge(mergeStoreFaults))
	w.mu.Unlock()
	if e.Kind == StoreDown && e.For > w.bounds.RecordTTL && e.Share > 0.5 {
		sleep(ctx, w.bounds.RecordTTL)
		go w.fleet.expireRecords(ctx, w.storeUp)
		sleep(ctx, e.For-w.bounds.RecordTTL)
	} else {
		sleep(ctx, e.For)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeFault.remove(n)
	w.store.SetFault(w.storeFault.merge(mergeStoreFaults))
}

// maxRestoreOutage bounds the outage in which the store is restored.
const maxRestoreOutage = 3 * time.Second

// restoreStore makes a copy of the store, and after e.For an outage from which the store is
// back as in the copy. The operator and the servers write again what they want
// then, and the operator makes a change.
func (w *World) restoreStore(ctx context.Context, e Event) {
	w.store.Save()
	sleep(ctx, e.For)
	end := w.disturbances.Disturb(time.Now(), partStore)
	defer func() { end(time.Now()) }()
	w.mu.Lock()
	n := w.storeFault.add(store.Fault{Fault: mem.Fault{Down: true}})
	w.store.SetFault(w.storeFault.merge(mergeStoreFaults))
	w.mu.Unlock()
	sleep(ctx, time.Duration(e.Share*float64(maxRestoreOutage)))
	restored := w.store.Restore()
	w.mu.Lock()
	w.storeFault.remove(n)
	w.store.SetFault(w.storeFault.merge(mergeStoreFaults))
	w.mu.Unlock()
	if restored {
		go w.fleet.writeAgain()
		w.operator.writeAgain(ctx)
		// Its version may be one that hosts have seen before.
		w.operator.configure(ctx)
	}
}

// storeUp reports whether the store is up.
func (w *World) storeUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.storeFault.merge(mergeStoreFaults).Down
}

func mergeStoreFaults(a, b store.Fault) store.Fault {
	out := store.Fault{
		Fault: mem.Fault{
			Down: a.Down || b.Down, Delay: max(a.Delay, b.Delay), LoseCommits: max(a.LoseCommits, b.LoseCommits), LateBy: max(a.LateBy, b.LateBy),
		},
		RefusedClients: make(map[string]int),
	}
	for _, f := range []store.Fault{a, b} {
		for ip, status := range f.RefusedClients {
			out.RefusedClients[ip] = status
		}
	}
	return out
}

// changeServers adds a server, or crashes, drains, removes or replaces one. It
// replaces none when a change is already in progress at every endpoint.
func (w *World) changeServers(ctx context.Context, e Event) error {
	if e.Kind == ServerAdd {
		i := int(e.Target) % len(domains)
		return w.fleet.add(i, domains[i], services[int(e.Target>>8)%len(services)], true)
	}
	s := w.fleet.reserve(e.Target)
	if s == nil {
		return nil
	}
	switch e.Kind {
	case ServerCrash:
		return w.fleet.crash(ctx, s, e.For, e.Share < 0.3)
	case ServerDrain:
		return w.fleet.retire(ctx, s, true)
	case ServerVanish:
		return w.fleet.retire(ctx, s, false)
	}
	other := w.fleet.reserve(e.Target / 3)
	if other == nil {
		return w.fleet.crash(ctx, s, e.For, false)
	}
	return w.fleet.swapAddresses(ctx, s, other)
}

// injectServerFault applies a fault to some servers for e.For.
func (w *World) injectServerFault(ctx context.Context, e Event) {
	var f ServerFault
	switch e.Kind {
	case ServerSlow:
		f.Slow = 1 + e.Share*(maxSlowdown-1)
	case ServerFail:
		f.Fail = e.Share
	case ServerLose:
		f.Lose = corruptShare
	case ServerGarble:
		f.Truncate, f.Extra, f.Malform, f.Cut = corruptShare/2, corruptShare/2, corruptShare/2, cutShare
	case ServerHoldOff:
		f.HoldOff = refuseShare
	case ServerRepeat:
		f.Repeat = refuseShare
	case ServerUnavailable:
		f.Unavailable = refuseShare
	}
	numbers := make(map[*Server]int)
	w.mu.Lock()
	for _, s := range w.fleet.selectServers(e.Target, rand.Float64()) {
		x := s.server
		if e.Kind == ServerForget {
			x.Forget()
		}
		if e.Kind != ServerHoldOff {
			defer func(end func(time.Time)) { end(time.Now()) }(w.disturbances.Disturb(time.Now(), partLink(x.Link)))
		}
		if w.serverFaults[x] == nil {
			w.serverFaults[x] = &activeFaults[ServerFault]{}
		}
		numbers[x] = w.serverFaults[x].add(f)
		w.applyServerFault(x)
	}
	w.mu.Unlock()
	sleep(ctx, e.For)
	w.mu.Lock()
	defer w.mu.Unlock()
	for x, n := range numbers {
		w.serverFaults[x].remove(n)
		w.applyServerFault(x)
	}
}

func (w *World) applyServerFault(x *Server) {
	f := w.serverFaults[x].merge(func(a, b ServerFault) ServerFault {
		return ServerFault{
			Slow: max(a.Slow, b.Slow), Fail: max(a.Fail, b.Fail), Lose: max(a.Lose, b.Lose), Truncate: max(a.Truncate, b.Truncate), Extra: max(a.Extra, b.Extra),
			Malform: max(a.Malform, b.Malform), Cut: max(a.Cut, b.Cut),
			HoldOff: max(a.HoldOff, b.HoldOff), Repeat: max(a.Repeat, b.Repeat), Unavailable: max(a.Unavailable, b.Unavailable),
		}
	})
	x.fault.Store(&f)
}
