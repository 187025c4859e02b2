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

// cluster is a set of hosts on virtual time with a network that can be cut.
type cluster struct {
	t     testing.TB
	store *mem.Store
	// objects holds the snapshots, apart from the table's faults.
	objects *mem.Store
	nodes   []*node

	mu              sync.Mutex
	random          *rand.Rand
	cut             func(a, b member.Host) bool
	messages, bytes int
	// live is the list of running hosts, nil when it isn't known.
	live []member.Host
	// lateLost drops messages to a frozen host whose sender has given up.
	lateLost bool
	// flights counts the messages on their way.
	flights sync.WaitGroup
}

// node is one host. It implements Members, Peers, plat.Table and plat.Objects.
type node struct {
	*cluster
	self   member.Host
	spread *Spread
	mux    *http.ServeMux
	cancel context.CancelFunc
	done   chan struct{}

	// The rest is guarded by the cluster's lock.
	thaw      chan struct{}
	noStore   bool
	stopped   bool
	revisions []uint64
}

// newCluster starts hosts in three regions of two failure domains each.
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

// start starts the host with nothing in its memory.
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

// stop ends the host.
func (n *node) stop() {
	n.mu.Lock()
	n.stopped, n.live = true, nil
	n.mu.Unlock()
	n.unfreeze()
	n.cancel()
	<-n.done
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		if !n.stopped {
			n.stop()
		}
	}
	c.flights.Wait()
}

func (n *node) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.thaw == nil {
		n.thaw = make(chan struct{})
	}
}

func (n *node) unfreeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.thaw != nil {
		close(n.thaw)
		n.thaw = nil
	}
}

// await waits while the host is frozen.
func (n *node) await() {
	n.mu.Lock()
	thaw := n.thaw
	n.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
}

// Self returns the host.
func (n *node) Self() member.Host { return n.self }

// Live returns every host, also those that are frozen or cut off.
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

// Tell carries a message. A frozen host gets it when it wakes, however late.
func (n *node) Tell(ctx context.Context, to member.Host, path string, in, out any) error {
	n.await()
	body, err := msgpack.Marshal(in)
	if err != nil {
		return err
	}
	answer := make(chan []byte, 1)
	n.flights.Go(func() { n.deliver(ctx, to, path, body, answer) })
	select {
	case data := <-answer:
		n.await()
		return msgpack.Unmarshal(data, out)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *node) deliver(ctx context.Context, to member.Host, path string, body []byte, answer chan<- []byte) {
	time.Sleep(n.delay(n.self, to))
	target, ok := n.reach(to, len(body))
	if !ok {
		return
	}
	target.await()
	if n.lateLost && ctx.Err() != nil {
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
		answer <- data
	}
}

// reach returns the host when the network carries a message to it.
func (n *node) reach(to member.Host, size int) (*node, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages++
	n.bytes += size
	for _, o := range n.nodes {
		if o.self.Name == to.Name {
			return o, !o.stopped && (n.cut == nil || !n.cut(n.self, to))
		}
	}
	return nil, false
}

// down fails when the host is cut off from the platform.
func (n *node) down() error {
	n.await()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.noStore {
		return plat.ErrDown
	}
	return nil
}

func (n *node) Get(ctx context.Context, key string) (plat.Row, error) {
	if err := n.down(); err != nil {
		return plat.Row{}, err
	}
	row, err := n.store.Get(ctx, key)
	n.await()
	return row, err
}

func (n *node) List(ctx context.Context, prefix, after string, limit int) ([]plat.Row, error) {
	if err := n.down(); err != nil {
		return nil, err
	}
	return n.store.List(ctx, prefix, after, limit)
}

func (n *node) Commit(ctx context.Context, t plat.Txn) (int64, error) {
	if err := n.down(); err != nil {
		return 0, err
	}
	return n.store.Commit(ctx, t)
}

func (n *node) Load(ctx context.Context, key string) ([]byte, error) {
	if err := n.down(); err != nil {
		return nil, err
	}
	return n.objects.Load(ctx, key)
}

func (n *node) Store(ctx context.Context, key string, data []byte) error {
	if err := n.down(); err != nil {
		return err
	}
	return n.objects.Store(ctx, key, data)
}

// change returns the change that follows the host's revision.
func (n *node) change(author string) config.Change {
	r := n.spread.view.Config().Revision + 1
	return config.Change{
		Revision: r, WriteID: fmt.Sprintf("%s-%s-%d", author, n.self.Name, r), Author: author, Reason: "test", At: time.Now().UTC(),
		Puts: config.Records{Profiles: []config.Profile{{Name: author, QueueWaitMs: int(r)}}},
	}
}

// commit commits a change to the table's revision and returns its own.
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

// within fails unless every running host has the revision in force in time.
func (c *cluster) within(limit time.Duration, revision uint64) time.Duration {
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

// neverBack fails when a host's revisions ever went back.
func (c *cluster) neverBack() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		for i := 1; i < len(n.revisions); i++ {
			if n.revisions[i] <= n.revisions[i-1] {
				c.t.Errorf("host %s: got revisions %v, want them rising", n.self.Name, n.revisions)
			}
		}
	}
}

// onVirtualTime runs f with a cluster of today's size at which each host has
// revision 1 in force.
func onVirtualTime(t *testing.T, hosts int, f func(*cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, hosts)
		defer c.stop()
		time.Sleep(time.Second)
		c.within(inForceLimit, c.nodes[0].commit("first"))
		f(c)
		c.neverBack()
	})
}
