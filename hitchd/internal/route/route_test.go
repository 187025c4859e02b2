package route

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/hitchd/internal/lend"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/budget"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// fakeNetwork is a deployment seen from host a1 in region a, with further hosts
// a2 and a3, b1 and c1 in the regions a, b and c. Keepers lists the keepers of
// each region over time, results the errors of the sends to each host in order;
// later sends succeed.
type fakeNetwork struct {
	keepers      map[string][]string
	results      map[string][]error
	calls        []string
	bodies       []string
	noConnection bool
}

func (n *fakeNetwork) Self() member.Host { return member.Host{Name: "a1", Region: "a"} }

func (n *fakeNetwork) Live() []member.Host { return []member.Host{n.Self()} }

// Keeper returns the present keeper of the region. Forward advances to the next
// one after an error; the last one stays.
func (n *fakeNetwork) Keeper(_ time.Time, k place.Key) (member.Host, bool) {
	list := n.keepers[k.Region]
	if k.Kind != place.Capacity || len(list) == 0 {
		return member.Host{}, false
	}
	return member.Host{Name: list[0], Region: k.Region}, true
}

func (n *fakeNetwork) Load(time.Time, place.Cell) (member.Load, bool) { return member.Load{}, false }

func (n *fakeNetwork) Forward(ctx context.Context, to member.Host, r *call.Request) (*call.Response, error) {
	if trace := httptrace.ContextClientTrace(ctx); !n.noConnection && trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	n.calls = append(n.calls, to.Name)
	if r.Body != nil {
		b, _ := io.ReadAll(r.Body)
		n.bodies = append(n.bodies, string(b))
	}
	var err error
	if list := n.results[to.Name]; len(list) > 0 {
		err, n.results[to.Name] = list[0], list[1:]
	}
	if list := n.keepers[to.Region]; err != nil && len(list) > 1 {
		n.keepers[to.Region] = list[1:]
	}
	if err != nil {
		return nil, err
	}
	return &call.Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("free")), Server: to.Name}, nil
}

// Do serves the cells of this host.
func (n *fakeNetwork) Do(ctx context.Context, r *call.Request) (*call.Response, error) {
	return n.Forward(ctx, n.Self(), r)
}

// allowRetries is a retry budget that allows every retry.
type allowRetries struct{}

func (allowRetries) CountRequest(time.Time) {}

func (allowRetries) Take(time.Time) bool { return true }

func (allowRetries) SetShare(float64) {}

// denyRetries is a retry budget that allows none.
type denyRetries struct{ allowRetries }

func (denyRetries) Take(time.Time) bool { return false }

// newRouter returns a router in a deployment of three regions. Two requests a
// second may be shifted from each region.
func newRouter(t *testing.T, n *fakeNetwork, b RetryBudget) *Router {
	t.Helper()
	r := config.Records{
		Profiles: []config.Profile{{Name: "p", QueueWaitMs: 100, ShiftRate: 2, ShiftMbps: 100, ShiftFloorShare: 1, MaxHosts: 1}},
		Services: []config.Service{{Name: "care", Profile: "p"}},
	}
	for _, from := range []string{"a", "b", "c"} {
		r.Regions = append(r.Regions, config.Region{Name: from})
		r.Servers = append(r.Servers, config.Server{Name: from, Service: "care", Region: from, Slots: 3})
		for _, to := range []string{"a", "b", "c"} {
			r.Links = append(r.Links, config.Link{Name: from + to, From: from, To: to, Mbps: 100, FloorShare: 1, MaxHosts: 1})
		}
	}
	c, err := (&config.Config{}).WithChange(config.Change{Revision: 1, Puts: r})
	if err != nil {
		t.Fatal(err)
	}
	s := lend.NewSpenders(clock.Now().Add(-time.Minute), n, nil, nil, hclog.NewNullLogger())
	s.Configure(clock.Now(), c)
	out := New(n, n, n, s, n, func(float64) RetryBudget { return b }, hclog.NewNullLogger())
	out.Configure(c)
	return out
}

// newRequest returns a request of a caller at home in origin. A POST has a
// body.
func newRequest(method, origin string) *call.Request {
	r := &call.Request{
		ID: "r", Method: method, Origin: origin, Path: "/item",
		Cell:     place.Cell{Region: "a", Service: "care"},
		Deadline: clock.Now().Add(time.Hour),
	}
	if method == http.MethodPost {
		r.Body = strings.NewReader("velvet pall")
	}
	return r
}

