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

// simulation is a deployment of real hosts in one process with a table and a transport in
// memory. It runs on virtual time.
type simulation struct {
	t            *testing.T
	ctx          context.Context
	store        *mem.Store
	keys         []place.Key
	mu           sync.Mutex
	hosts        []*simulatedHost
	sentBytes    int64
	sentMessages int64
}

// simulatedHost is one process: a host that can crash, be paused, and be partitioned from
// the table and from the other hosts. It implements the table and the transport of its host.
type simulatedHost struct {
	*Hosts
	name string
	sim  *simulation
	mux  *http.ServeMux
	stop context.CancelFunc
	// noTable and noPeers are set while the process is partitioned from the table
	// and from the other hosts.
	noTable   bool
	noPeers   bool
	listDelay time.Duration
	crashed   bool
	// resume is closed when a paused process resumes. It is nil while it isn't paused.
	resume chan struct{}
	tenant *recordingTenant
}

// recordingTenant is a tenant that records the handovers with which it acquired cells.
type recordingTenant struct {
	mu       sync.Mutex
	name     string
	acquired map[place.Key]string
}

func (t *recordingTenant) Acquire(_ time.Time, k place.Key, handover []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acquired[k] = string(handover)
}

func (t *recordingTenant) handover(k place.Key) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acquired[k]
}

func (t *recordingTenant) Release(time.Time, place.Key) []byte { return []byte("from " + t.name) }

// simulate runs f in a simulation of regions with two failure domains each.
func simulate(t *testing.T, regions, perRegion, services int, f func(s *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &simulation{t: t, ctx: ctx, store: mem.New()}
		for r := range regions {
			for n := range services {
				s.keys = append(s.keys, place.Cell{Region: regionName(r), Service: fmt.Sprintf("service-%d", n)}.Key())
			}
		}
		for i := range regions * perRegion {
			s.start(regionName(i/perRegion), i%perRegion)
		}
		f(s)
		for _, p := range s.hosts {
			p.setPaused(false)
		}
		cancel()
		synctest.Wait()
	})
}

func regionName(i int) string { return fmt.Sprintf("region-%d", i) }

// start starts a host of the region. Clocks of hosts differ by hours, and their rates by up to
// 0.2 percent from the real one.
func (s *simulation) start(region string, i int) *simulatedHost {
	n := len(s.hosts)
	domain := fmt.Sprintf("%s-%c", region, 'a'+i%2)
	self := member.Host{
		Name:        fmt.Sprintf("%s-%d", domain, i/2),
		Region:      region,
		Domain:      domain,
		PeerAddr:    fmt.Sprintf("127.0.0.1:%d", 1000+i),
		Incarnation: uint64(time.Now().UnixNano()),
	}
	p := &simulatedHost{name: self.Name, sim: s, mux: http.NewServeMux(), tenant: &recordingTenant{name: self.Name, acquired: make(map[place.Key]string)}}
	start, rate := time.Now(), 1+float64(n%5-2)/1000
	now := func() time.Time {
		return start.Add(time.Duration(n)*time.Hour + time.Duration(float64(time.Since(start))*rate))
	}
	p.Hosts = New(self, p, p, hclog.NewNullLogger(), WithClock(now), WithKeys(func() []place.Key { return s.keys }))
	p.Register(place.Capacity, p.tenant)
	p.SetSource(func(now time.Time) ([]member.Load, uint64) {
		var out []member.Load
		for _, k := range s.keys {
			if p.Holds(now, k) {
				out = append(out, member.Load{Region: k.Region, Service: k.Name, Slots: 36})
			}
		}
		return out, 1
	})
	p.Handle(p.mux)
	ctx, stop := context.WithCancel(s.ctx)
	p.stop = stop
	s.mu.Lock()
	s.hosts = append(s.hosts, p)
	s.mu.Unlock()
	go func() { _ = p.Run(ctx, time.Second) }()
	return p
}

// list returns the hosts started so far.
func (s *simulation) list() []*simulatedHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.hosts)
}

// reachesTable reports whether the process runs and isn't partitioned from the table.
func (p *simulatedHost) reachesTable() bool {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	return !p.crashed && p.resume == nil && !p.noTable
}

// setListDelay sets the time by which reads of the table are delayed.
func (p *simulatedHost) setListDelay(d time.Duration) {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	p.listDelay = d
}

// traffic returns the number of messages and bytes between hosts so far.
func (s *simulation) traffic() (messages, size float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.sentMessages), float64(s.sentBytes)
}

// crash stops the process at once.
func (p *simulatedHost) crash() {
	p.sim.mu.Lock()
	p.crashed = true
	p.sim.mu.Unlock()
	p.stop()
}

// setPaused pauses or resumes the process: while it is paused, its messages and its calls of
// the table wait.
func (p *simulatedHost) setPaused(on bool) {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	switch {
	case on && p.resume == nil:
		p.resume = make(chan struct{})
	case !on && p.resume != nil:
		close(p.resume)
		p.resume = nil
	}
}

