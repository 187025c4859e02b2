package spread

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/vmihailenco/msgpack/v5"

	"magnoliahitch/hitchd/internal/view"
	"magnoliahitch/links/mem"
	"magnoliahitch/links/plat"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
)

const pollInterval = 500 * time.Millisecond

// cluster is a simulation of hosts on virtual time with a network that can be
// partitioned.
type cluster struct {
	t     testing.TB
	store *mem.Store
	// objects holds the snapshots. Faults of the table don't affect it.
	objects *mem.Store
	nodes   []*node

	mu              sync.Mutex
	random          *rand.Rand
	partitioned     func(a, b member.Host) bool
	messages, bytes int
	// live is a cache of the running hosts, nil if it must be recomputed.
	live []member.Host
	// dropExpired drops messages to a paused host whose sender has timed out.
	dropExpired bool
	// inFlight counts the messages in flight.
	inFlight sync.WaitGroup
}

// node is a simulated host. It implements Members, Peers, plat.Table and
// plat.Objects.
type node struct {
	*cluster
	self   member.Host
	spread *Spread
	mux    *http.ServeMux
	cancel context.CancelFunc
	done   chan struct{}

	// resumed is closed when a paused host resumes; it is nil while the host
	// runs. The fields below are guarded by the cluster's lock.
	resumed          chan struct{}
	storeUnreachable bool
	stopped          bool
	revisions        []uint64
}

// newCluster starts hosts in three regions with two failure domains each.
func newCluster(t testing.TB, seed int64, hosts int) *cluster {
	c := &cluster{t: t, store: mem.New(), objects: mem.New(), random: rand.New(rand.NewSource(seed))}
	for i := range hosts {
		region := fmt.Sprint("r", i%6/2)
		domain := fmt.Sprint(region, "-", i%2)
		c.nodes = append(c.nodes, &node{cluster: c, self: member.Host{Name: fmt.Sprintf("%s-%d", domain, i/6), Region: region, Domain: domain}})
	}
	for _, n := range c.nodes {
		n.start()
	}
	return c
}

// start starts the host with an empty state.
func (n *node) start() {
	v := view.New()
	v.Watch(func(c *config.Config) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.revisions = append(n.revisions, c.Revision)
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.spread = New(n, v, hclog.NewNullLogger(), WithPeers(n, n), WithObjects(n), WithClock(time.Now))
	mux := http.NewServeMux()
	n.spread.Register(mux)
	n.mu.Lock()
	n.mux, n.live = mux, nil
	n.cancel, n.done, n.stopped, n.revisions = cancel, make(chan struct{}), false, nil
	n.mu.Unlock()
	go func() {
		defer close(n.done)
		_ = n.spread.Run(ctx, pollInterval)
	}()
}

// stop stops the host and waits for its loops.
func (n *node) stop() {
	n.mu.Lock()
	n.stopped, n.live = true, nil
	n.mu.Unlock()
	n.resume()
	n.cancel()
	<-n.done
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		if !n.stopped {
			n.stop()
		}
	}
	c.inFlight.Wait()
}

func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumed == nil {
		n.resumed = make(chan struct{})
	}
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumed != nil {
		close(n.resumed)
		n.resumed = nil
	}
}

// awaitResume blocks while the host is paused.
func (n *node) awaitResume() {
	n.mu.Lock()
	resumed := n.resumed
	n.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (n *node) Self() member.Host { return n.self }

// Live returns all hosts that aren't stopped, including paused and partitioned
// ones.
func (n *node) Live() []member.Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.live == nil {
		for _, o := range n.nodes {
			if !o.stopped {
				n.live = append(n.live, o.self)
			}
		}
	}
	return n.live
}

// delay returns the one-way delay between two hosts.
func (c *cluster) delay(a, b member.Host) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := 500 * time.Microsecond
	if a.Region != b.Region {
		d = 35 * time.Millisecond
	}
	return d + time.Duration(c.random.Int63n(int64(d)/10))
}

