package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/vmihailenco/msgpack/v5"

	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
	"magnoliahitch/steer/crash"
	"magnoliahitch/steer/member"
)

// reports is a record of crashes. It counts the reports that were merged.
type reports struct {
	mu       sync.Mutex
	suspects *crash.Suspects
	onChange func()
	merged   int
}

func newCrashes(host string) *reports {
	return &reports{suspects: crash.New(host, crash.WithCrashThreshold(3), crash.WithoutTrials())}
}

func (c *reports) OnChange(f func()) { c.onChange = f }

func (c *reports) Changes(now time.Time, since uint64) ([]crash.Report, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects.Changes(now, since, 100)
}

func (c *reports) Merge(now time.Time, in []crash.Report, known uint64) uint64 {
	c.mu.Lock()
	before := c.suspects.Revision()
	for _, r := range in {
		c.suspects.Merge(now, r)
		c.merged++
	}
	after := c.suspects.Revision()
	c.mu.Unlock()
	if after != before {
		c.onChange()
	}
	if known == before {
		return after
	}
	return known
}

func (c *reports) has(p crash.Fingerprint) bool {
	known, _ := c.Changes(clock.Now(), 0)
	return slices.ContainsFunc(known, func(r crash.Report) bool { return r.Fingerprint == p })
}

// A request that crashes servers is repeated at any host, and so all hosts of all regions must
// learn of a crash before its caller is bound to be refused, 4 s after the third one.
func TestCrashReportsReachAllRegions(t *testing.T) {
	const allowed = 4 * time.Second
	rows := make(map[string]plat.Change)
	var hosts []*Relay
	var records []*reports
	for _, region := range []string{"north", "south", "west"} {
		for _, name := range []string{"a-1", "a-2", "b-1", "b-2"} {
			self := member.Host{Name: region + "-" + name, Region: region, Domain: region + "-" + name[:1], Incarnation: 1}
			c := newCrashes(self.Name)
			r := New(self, noStore{}, "hosts", c, hclog.NewNullLogger())
			attachWatch(r, noStore{})
			s := httptest.NewServer(r.Handler())
			t.Cleanup(s.Close)
			r.self.PeerAddr = strings.TrimPrefix(s.URL, "http://")
			value, err := json.Marshal(r.self)
			if err != nil {
				t.Fatal(err)
			}
			rows[self.Name] = plat.Change{Row: plat.Row{Key: self.Name, At: plat.Position{Version: int64(len(rows) + 1)}, Value: value}}
			hosts, records = append(hosts, r), append(records, c)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var g sync.WaitGroup
	for _, r := range hosts {
		r.SetRows(rows, plat.Position{})
		for _, f := range []func(context.Context) error{r.Run, r.RunExchange, r.RunRegions} {
			g.Go(func() { _ = f(ctx) })
		}
	}
	defer g.Wait()
	defer cancel()
	time.Sleep(exchangeInterval)
	// The last host of its domain is the farthest from the other regions.
	records[3].Merge(clock.Now(), []crash.Report{{Fingerprint: 7, Origin: "north-b-2", Servers: []string{"s1"}}}, 0)
	end := time.Now().Add(allowed)
	for i, c := range records {
		for !c.has(7) && time.Now().Before(end) {
			time.Sleep(10 * time.Millisecond)
		}
		if !c.has(7) {
			t.Errorf("%s has no report %s after the crash", hosts[i].Self().Name, allowed)
		}
	}
}

// A host that restarts has lost all reports and must get them again from hosts that sent them
// before. One that has them gets none twice.
func TestRestartedHostGetsCrashReportsAgain(t *testing.T) {
	records := map[uint64]*reports{}
	var current atomic.Pointer[Relay]
	restart := func(incarnation uint64) {
		self := host("a", "x")
		self.Incarnation = incarnation
		records[incarnation] = newCrashes("a")
		r := New(self, noStore{}, "hosts", records[incarnation], hclog.NewNullLogger())
		attachWatch(r, noStore{})
		current.Store(r)
	}
	restart(1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { current.Load().Handler().ServeHTTP(w, r) }))
	defer s.Close()
	a := host("a", "x")
	a.PeerAddr = strings.TrimPrefix(s.URL, "http://")
	c := newCrashes("b")
	b := New(host("b", "x"), noStore{}, "hosts", c, hclog.NewNullLogger())
	attachWatch(b, noStore{})
	poll := func() {
		t.Helper()
		if err := b.poll(t.Context(), a); err != nil {
			t.Fatal(err)
		}
	}
	c.Merge(clock.Now(), []crash.Report{{Fingerprint: 7, Origin: "b", Servers: []string{"s1"}}}, 0)
	records[1].Merge(clock.Now(), []crash.Report{{Fingerprint: 8, Origin: "a", Servers: []string{"s2"}}}, 0)
	for range 5 {
		poll()
	}
	if got, back := records[1].merged, c.merged; got != 2 || back != 2 {
		t.Errorf("%d and %d reports merged after five polls, want 2 each: one's own and the other's", got, back)
	}
	restart(2)
	poll()
	poll()
	if !records[2].has(7) {
		t.Error("the restarted host has no report after two polls")
	}
}

// Thousands of requests are in flight when a region's servers are lost. Their reports must stay
// small, and come out of a message as they went in.
func TestReportsAreCompact(t *testing.T) {
	want := []crash.Report{{
		Fingerprint: 1 << 63, Origin: "front-mvd-a-12", Servers: []string{"i-1c0cd646d6@mls5rrhd"}, Epoch: 2, Probations: 1, Age: 3 * time.Second,
	}}
	data, err := msgpack.Marshal(encodeReports(want))
	if err != nil {
		t.Fatal(err)
	}
	if got, limit := len(data), 64; got > limit {
		t.Errorf("a report takes %d bytes, want at most %d", got, limit)
	}
	var in []crashReport
	if err := msgpack.Unmarshal(data, &in); err != nil {
		t.Fatal(err)
	}
	if got := decodeReports(in); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