// partition sets from which of the table and the other hosts the process is cut off.
func (p *simulatedHost) partition(table, peers bool) {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	p.noTable, p.noPeers = table, peers
}

// awaitAccess waits while the process is paused and reports whether it reaches the table
// and the other hosts.
func (p *simulatedHost) awaitAccess() (table, peers bool) {
	p.sim.mu.Lock()
	resume := p.resume
	p.sim.mu.Unlock()
	if resume != nil {
		<-resume
	}
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	return !p.crashed && !p.noTable, !p.crashed && !p.noPeers
}

// Get implements [plat.Table].
func (p *simulatedHost) Get(ctx context.Context, key string) (plat.Row, error) {
	if ok, _ := p.awaitAccess(); !ok {
		return plat.Row{}, plat.ErrDown
	}
	return p.sim.store.Get(ctx, key)
}

// List implements [plat.Table]. It returns the rows after the delay that was set, so that
// they are outdated by then.
func (p *simulatedHost) List(ctx context.Context, prefix, after string, limit int) ([]plat.Row, error) {
	if ok, _ := p.awaitAccess(); !ok {
		return nil, plat.ErrDown
	}
	rows, err := p.sim.store.List(ctx, prefix, after, limit)
	p.sim.mu.Lock()
	delay := p.listDelay
	p.sim.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return rows, err
}

// Commit implements [plat.Table]. A write that was sent before a pause takes effect after it,
// also when its context has ended by then.
func (p *simulatedHost) Commit(ctx context.Context, t plat.Txn) (plat.Position, error) {
	if ok, _ := p.awaitAccess(); !ok {
		return plat.Position{}, plat.ErrDown
	}
	v, err := p.sim.store.Commit(context.WithoutCancel(ctx), t)
	if _, _ = p.awaitAccess(); ctx.Err() != nil {
		return plat.Position{}, plat.ErrUnknown
	}
	return v, err
}

// Call implements [Peers].
func (p *simulatedHost) Call(_ context.Context, to member.Host, path string, in, out any) error {
	if _, ok := p.awaitAccess(); !ok {
		return errors.New("sender is partitioned or has crashed")
	}
	body, err := msgpack.Marshal(in)
	if err != nil {
		return err
	}
	for _, q := range p.sim.list() {
		if q.name != to.Name || q.Self().Incarnation != to.Incarnation {
			continue
		}
		if _, ok := q.awaitAccess(); !ok {
			return errors.New("target is partitioned or has crashed")
		}
		w := httptest.NewRecorder()
		q.mux.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
		p.sim.mu.Lock()
		p.sim.sentBytes += int64(len(body) + w.Body.Len())
		p.sim.sentMessages++
		p.sim.mu.Unlock()
		if w.Code != http.StatusOK {
			return errors.Errorf("status %d: %s", w.Code, w.Body)
		}
		if out == nil {
			return nil
		}
		return msgpack.Unmarshal(w.Body.Bytes(), out)
	}
	return errors.New("no host with this name and incarnation")
}

// holders returns the hosts that hold the cell now.
func (s *simulation) holders(k place.Key) []*simulatedHost {
	var out []*simulatedHost
	for _, p := range s.hosts {
		if !p.crashed && p.Holds(p.clock(), k) {
			out = append(out, p)
		}
	}
	return out
}

// checkInterval is the time between two checks of the invariant.
const checkInterval = 100 * time.Millisecond

// advance lets time pass and checks all along that each cell has at most one holder. A
// check waits until every other goroutine is blocked: a cell that changes its holder while
// the check goes through the hosts would be counted at both.
func (s *simulation) advance(d time.Duration) {
	s.t.Helper()
	for range int(d / checkInterval) {
		time.Sleep(checkInterval)
		synctest.Wait()
		s.check()
	}
}

// check fails the test when a cell has several holders.
func (s *simulation) check() {
	s.t.Helper()
	for _, k := range s.keys {
		if got := s.holders(k); len(got) > 1 {
			s.t.Fatalf("got holders %s and %s of %s, want at most one", got[0].name, got[1].name, k)
		}
	}
}

// allHeld reports whether each cell has exactly one holder, and each host of its region that
// reaches the table returns it as the keeper.
func (s *simulation) allHeld() bool {
	for _, k := range s.keys {
		got := s.holders(k)
		if len(got) != 1 {
			return false
		}
		for _, p := range s.hosts {
			if !p.reachesTable() || p.self.Region != k.Region {
				continue
			}
			if m, ok := p.Keeper(p.clock(), k); !ok || m.Name != got[0].name {
				return false
			}
		}
	}
	return true
}

// waitFor waits for a condition, checks the invariant meanwhile, and returns the time that
// it took. The test fails when it takes longer than the limit.
func (s *simulation) waitFor(limit time.Duration, what string, f func() bool) time.Duration {
	s.t.Helper()
	start := time.Now()
	for !f() {
		if time.Since(start) > limit {
			s.t.Fatalf("got no %s within %v", what, limit)
		}
		s.advance(checkInterval)
	}
	return time.Since(start)
}
