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

// twoRegions is a deployment of hosts in two regions. One host keeps all cells
// of its region; the other region has no keeper.
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

// fixedTable provides one table of blocks for all profiles.
type fixedTable struct{ blocks *place.SiteTable }

func (t fixedTable) For(string) *place.SiteTable { return t.blocks }

// litoralTable returns a table in which 10.7.0.0/16 is at home in litoral.
func litoralTable(t *testing.T) fixedTable {
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
	return fixedTable{table}
}

// testTwoRegions returns a caller port in norte, and its deployment.
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
	f := testFront(respondWith(""), WithBlocks(litoralTable(t)))
	f.view, f.members = v, m
	return f, m
}

// lookupHosts sends a lookup, with the block in its header unless it is empty.
func lookupHosts(t *testing.T, f *Front, target, block string) lookupResponse {
	t.Helper()
	req := httptest.NewRequest(http.MethodGet, target, nil)
	if block != "" {
		req.Header.Set(call.HeaderBlock, block)
	}
	w := httptest.NewRecorder()
	f.Server().Handler.ServeHTTP(w, req)
	var a lookupResponse
	if err := json.Unmarshal(w.Body.Bytes(), &a); err != nil || w.Code != http.StatusOK {
		t.Fatalf("got status %d, %v, want 200 and a JSON body", w.Code, err)
	}
	return a
}

func TestLookupUsesCallerBlock(t *testing.T) {
	f, _ := testTwoRegions(t)
	for _, c := range []struct{ target, block, region, host string }{
		{"/lookup/stock", "", "norte", "norte-b-1"},
		{"/lookup/stock", "10.7.1.0/24", "litoral", "litoral-a-1"},
		{"/lookup/stock?block=10.7.9.9", "", "litoral", "litoral-a-1"},
		{"/lookup/stock", "10.8.0.1", "norte", "norte-b-1"},
	} {
		a := lookupHosts(t, f, c.target, c.block)
		if a.Region != c.region || a.Hosts[0].Name != c.host {
			t.Errorf("%+v: got region %s and first host %s", c, a.Region, a.Hosts[0].Name)
		}
	}
}

func TestLookupFollowsKeeperAndHostChanges(t *testing.T) {
	f, m := testTwoRegions(t)
	now := time.Unix(1000, 0)
	conf := f.view.Config()
	first := func() string { return f.lookupTable(now, conf).Hosts("norte", "stock")[0].Name }
	if got, want := first(), "norte-b-1"; got != want {
		t.Fatalf("got %s first, want %s", got, want)
	}
	m.keeper = "norte-a-1"
	if got, want := first(), "norte-b-1"; got != want {
		t.Errorf("before the lookup table expires: got %s first, want %s still", got, want)
	}
	now = now.Add(lookupTableTTL)
	if got, want := first(), "norte-a-1"; got != want {
		t.Errorf("after the lookup table has expired: got %s first, want the new keeper %s", got, want)
	}
	m.hosts = m.hosts[1:]
	now = now.Add(lookupTableTTL)
	if got, want := first(), "norte-b-1"; got != want {
		t.Errorf("after a host has left: got %s first, want %s", got, want)
	}
}

func TestRequestCarriesHomeRegion(t *testing.T) {
	f, _ := testTwoRegions(t)
	var got *call.Request
	f.next = call.DoerFunc(func(ctx context.Context, r *call.Request) (*call.Response, error) {
		got = r
		return respondWith("")(ctx, r)
	})
	req := httptest.NewRequest(http.MethodGet, "/service/stock/", nil)
	req.Header.Set(call.HeaderBlock, "10.7.0.0/16")
	w := httptest.NewRecorder()
	f.Server().Handler.ServeHTTP(w, req)
	if w.Code != http.StatusOK || got.Origin != "litoral" || got.Cell.Region != "norte" {
		t.Errorf("got status %d, request %+v, want origin litoral and a cell in norte", w.Code, got)
	}
}

func TestLookupOmitsUnservableHost(t *testing.T) {
	f, m := testTwoRegions(t)
	self := m.Self().Name
	for _, servable := range []bool{true, false} {
		f.servable = func(time.Time) bool { return servable }
		listed := false
		for _, h := range lookupHosts(t, f, "/lookup/stock", "").Hosts {
			listed = listed || h.Name == self
		}
		if listed != servable {
			t.Errorf("servable = %v: got this host listed = %v", servable, listed)
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
