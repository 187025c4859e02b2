package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/hitchd/internal/edge"
	"magnoliahitch/hitchd/internal/watch"
	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
	"magnoliahitch/platform"
	"magnoliahitch/steer/delay"
	"magnoliahitch/steer/fleet"
	"magnoliahitch/steer/pick"
	"magnoliahitch/steer/routes"
)

// processor runs one step at a time, in the order in which they became ready.
type processor chan struct{}

// run waits for the processor and uses it for the duration.
func (c processor) run(d time.Duration) {
	c <- struct{}{}
	time.Sleep(d)
	<-c
}

// revised is a store with a configuration whose version increases each second. Its
// callers share a processor and take each response for lost that they get too late.
type revised struct {
	cpu   processor
	start time.Time
}

// version returns the version of the configuration at the time.
func (s revised) version(now time.Time) int64 { return 1 + int64(now.Sub(s.start)/time.Second) }

func (s revised) rows(table string, now time.Time) ([]plat.Change, plat.Position) {
	v := s.version(now)
	if table != "op" {
		return nil, plat.Position{Version: v}
	}
	return []plat.Change{{Row: plat.Row{Key: "config", At: plat.Position{Version: v}, Value: []byte(`{"version":` + strconv.FormatInt(v, 10) + `}`)}}}, plat.Position{Version: v}
}

func (s revised) Rows(ctx context.Context, table string) ([]plat.Change, plat.Moment, error) {
	return s.Changes(ctx, table, plat.Position{}, 0)
}

func (s revised) Changes(_ context.Context, table string, after plat.Position, wait time.Duration) ([]plat.Change, plat.Moment, error) {
	const step, timeout = 2 * time.Millisecond, time.Second
	began := time.Now()
	s.cpu.run(step)
	for end := time.Now().Add(wait); time.Now().Before(end) && (table != "op" || s.version(time.Now()) <= after.Version); {
		time.Sleep(10 * time.Millisecond)
	}
	answered := time.Now()
	rows, at := s.rows(table, answered)
	s.cpu.run(step)
	if time.Since(began) > wait+timeout {
		return nil, plat.Moment{}, plat.ErrSilent
	}
	return rows, plat.Moment{Position: at, Current: answered}, nil
}

func (s revised) Put(context.Context, string, string, []byte) (plat.Position, error) {
	return plat.Position{}, plat.ErrDown
}

func (s revised) Delete(context.Context, string, string, plat.Position) error { return plat.ErrDown }

// A host that gets more requests than its processor bears, and whose source was cut off from
// the store, decides none of them by tables that are older than the bounds while the store is
// well, and still serves a good part of what it can.
func TestOverloadedHostKeepsTheBounds(t *testing.T) {
	for _, c := range []struct{ load, served float64 }{{1.5, 0.6}, {3, 0.25}} {
		t.Run(fmt.Sprintf("%v times what it bears", c.load), func(t *testing.T) { testOverload(t, c.load, c.served) })
	}
}

