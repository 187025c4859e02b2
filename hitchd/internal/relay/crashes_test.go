package relay

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/links/plat"
	"magnoliahitch/steer/crash"
	"magnoliahitch/steer/member"
)

// reports is a record of crashes that keeps all reports.
type reports struct {
	mu    sync.Mutex
	known map[crash.Fingerprint]crash.Report
}

func (c *reports) Reports(time.Time) []crash.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []crash.Report
	for _, r := range c.known {
		out = append(out, r)
	}
	return out
}

func (c *reports) Merge(_ time.Time, in []crash.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range in {
		c.known[r.Fingerprint] = r
	}
}

func (c *reports) has(p crash.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.known[p]
	return ok
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
			c := &reports{known: make(map[crash.Fingerprint]crash.Report)}
			r := New(self, noStore{}, "hosts", c, hclog.NewNullLogger())
			attachWatch(r, noStore{})
			s := httptest.NewServer(r.Handler())
			t.Cleanup(s.Close)
			r.self.PeerAddr = strings.TrimPrefix(s.URL, "http://")
			value, err := json.Marshal(r.self)
			if err != nil {
				t.Fatal(err)
			}
			rows[self.Name] = plat.Change{Row: plat.Row{Key: self.Name, Version: int64(len(rows) + 1), Value: value}}
			hosts, records = append(hosts, r), append(records, c)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var g sync.WaitGroup
	for _, r := range hosts {
		r.SetRows(rows)
		for _, f := range []func(context.Context) error{r.Run, r.RunExchange} {
			g.Go(func() { _ = f(ctx) })
		}
	}
	defer g.Wait()
	defer cancel()
	time.Sleep(exchangeInterval)
	// The last host of its domain is the farthest from the other regions.
	records[3].Merge(time.Now(), []crash.Report{{Fingerprint: 7, Origin: "north-b-2", Servers: []string{"s1"}}})
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