func TestRouter(t *testing.T) {
	refuse := func(r result.Reason) error { return result.NewNotRun(r, "test", "test") }
	lost := result.NewUnknown(result.ReasonPeer, "forward", "test", errors.New("connection lost"))
	serverCrashed := result.NewUnknown(result.ReasonUpstream, "send", "test", errors.New("server crashed"))
	threeRegions := map[string][]string{"a": {"a2"}, "b": {"b1"}, "c": {"c1"}}
	twoRegions := map[string][]string{"a": {"a2"}, "b": {"b1"}}
	for _, c := range []struct {
		name         string
		keepers      map[string][]string
		results      map[string][]error
		method       string
		origin       string
		budget       RetryBudget
		noConnection bool
		calls        string
		want         result.Outcome
		reason       result.Reason
	}{
		{name: "home", keepers: threeRegions, calls: "a2", want: result.Done},
		{name: "own cell", keepers: map[string][]string{"a": {"a1"}}, calls: "a1", want: result.Done},
		{name: "POST to moved keeper", method: http.MethodPost, keepers: map[string][]string{"a": {"a2", "a1"}}, results: map[string][]error{"a2": {refuse(result.ReasonNotKeeper)}}, calls: "a2 a1", want: result.Done},
		{name: "fenced twice, then another region", keepers: twoRegions, results: map[string][]error{"a2": {refuse(result.ReasonFenced), refuse(result.ReasonFenced)}}, calls: "a2 a2 b1", want: result.Done},
		{name: "full home spills over", method: http.MethodPost, keepers: twoRegions, results: map[string][]error{"a2": {refuse(result.ReasonQueueFull)}}, calls: "a2 b1", want: result.Done},
		{name: "full everywhere", keepers: twoRegions, results: map[string][]error{"a2": {refuse(result.ReasonQueueFull)}, "b1": {refuse(result.ReasonQueueFull)}}, calls: "a2 b1", want: result.NotRun, reason: result.ReasonQueueFull},
		{name: "deadline refusal is final", keepers: threeRegions, results: map[string][]error{"a2": {refuse(result.ReasonDeadline)}}, calls: "a2", want: result.NotRun, reason: result.ReasonDeadline},
		{name: "lost POST is not sent again", method: http.MethodPost, keepers: twoRegions, results: map[string][]error{"a2": {lost}}, calls: "a2", want: result.Unknown, reason: result.ReasonPeer},
		{name: "unsent POST is sent again", method: http.MethodPost, keepers: map[string][]string{"a": {"a2", "a3"}}, noConnection: true, results: map[string][]error{"a2": {lost}}, calls: "a2 a3", want: result.Done},
		{name: "lost GET is sent again", keepers: map[string][]string{"a": {"a2", "a3"}}, results: map[string][]error{"a2": {lost}}, calls: "a2 a3", want: result.Done},
		{name: "lost GET twice", keepers: map[string][]string{"a": {"a2", "a3"}, "b": {"b1"}}, results: map[string][]error{"a2": {lost}, "a3": {lost}}, calls: "a2 a3", want: result.Unknown, reason: result.ReasonPeer},
		{name: "lost GET, then full", keepers: map[string][]string{"a": {"a2", "a3"}}, results: map[string][]error{"a2": {lost}, "a3": {refuse(result.ReasonQueueFull)}}, calls: "a2 a3", want: result.Unknown, reason: result.ReasonPeer},
		{name: "lost GET without budget", budget: denyRetries{}, keepers: twoRegions, results: map[string][]error{"a2": {lost}}, calls: "a2", want: result.Unknown, reason: result.ReasonPeer},
		{name: "upstream lost the request", keepers: twoRegions, results: map[string][]error{"a2": {serverCrashed}}, calls: "a2", want: result.Unknown, reason: result.ReasonUpstream},
		{name: "home region without keeper", origin: "c", keepers: twoRegions, calls: "a2", want: result.Done},
		{name: "no keeper in any region", keepers: nil, want: result.NotRun, reason: result.ReasonNoKeeper},
	} {
		n := &fakeNetwork{keepers: make(map[string][]string), results: make(map[string][]error), noConnection: c.noConnection}
		for k, v := range c.keepers {
			n.keepers[k] = v
		}
		for k, v := range c.results {
			n.results[k] = v
		}
		if c.budget == nil {
			c.budget = allowRetries{}
		}
		if c.method == "" {
			c.method = http.MethodGet
		}
		a, err := newRouter(t, n, c.budget).Do(t.Context(), newRequest(c.method, c.origin))
		if got := result.OutcomeOf(err); got != c.want {
			t.Errorf("%s: got %s, %v, want %s", c.name, got, err, c.want)
		}
		if err != nil && result.From(err).Reason != c.reason {
			t.Errorf("%s: got reason %s, want %s", c.name, result.From(err).Reason, c.reason)
		}
		if got := strings.Join(n.calls, " "); got != c.calls {
			t.Errorf("%s: got sent to %q, want %q", c.name, got, c.calls)
		}
		for _, b := range n.bodies {
			if b != "velvet pall" {
				t.Errorf("%s: got body %q, want the complete body in each send", c.name, b)
			}
		}
		if a != nil {
			_ = a.Body.Close()
		}
	}
}

func TestRouterRefusesAboveShiftCap(t *testing.T) {
	n := &fakeNetwork{keepers: map[string][]string{"a": {"a1"}}}
	router := newRouter(t, n, allowRetries{})
	done, start := 0, clock.Now()
	for range 50 {
		_, err := router.Do(t.Context(), newRequest(http.MethodGet, "c"))
		if err == nil {
			done++
			continue
		}
		if e := result.From(err); e.Outcome != result.NotRun || e.Reason != result.ReasonShiftCap {
			t.Errorf("got %s, %s, want notRun, shiftCap", e.Outcome, e.Reason)
		}
	}
	// The cap admits two requests in each window, and the calls span several
	// windows on a slow machine.
	most := 2 * (1 + int(clock.Now().Sub(start)/budget.Window))
	if done < 2 || done > most || done != len(n.calls) {
		t.Errorf("got %d done of %d sent, want 2 to %d", done, len(n.calls), most)
	}
}

func TestExplainListsCellsInOrder(t *testing.T) {
	n := &fakeNetwork{keepers: map[string][]string{"b": {"b1"}}}
	got := newRouter(t, n, allowRetries{}).Explain(clock.Now(), place.Cell{Region: "a", Service: "care"}, "")
	if len(got) < 2 || !strings.HasPrefix(got[0], "b/care (failure): keeper b1, counts against shift/") {
		t.Errorf("got %q, want region b first, with the cap that it counts against", got)
	}
	if want := "not a/care (home): noKeeper"; !strings.Contains(strings.Join(got, "\n"), want) {
		t.Errorf("got %q, want %q in it", got, want)
	}
}