// testOverload checks a host with the load, as a multiple of what it bears, of which it must
// serve the given part of that.
func testOverload(t *testing.T, factor, part float64) {
	synctest.Test(t, func(t *testing.T) {
		defer clock.Replace(time.Now)()
		const (
			step, steps = 2 * time.Millisecond, 6
			load        = 20 * time.Second
			// deadline is the callers'.
			deadline = time.Second
		)
		offered := time.Duration(float64(step*steps) / factor)
		bounds := platform.Bounds{Apply: 3 * time.Second, Drain: 3 * time.Second}
		ctx, cancel := context.WithCancel(t.Context())
		var loops sync.WaitGroup
		loop := func(f func()) { loops.Go(f) }
		store := revised{cpu: make(processor, 1), start: time.Now()}
		var meter delay.Meter
		operatorWait, serversWait := readWaits(bounds)
		w := watch.New(store, overloadCodec, hclog.NewNullLogger(), func(map[string]plat.Change, plat.Position) {},
			watch.WithWaits(operatorWait, serversWait), watch.WithDelays(&meter))
		e := edge.New(overloadHeaders, pick.Location{Region: "north"}, w.State, nil, hclog.NewNullLogger(),
			edge.WithDelays(&meter), edge.WithBounds(useBounds(bounds)))
		loop(func() { _ = w.RunOperator(ctx, "op") })
		loop(func() { _ = w.RunServers(ctx, "servers") })
		// The source has the first tables and nothing after them.
		loop(func() {
			operatorAge, serversAge := maxAges(bounds)
			w.SetReading(true)
			for time.Sleep(150 * time.Millisecond); ctx.Err() == nil; time.Sleep(150 * time.Millisecond) {
				now, st := time.Now(), w.State()
				w.SetReading(now.Sub(st.OperatorRead) >= operatorAge || now.Sub(st.ServersRead) >= serversAge)
			}
		})
		// What the network makes ready waits for its turn.
		loop(func() {
			for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
				meter.Begin(time.Now())
				store.cpu.run(step / 20)
				meter.End(time.Now())
			}
		})
		time.Sleep(2 * time.Second)
		var served, old, arrivals int
		var worst time.Duration
		var mu sync.Mutex
		var requests sync.WaitGroup
		for begin := time.Now(); time.Since(begin) < load; time.Sleep(offered) {
			arrivals++
			requests.Go(func() {
				sent := time.Now()
				store.cpu.run(step)
				r := httptest.NewRequest(http.MethodGet, "/a/x", nil)
				r.Host = "a.example"
				res := httptest.NewRecorder()
				e.ServeHTTP(res, r)
				switch body := res.Body.String(); {
				case strings.Contains(body, "noServer"):
				case strings.Contains(body, "stale"), strings.Contains(body, "overloaded"):
					store.cpu.run(step / 4)
					return
				default:
					t.Errorf("response %d %q", res.Code, body)
					return
				}
				mu.Lock()
				if got, need := int64(w.State().Table.Version), store.version(sent.Add(-bounds.Apply)); got < need {
					old++
				}
				worst = max(worst, time.Since(w.State().OperatorRead), time.Since(w.State().ServersRead))
				mu.Unlock()
				for range steps - 1 {
					store.cpu.run(step)
				}
				mu.Lock()
				if time.Since(sent) < deadline {
					served++
				}
				mu.Unlock()
			})
		}
		requests.Wait()
		cancel()
		loops.Wait()
		if old > 0 || worst > bounds.Apply {
			t.Errorf("%d of %d requests decided by an older configuration than the bound of %v allows, and by tables of up to %v", old, arrivals, bounds.Apply, worst)
		}
		t.Logf("%d of %d requests served in time, tables of up to %v", served, arrivals, worst)
		if bears := int(load / (step * steps)); float64(served) < part*float64(bears) {
			t.Errorf("%d requests served in time, want %v of the %d that the processor bears", served, part, bears)
		}
	})
}

// overloadCodec decodes the rows of revised.
var overloadCodec = watch.Codec{
	ConfigKey: "config",
	Config: func(value []byte) (*routes.Table, error) {
		var c struct{ Version uint64 }
		if err := json.Unmarshal(value, &c); err != nil {
			return nil, err
		}
		return routes.NewTable(c.Version, routes.Limits{}, []routes.Service{{Name: "loans"}}, []routes.Route{
			{Host: "a.example", Prefix: "/a/", Parts: []routes.Part{{Service: "loans", Weight: 1}}, MaxAttempts: 1, Timeout: 3 * time.Second},
		}), nil
	},
	Evacuated: func(string) (string, bool) { return "", false },
	Server: func(now time.Time, id string, _ []byte) (fleet.Server, error) {
		return fleet.Server{ID: id, Service: "loans", ReadAt: now}, nil
	},
}

var overloadHeaders = edge.HeaderCodec{
	Headers:    conns.Headers{RequestID: "X-Id"},
	ObjectKey:  func(http.Header) string { return "" },
	Timeout:    func(http.Header) (time.Duration, bool) { return 3 * time.Second, true },
	RetryAfter: func(d time.Duration) string { return d.String() },
}
