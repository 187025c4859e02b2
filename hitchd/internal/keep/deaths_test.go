package keep

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/crash"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// region is a keeper with its servers; regions tell each other of suspects.
type region struct {
	name   string
	keeper *Keeper
}

// network carries messages between the regions' keepers.
type network []*region

func (n network) Live() []member.Host {
	var out []member.Host
	for _, r := range n {
		out = append(out, member.Host{Name: r.name, Region: r.name, Domain: r.name})
	}
	return out
}

func (n network) Keeper(_ time.Time, k place.Key) (member.Host, bool) {
	return member.Host{Name: k.Region, Region: k.Region, Domain: k.Region}, true
}

func (n network) Tell(_ context.Context, to member.Host, _ string, in, _ any) error {
	body, err := msgpack.Marshal(in)
	if err != nil {
		return err
	}
	for _, r := range n {
		if r.name == to.Name {
			w := httptest.NewRecorder()
			r.keeper.Suspects().ServeHTTP(w, httptest.NewRequest(http.MethodPost, suspectsPath, bytes.NewReader(body)))
			if w.Code == http.StatusOK {
				return nil
			}
		}
	}
	return errors.New("no such host")
}

// newNetwork starts three regions with 12 servers each. A request to /deadly
// kills the server that runs it, with all of its connections, for good.
func newNetwork(t *testing.T) (network, *atomic.Int64) {
	var dead atomic.Int64
	conf := &config.Config{
		Services: config.Set[config.Service]{"inventory": {Name: "inventory", Profile: "latency", DeadlineMs: 10_000}},
		Profiles: config.Set[config.Profile]{"latency": testProfile},
		Regions:  config.Set[config.Region]{},
		Servers:  config.Set[config.Server]{},
	}
	var n network
	for _, name := range []string{"montevideo", "litoral", "norte"} {
		conf.Regions[name] = config.Region{Name: name}
		n = append(n, &region{name: name})
		for i := range 12 {
			var u *upstream
			u = newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/deadly" {
					echoID(w, r)
					return
				}
				dead.Add(1)
				_ = u.Listener.Close()
				u.CloseClientConnections()
			})
			s := fmt.Sprintf("%s-%02d", name, i)
			conf.Servers[s] = config.Server{
				Name: s, Service: "inventory", Region: name, Addr: u.Listener.Addr().String(), Slots: 3, Connections: 650,
			}
		}
	}
	for _, r := range n {
		r.keeper = New(r.name, always(), newKeeper(always(), testProfile).log, WithPeers(n, n))
		r.keeper.Configure(clock.Now(), conf)
	}
	return n, &dead
}

func TestQueryOfDeathKillsTwoServersAtMost(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		n, dead := newNetwork(t)
		rng := rand.New(rand.NewPCG(1, 2))
		refused := 0
		for i := range 60 {
			r := request(fmt.Sprint("deadly", i), method)
			at := n[rng.IntN(len(n))]
			r.Cell.Region, r.Path = at.name, "/deadly"
			if method == http.MethodPost {
				// The caller sends the same body under new operation ids.
				r.Body = bytes.NewReader([]byte("body"))
			}
			_, err := do(t.Context(), at.keeper, r)
			if e := result.From(err); e.Reason == result.ReasonSuspect && e.Outcome == result.NotRun {
				refused++
			}
			ok := request(fmt.Sprint("ok", i), http.MethodGet)
			ok.Cell.Region = at.name
			if _, err := do(t.Context(), at.keeper, ok); err != nil {
				t.Fatalf("got %v for another request, want its answer", err)
			}
		}
		if got, want := dead.Load(), int64(2); got > want {
			t.Errorf("%s: got %d servers dead, want at most %d", method, got, want)
		}
		if refused == 0 {
			t.Errorf("%s: got no refusal, want the request refused in the end", method)
		}
	}
}

func TestInnocentsBesideAQueryOfDeathGoOn(t *testing.T) {
	n, dead := newNetwork(t)
	at := n[0].keeper
	for i := range 5 {
		id := fmt.Sprint("beside", i)
		r := request(id, http.MethodGet)
		r.Cell.Region = n[0].name
		j, err := newJob(r)
		if err != nil {
			t.Fatal(err)
		}
		at.deaths.died(t.Context(), j, "montevideo-00")
		r = request(id, http.MethodGet)
		r.Cell.Region = n[0].name
		if _, err := do(t.Context(), at, r); err != nil {
			t.Fatalf("got %v for an innocent that is sent again, want its answer", err)
		}
		for _, other := range n[1:] {
			until(t, "clearance at "+other.name, func() bool {
				v, _ := other.keeper.deaths.begin(clock.Now(), j)
				return v.Verdict == crash.Clean
			})
		}
	}
	if got := dead.Load(); got != 0 {
		t.Fatalf("got %d dead servers, want 0", got)
	}
}
