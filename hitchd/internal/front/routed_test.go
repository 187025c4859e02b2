package front

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/result"
)

// routedView returns a configuration with two services and routes to them.
func routedView() fakeView {
	v := testView()
	v.config.Services["care"] = config.Service{Name: "care", Class: config.ClassInteractive, DeadlineMs: 60000}
	v.config.Routes = config.Set[config.Route]{
		"all":   {Name: "all", Host: "Cloths.example", Prefix: "/", Parts: []string{"stock"}},
		"notes": {Name: "notes", Host: "cloths.example", Prefix: "/notes/", Parts: []string{"care"}, Regions: []string{"norte"}, TimeoutMs: 700, Affinity: "x-cloth"},
		"split": {Name: "split", Host: "cloths.example", Prefix: "/split/", Parts: []string{"stock:3", "care:1"}},
	}
	return v
}

// send sends the request to the caller port and returns the response. Got is
// set to the request that the next stage receives, nil for none.
func send(t *testing.T, f *Front, got **call.Request, req *http.Request) *http.Response {
	t.Helper()
	*got = nil
	w := httptest.NewRecorder()
	f.Server().Handler.ServeHTTP(w, req)
	return w.Result()
}

// routedFront returns a caller port with routes that stores the forwarded
// request in got.
func routedFront(got **call.Request) *Front {
	return New(routedView(), testMembers(), call.DoerFunc(func(ctx context.Context, r *call.Request) (*call.Response, error) {
		*got = r
		return respondWith("x")(ctx, r)
	}), hclog.NewNullLogger())
}

func TestRoutes(t *testing.T) {
	var got *call.Request
	f := routedFront(&got)
	req := httptest.NewRequest(http.MethodGet, "http://cloths.example:8080/notes/7?a=1", nil)
	req.Header.Set("X-Cloth", "velvet")
	res := send(t, f, &got, req)
	if res.StatusCode != http.StatusOK || got == nil {
		t.Fatalf("status = %d, request = %v, want status 200 and the request forwarded", res.StatusCode, got)
	}
	if got.Cell.Service != "care" || got.Path != "/notes/7" || got.Query != "a=1" {
		t.Errorf("forwarded to %s as %s?%s, want care, /notes/7?a=1", got.Cell.Service, got.Path, got.Query)
	}
	if got.Object != "velvet" || len(got.Regions) != 1 || got.Scope != "cloths.example" {
		t.Errorf("object %q, regions %v, scope %q, want velvet, norte, cloths.example", got.Object, got.Regions, got.Scope)
	}
	if left := got.Deadline.Sub(clock.Now()); left > 700*time.Millisecond {
		t.Errorf("time left = %s, want at most 700 ms, the timeout of the route", left)
	}
	send(t, f, &got, httptest.NewRequest(http.MethodGet, "http://cloths.example/list", nil))
	if got == nil || got.Cell.Service != "stock" || got.Object != "" {
		t.Errorf("request = %+v, want stock without an object", got)
	}
}

func TestRoutesRefuse(t *testing.T) {
	var got *call.Request
	f := routedFront(&got)
	for _, c := range []struct {
		name, method, url string
		code              int
		reason            result.Reason
	}{
		{"unknown host", http.MethodGet, "http://other.example/notes/7", 404, result.ReasonBadRequest},
		{"path traversal", http.MethodGet, "http://cloths.example/notes/%2e%2e/x", 400, result.ReasonBadRequest},
		{"operation without id", http.MethodPost, "http://cloths.example/notes/7", 400, result.ReasonNoOperationID},
	} {
		res := send(t, f, &got, httptest.NewRequest(c.method, c.url, nil))
		if got != nil {
			t.Errorf("%s: request was forwarded, want a refusal", c.name)
		}
		checkProblem(t, res, c.code, c.reason, result.NotRun)
	}
}

func TestSplitRouteFollowsWeights(t *testing.T) {
	var got *call.Request
	f := routedFront(&got)
	counts := make(map[string]int)
	for range 400 {
		send(t, f, &got, httptest.NewRequest(http.MethodGet, "http://cloths.example/split/x", nil))
		counts[got.Cell.Service]++
	}
	if counts["stock"] < 290 || counts["stock"] > 310 {
		t.Errorf("counts = %v, want 290 to 310 of 400 for stock, whose weight is three quarters", counts)
	}
}

func TestLookupByHostName(t *testing.T) {
	var got *call.Request
	res := send(t, routedFront(&got), &got, httptest.NewRequest(http.MethodGet, "http://h/lookup/cloths.example", nil))
	var a lookupResponse
	if err := json.NewDecoder(res.Body).Decode(&a); err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("status = %d, error = %v, want 200 and a JSON body", res.StatusCode, err)
	}
	if a.Service != "stock" || len(a.Hosts) != 1 {
		t.Errorf("response = %+v, want the host of stock", a)
	}
}