// Call delivers a message. A paused host receives it when it resumes, however
// late.
func (n *node) Call(ctx context.Context, to member.Host, path string, in, out any) error {
	n.awaitResume()
	body, err := msgpack.Marshal(in)
	if err != nil {
		return err
	}
	response := make(chan []byte, 1)
	n.inFlight.Go(func() { n.deliver(ctx, to, path, body, response) })
	select {
	case data := <-response:
		n.awaitResume()
		return msgpack.Unmarshal(data, out)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *node) deliver(ctx context.Context, to member.Host, path string, body []byte, response chan<- []byte) {
	time.Sleep(n.delay(n.self, to))
	target, ok := n.reach(to, len(body))
	if !ok {
		return
	}
	target.awaitResume()
	if n.dropExpired && ctx.Err() != nil {
		return
	}
	w := httptest.NewRecorder()
	n.mu.Lock()
	mux := target.mux
	n.mu.Unlock()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
	time.Sleep(n.delay(n.self, to))
	data, _ := io.ReadAll(w.Body)
	if _, ok := n.reach(to, len(data)); ok && w.Code == http.StatusOK {
		response <- data
	}
}

// reach returns the host and reports whether the network delivers a message to
// it.
func (n *node) reach(to member.Host, size int) (*node, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages++
	n.bytes += size
	for _, o := range n.nodes {
		if o.self.Name == to.Name {
			return o, !o.stopped && (n.partitioned == nil || !n.partitioned(n.self, to))
		}
	}
	return nil, false
}

// checkStore returns an error if the host is partitioned from the platform.
func (n *node) checkStore() error {
	n.awaitResume()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storeUnreachable {
		return plat.ErrDown
	}
	return nil
}

func (n *node) Get(ctx context.Context, key string) (plat.Row, error) {
	if err := n.checkStore(); err != nil {
		return plat.Row{}, err
	}
	row, err := n.store.Get(ctx, key)
	n.awaitResume()
	return row, err
}

func (n *node) List(ctx context.Context, prefix, after string, limit int) ([]plat.Row, error) {
	if err := n.checkStore(); err != nil {
		return nil, err
	}
	return n.store.List(ctx, prefix, after, limit)
}

func (n *node) Commit(ctx context.Context, t plat.Txn) (plat.Position, error) {
	if err := n.checkStore(); err != nil {
		return plat.Position{}, err
	}
	return n.store.Commit(ctx, t)
}

func (n *node) Load(ctx context.Context, key string) ([]byte, error) {
	if err := n.checkStore(); err != nil {
		return nil, err
	}
	return n.objects.Load(ctx, key)
}

func (n *node) Store(ctx context.Context, key string, data []byte) error {
	if err := n.checkStore(); err != nil {
		return err
	}
	return n.objects.Store(ctx, key, data)
}

// change returns the change that follows the revision of the host.
func (n *node) change(author string) config.Change {
	r := n.spread.view.Config().Revision + 1
	return config.Change{
		Revision: r, WriteID: fmt.Sprintf("%s-%s-%d", author, n.self.Name, r), Author: author, Reason: "test", At: time.Now().UTC(),
		Puts: config.Records{Profiles: []config.Profile{{Name: author, QueueWaitMs: int(r)}}},
	}
}

// commit pulls from the table, commits a change and returns its revision.
func (n *node) commit(author string) uint64 {
	n.t.Helper()
	if err := n.spread.Pull(context.Background()); err != nil {
		n.t.Fatalf("pull at %s: %v", n.self.Name, err)
	}
	e, err := n.tryCommit(author)
	if err != nil {
		n.t.Fatalf("commit at %s: %v", n.self.Name, err)
	}
	return e.Change.Revision
}

func (n *node) tryCommit(author string) (config.Entry, error) {
	return n.commitChange(n.change(author))
}

func (n *node) commitChange(ch config.Change) (config.Entry, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	return n.spread.Commit(ctx, ch)
}

func (n *node) revision() uint64 { return n.spread.view.Config().Revision }

// lagging returns the running hosts below the revision.
func (c *cluster) lagging(revision uint64) []string {
	var out []string
	for _, n := range c.nodes {
		if !n.stopped && n.revision() < revision {
			out = append(out, fmt.Sprint(n.self.Name, " at ", n.revision()))
		}
	}
	return out
}

// requireInForce fails the test unless every running host has the revision in
// force within the limit. It returns the time that this took.
func (c *cluster) requireInForce(limit time.Duration, revision uint64) time.Duration {
	c.t.Helper()
	begin := time.Now()
	for len(c.lagging(revision)) > 0 {
		if time.Since(begin) > limit {
			c.t.Fatalf("revision %d after %v: got %v lagging, want none", revision, limit, c.lagging(revision))
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begin)
}

// requireRising fails the test if the revisions in force on a host ever
// decreased or repeated.
func (c *cluster) requireRising() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		for i := 1; i < len(n.revisions); i++ {
			if n.revisions[i] <= n.revisions[i-1] {
				c.t.Errorf("host %s: got revisions %v, want them strictly rising", n.self.Name, n.revisions)
			}
		}
	}
}

// simulate runs f with a cluster in which each host has revision 1 in force.
func simulate(t *testing.T, hosts int, f func(*cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, hosts)
		defer c.stop()
		time.Sleep(time.Second)
		c.requireInForce(inForceLimit, c.nodes[0].commit("first"))
		f(c)
		c.requireRising()
	})
}
