package hosts

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/vmihailenco/msgpack/v5"

	"magnoliahitch/links/mem"
	"magnoliahitch/links/plat"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

// world is a deployment of real hosts in one process over a table in memory
// and an in-memory transport. It runs on virtual time.
type world struct {
	t     *testing.T
	ctx   context.Context
	store *mem.Store
	keys  []place.Key
	mu    sync.Mutex
	hosts []*fake
	moved int64
	sent  int64
}

// fake is one process: a host behind a transport that can be cut and frozen.
type fake struct {
	*Hosts
	name     string
	world    *world
	mux      *http.ServeMux
	stop     context.CancelFunc
	cutTable bool
	cutPeers bool
	late     time.Duration
	dead     bool
	thaw     chan struct{}
	ledger   *ledger
}

// ledger is a tenant that remembers what it was told.
type ledger struct {
	mu       sync.Mutex
	name     string
	acquired map[place.Key]string
}

func (l *ledger) Acquire(_ time.Time, k place.Key, handover []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acquired[k] = string(handover)
}

func (l *ledger) handover(k place.Key) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acquired[k]
}

func (l *ledger) Release(time.Time, place.Key) []byte { return []byte("from " + l.name) }

// run runs f in a world of regions with two failure domains each.
func run(t *testing.T, regions, perRegion, services int, f func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{t: t, ctx: ctx, store: mem.New()}
		for r := range regions {
			for s := range services {
				w.keys = append(w.keys, place.Cell{Region: regionName(r), Service: fmt.Sprintf("service-%d", s)}.Key())
			}
		}
		for i := range regions * perRegion {
			w.start(regionName(i/perRegion), i%perRegion)
		}
		f(w)
		for _, p := range w.hosts {
			p.freeze(false)
		}
		cancel()
		synctest.Wait()
	})
}

func regionName(i int) string { return fmt.Sprintf("region-%d", i) }

func (w *world) start(region string, i int) *fake {
	n := len(w.hosts)
	domain := fmt.Sprintf("%s-%c", region, 'a'+i%2)
	self := member.Host{
		Name:        fmt.Sprintf("%s-%d", domain, i/2),
		Region:      region,
		Domain:      domain,
		PeerAddr:    fmt.Sprintf("127.0.0.1:%d", 1000+i),
		Incarnation: uint64(time.Now().UnixNano()),
	}
	p := &fake{name: self.Name, world: w, mux: http.NewServeMux(), ledger: &ledger{name: self.Name, acquired: make(map[place.Key]string)}}
	start, rate := time.Now(), 1+float64(n%5-2)/1000
	now := func() time.Time {
		return start.Add(time.Duration(n)*time.Hour + time.Duration(float64(time.Since(start))*rate))
	}
	p.Hosts = New(self, p, p, hclog.NewNullLogger(), WithClock(now), WithKeys(func() []place.Key { return w.keys }))
	p.Register(place.Capacity, p.ledger)
	p.Source(func(now time.Time) ([]member.Load, uint64) {
		var out []member.Load
		for _, k := range w.keys {
			if p.Holds(now, k) {
				out = append(out, member.Load{Region: k.Region, Service: k.Name, Slots: 36})
			}
		}
		return out, 1
	})
	p.Handle(p.mux)
	ctx, stop := context.WithCancel(w.ctx)
	p.stop = stop
	w.mu.Lock()
	w.hosts = append(w.hosts, p)
	w.mu.Unlock()
	go func() { _ = p.Run(ctx, time.Second) }()
	return p
}

// list returns the processes so far.
func (w *world) list() []*fake {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.hosts)
}

// works reports whether the process runs and reaches the table.
func (p *fake) works() bool {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	return !p.dead && p.thaw == nil && !p.cutTable
}

func (p *fake) delay(d time.Duration) {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	p.late = d
}

// traffic returns the messages and bytes between hosts so far.
func (w *world) traffic() (messages, size float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(w.sent), float64(w.moved)
}

// kill ends the process at once.
func (p *fake) kill() {
	p.world.mu.Lock()
	p.dead = true
	p.world.mu.Unlock()
	p.stop()
}

// freeze holds back all that the process does to the outside.
func (p *fake) freeze(on bool) {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	switch {
	case on && p.thaw == nil:
		p.thaw = make(chan struct{})
	case !on && p.thaw != nil:
		close(p.thaw)
		p.thaw = nil
	}
}

