package front

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// twoRegions has a host in each region; the keeper can be changed.
type twoRegions struct {
	fakeMembers
	hosts  []member.Host
	keeper string
}

func (m *twoRegions) Live() []member.Host { return append([]member.Host(nil), m.hosts...) }

func (m *twoRegions) Keeper(_ time.Time, k place.Key) (member.Host, bool) {
	for _, h := range m.hosts {
		if h.Name == m.keeper && h.Region == k.Region {
			return h, true
		}
	}
	return member.Host{}, false
}

// oneTable is one table for all profiles.
type oneTable struct{ blocks *place.Blocks }

func (t oneTable) For(string) *place.Blocks { return t.blocks }

func litoralTable(t *testing.T) oneTable {
	t.Helper()
	var b place.Builder
	if err := b.AddSite(place.Site{Name: "salto", Region: "litoral"}); err != nil {
		t.Fatal(err)
	}
	if err := b.AddBlock(netip.MustParsePrefix("10.7.0.0/16"), "salto"); err != nil {
		t.Fatal(err)
	}
	table, err := b.Build()
	if err != nil {
		t.Fatal(err)
	}
	return oneTable{table}
}

func testTwoRegions(t *testing.T) (*Front, *twoRegions) {
	t.Helper()
	m := &twoRegions{fakeMembers: testMembers(), keeper: "norte-b-1", hosts: []member.Host{
		{Name: "norte-a-1", Region: "norte", Domain: "norte-a"},
		{Name: "norte-b-1", Region: "norte", Domain: "norte-b"},
		{Name: "litoral-a-1", Region: "litoral", Domain: "litoral-a"},
	}}
	v := testView()
	v.config.Servers = v.config.Servers.With(func(s config.Server) string { return s.Name },
		config.Server{Name: "s2", Service: "stock", Region: "litoral"})
	f := testFront(answerWith(""), WithBlocks(litoralTable(t)))
	f.view, f.members = v, m
	return f, m
}

func ask(t *testing.T, f *Front, target, block string) lookupAnswer {
	t.Helper()
	req := httptest.NewRequest(http.MethodGet, target, nil)
	if block != "" {
		req.Header.Set(call.HeaderBlock, block)
	}
	w := httptest.NewRecorder()
	f.Server().Handler.ServeHTTP(w, req)
	var a lookupAnswer
	if err := json.Unmarshal(w.Body.Bytes(), &a); err != nil || w.Code != http.StatusOK {
		t.Fatalf("got %d, %v, want an answer", w.Code, err)
	}
	return a
}

func TestLookupFollowsTheBlockOfTheCaller(t *testing.T) {
	f, _ := testTwoRegions(t)
	for _, c := range []struct{ target, block, region, host string }{
		{"/lookup/stock", "", "norte", "norte-b-1"},
		{"/lookup/stock", "10.7.1.0/24", "litoral", "litoral-a-1"},
		{"/lookup/stock?block=10.7.9.9", "", "litoral", "litoral-a-1"},
		{"/lookup/stock", "10.8.0.1", "norte", "norte-b-1"},
	} {
		a := ask(t, f, c.target, c.block)
		if a.Region != c.region || a.Hosts[0].Name != c.host {
			t.Errorf("%+v: got region %s, host %s", c, a.Region, a.Hosts[0].Name)
		}
	}
}

func TestLookupSeesChangedKeepersAndHosts(t *testing.T) {
	f, m := testTwoRegions(t)
	now := time.Unix(1000, 0)
	conf := f.view.Config()
	first := func() string { return f.guide(now, conf).Hosts("norte", "stock")[0].Name }
	if got, want := first(), "norte-b-1"; got != want {
		t.Fatalf("got %s first, want %s", got, want)
	}
	m.keeper = "norte-a-1"
	if got, want := first(), "norte-b-1"; got != want {
		t.Errorf("at once: got %s first, want %s still", got, want)
	}
	now = now.Add(guideAge)
	if got, want := first(), "norte-a-1"; got != want {
		t.Errorf("later: got %s first, want the new keeper %s", got, want)
	}
	m.hosts = m.hosts[1:]
	now = now.Add(guideAge)
	if got, want := first(), "norte-b-1"; got != want {
		t.Errorf("host gone: got %s first, want %s", got, want)
	}
}

func TestRequestsKnowTheirHomeRegion(t *testing.T) {
	f, _ := testTwoRegions(t)
	var got *call.Request
	f.next = call.DoerFunc(func(ctx context.Context, r *call.Request) (*call.Answer, error) {
		got = r
		return answerWith("")(ctx, r)
	})
	req := httptest.NewRequest(http.MethodGet, "/service/stock/", nil)
	req.Header.Set(call.HeaderBlock, "10.7.0.0/16")
	w := httptest.NewRecorder()
	f.Server().Handler.ServeHTTP(w, req)
	if w.Code != http.StatusOK || got.Origin != "litoral" || got.Cell.Region != "norte" {
		t.Errorf("got %d, %+v, want origin litoral at a host of norte", w.Code, got)
	}
}

func TestLookupLeavesOutAHostThatIsNotServable(t *testing.T) {
	f, m := testTwoRegions(t)
	self := m.Self().Name
	for _, servable := range []bool{true, false} {
		f.servable = func(time.Time) bool { return servable }
		named := false
		for _, h := range ask(t, f, "/lookup/stock", "").Hosts {
			named = named || h.Name == self
		}
		if named != servable {
			t.Errorf("servable %v: got this host named %v", servable, named)
		}
	}
}

func TestLookupWithoutHostsIsRefused(t *testing.T) {
	f, m := testTwoRegions(t)
	m.hosts = nil
	w := httptest.NewRecorder()
	f.Server().Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/lookup/stock", nil))
	checkProblem(t, w.Result(), http.StatusServiceUnavailable, result.ReasonNoHost, result.NotRun)
}