func (p *fake) cut(table, peers bool) {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	p.cutTable, p.cutPeers = table, peers
}

// pass waits while the process is frozen and reports whether it reaches the
// table and the peers.
func (p *fake) pass() (table, peers bool) {
	p.world.mu.Lock()
	thaw := p.thaw
	p.world.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	return !p.dead && !p.cutTable, !p.dead && !p.cutPeers
}

// Get implements [plat.Table].
func (p *fake) Get(ctx context.Context, key string) (plat.Row, error) {
	if ok, _ := p.pass(); !ok {
		return plat.Row{}, plat.ErrDown
	}
	return p.world.store.Get(ctx, key)
}

// List implements [plat.Table]. It answers late when that is set.
func (p *fake) List(ctx context.Context, prefix, after string, limit int) ([]plat.Row, error) {
	if ok, _ := p.pass(); !ok {
		return nil, plat.ErrDown
	}
	rows, err := p.world.store.List(ctx, prefix, after, limit)
	p.world.mu.Lock()
	late := p.late
	p.world.mu.Unlock()
	if late > 0 {
		time.Sleep(late)
	}
	return rows, err
}

// Commit implements [plat.Table]. A write that left before a freeze takes
// effect after it.
func (p *fake) Commit(ctx context.Context, t plat.Txn) (int64, error) {
	if ok, _ := p.pass(); !ok {
		return 0, plat.ErrDown
	}
	v, err := p.world.store.Commit(context.WithoutCancel(ctx), t)
	if _, _ = p.pass(); ctx.Err() != nil {
		return 0, plat.ErrUnknown
	}
	return v, err
}

// Tell implements [Peers].
func (p *fake) Tell(_ context.Context, to member.Host, path string, in, out any) error {
	if _, ok := p.pass(); !ok {
		return errors.New("cut off")
	}
	body, err := msgpack.Marshal(in)
	if err != nil {
		return err
	}
	for _, q := range p.world.list() {
		if q.name != to.Name || q.Self().Incarnation != to.Incarnation {
			continue
		}
		if _, ok := q.pass(); !ok {
			return errors.New("host cut off")
		}
		w := httptest.NewRecorder()
		q.mux.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
		p.world.mu.Lock()
		p.world.moved += int64(len(body) + w.Body.Len())
		p.world.sent++
		p.world.mu.Unlock()
		if w.Code != http.StatusOK {
			return errors.Errorf("status %d: %s", w.Code, w.Body)
		}
		if out == nil {
			return nil
		}
		return msgpack.Unmarshal(w.Body.Bytes(), out)
	}
	return errors.New("no such host")
}

// holders returns the hosts that hold the key now.
func (w *world) holders(k place.Key) []*fake {
	var out []*fake
	for _, p := range w.hosts {
		if !p.dead && p.Holds(p.clock(), k) {
			out = append(out, p)
		}
	}
	return out
}

// tick is how often the invariant is checked.
const tick = 100 * time.Millisecond

// wait lets time pass and checks that each key has one holder at most.
func (w *world) wait(d time.Duration) {
	w.t.Helper()
	for range int(d / tick) {
		time.Sleep(tick)
		w.check()
	}
}

func (w *world) check() {
	w.t.Helper()
	for _, k := range w.keys {
		if got := w.holders(k); len(got) > 1 {
			w.t.Fatalf("got holders %s and %s of %s, want one at most", got[0].name, got[1].name, k)
		}
	}
}

// all reports whether each key has a holder that the live hosts of its region
// know, except the hosts that are left out.
func (w *world) all() bool {
	for _, k := range w.keys {
		got := w.holders(k)
		if len(got) != 1 {
			return false
		}
		for _, p := range w.hosts {
			if !p.works() || p.self.Region != k.Region {
				continue
			}
			if m, ok := p.Keeper(p.clock(), k); !ok || m.Name != got[0].name {
				return false
			}
		}
	}
	return true
}

// until waits for a condition, checking the invariant, and returns the time it took.
func (w *world) until(limit time.Duration, what string, f func() bool) time.Duration {
	w.t.Helper()
	start := time.Now()
	for !f() {
		if time.Since(start) > limit {
			w.t.Fatalf("got no %s within %v", what, limit)
		}
		w.wait(tick)
	}
	return time.Since(start)
}
