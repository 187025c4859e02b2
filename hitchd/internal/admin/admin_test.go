package admin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchctl/client"
	"magnoliahitch/hitchd/internal/spread"
	"magnoliahitch/hitchd/internal/view"
	"magnoliahitch/links/mem"
)

// post sends a change with the token and returns the status and the problem.
func (s *testHost) post(t *testing.T, token, body string) (int, problem) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, s.server.URL+"/v1/changes", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var p problem
	if err := json.NewDecoder(res.Body).Decode(&p); err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, p
}

// profileChange returns the body of a request that changes one profile.
func profileChange(base int, id string, wait int) string {
	return fmt.Sprintf(`{"base":%d,"writeId":%q,"author":"ann","reason":"why","puts":{"profiles":[{"name":"latency","queueWaitMs":%d}]}}`, base, id, wait)
}

func TestTokenIsRequired(t *testing.T) {
	s := newTestHost(t)
	for _, got := range []string{"", "secre", "secrets", "Secret"} {
		if code, p := s.post(t, got, profileChange(0, "w", 1)); code != http.StatusUnauthorized || p.Reason != reasonToken {
			t.Errorf("token %q: got status %d and %q, want 401", got, code, p.Reason)
		}
	}
	none := New(func() string { return "" }, view.New(), s, s.spread, hclog.NewNullLogger()).Server().Handler
	for _, h := range []string{"", "Bearer", "Bearer "} {
		r := httptest.NewRequest(http.MethodGet, "/v1/config", nil)
		r.Header["Authorization"] = []string{h}
		w := httptest.NewRecorder()
		none.ServeHTTP(w, r)
		if w.Code != http.StatusUnauthorized {
			t.Errorf("empty token and header %q: got status %d, want 401", h, w.Code)
		}
	}
}

func TestChangesAreRefusedWithProblems(t *testing.T) {
	s := newTestHost(t)
	for _, tt := range []struct {
		name, body string
		code       int
		reason     string
	}{
		{"malformed", `{"base":`, 400, reasonRequest},
		{"wrong type", `{"base":"one"}`, 400, reasonRequest},
		{"no reason", `{"author":"ann"}`, 400, reasonRequest},
		{"oversized", `{"author":"` + strings.Repeat("a", maxBody) + `"}`, 413, reasonRequest},
		{"wrong base", profileChange(7, "w", 1), 409, reasonConflict},
		{"faults", profileChange(0, "w", -1), 422, reasonFaults},
		{"delete of a missing record", `{"author":"a","reason":"b","deletes":[{"kind":"drain","name":"x"}]}`, 422, reasonFaults},
	} {
		if code, p := s.post(t, token, tt.body); code != tt.code || p.Reason != tt.reason || p.Detail == "" {
			t.Errorf("%s: got status %d and %+v, want %d and %s", tt.name, code, p, tt.code, tt.reason)
		}
	}
	if got := s.spread.History(t.Context(), 9); len(got) != 0 {
		t.Errorf("got %d accepted changes, want none", len(got))
	}
}

func TestConcurrentChangesOfOneProfile(t *testing.T) {
	s := newTestHost(t)
	var mu sync.Mutex
	codes := make(map[int]int)
	var g sync.WaitGroup
	for i := range 8 {
		g.Go(func() {
			code, p := s.post(t, token, profileChange(0, fmt.Sprint("w", i), 100+i))
			mu.Lock()
			defer mu.Unlock()
			codes[code]++
			if code == http.StatusConflict && (p.Current != 1 || p.Winner == nil || p.Winner.Author != "ann") {
				t.Errorf("got %+v, want the change that was accepted as revision 1", p)
			}
		})
	}
	g.Wait()
	if codes[http.StatusOK] != 1 || codes[http.StatusConflict] != 7 {
		t.Errorf("got statuses %v, want one 200 and seven 409", codes)
	}
}

func TestRepeatedChangeIsAcceptedOnce(t *testing.T) {
	s := newTestHost(t)
	s.store.SetFault(mem.Fault{LoseCommits: 1})
	for i := range 3 {
		if code, p := s.post(t, token, profileChange(0, "w", 100)); code != http.StatusOK {
			t.Fatalf("try %d: got status %d and %+v, want 200", i, code, p)
		}
		if code, _ := s.post(t, token, profileChange(i+1, fmt.Sprint("x", i), 200+i)); code != http.StatusOK {
			t.Fatalf("further change %d: got status %d, want 200", i, code)
		}
	}
	if got := s.spread.History(t.Context(), 9); len(got) != 4 {
		t.Errorf("got %d accepted changes, want 4", len(got))
	}
}

func TestConflictingDrainsAndMovesAreRefused(t *testing.T) {
	s := newTestHost(t)
	for _, tt := range []struct {
		line string
		code int
	}{
		{`apply --file records.ini --reason r`, client.ExitOK},
		{`drain declare a --domain norte-a --reason r`, client.ExitOK},
		{`drain declare a --domain norte-b --reason r`, client.ExitConflict},
		{`drain declare b --domain litoral-a --reason r`, client.ExitRefused},
		{`drain cancel a --reason r`, client.ExitOK},
		{`route list`, client.ExitOK},
		{`route remove west-notes --reason r`, client.ExitRefused},
		{`apply --file west-notes.ini --reason r`, client.ExitOK},
		{`route remove west-notes --reason r`, client.ExitOK},
		{`drain declare c --region litoral --reason r`, client.ExitRefused},
		{`drain declare c --region litoral --cap-rate 1 --cap-mbps 1 --reason r`, client.ExitOK},
		{`move declare m --service care --from norte --to litoral --share 1 --cap-rate 1 --cap-mbps 1 --reason r`, client.ExitRefused},
		{`drain cancel c --reason r`, client.ExitOK},
		{`drain cancel c --reason r`, client.ExitRefused},
		{`move declare m --service care --from norte --to litoral --share 1 --cap-rate 1 --cap-mbps 1 --reason r`, client.ExitOK},
		{`drain declare c --region litoral --cap-rate 1 --cap-mbps 1 --reason r`, client.ExitRefused},
		{`move pause m --reason r`, client.ExitOK},
		{`move cancel m --reason r`, client.ExitOK},
		{`move resume m --reason r`, client.ExitRefused},
		{`drain declare d --server nothing --reason r`, client.ExitRefused},
		{`drain declare d --reason r`, client.ExitUsage},
		{`drain declare d --server care-1`, client.ExitUsage},
		{`override --reason r`, client.ExitRefused},
		{`profile show none`, client.ExitUsage},
		{`check --file absent.ini`, client.ExitUsage},
	} {
		before := s.spread.State(s.now()).Position
		code, out := hitchctl(splitWords(tt.line)...)
		if code != tt.code {
			t.Errorf("%s: got code %d and %s, want %d", tt.line, code, out, tt.code)
		}
		if after := s.spread.State(s.now()).Position; tt.code != client.ExitOK && after != before {
			t.Errorf("%s: got mark %v after a refusal, want %v as before", tt.line, after, before)
		}
	}
}

func TestRouteList(t *testing.T) {
	newTestHost(t)
	for _, line := range []string{"apply --file records.ini --reason r", "apply --file west-notes.ini --reason r"} {
		if code, out := hitchctl(splitWords(line)...); code != client.ExitOK {
			t.Fatalf("%s: got code %d and %s", line, code, out)
		}
	}
	if code, out := hitchctl("route", "list"); code != client.ExitOK || !strings.Contains(out, "west-notes: cloths.example/notes/west/ to care, regions litoral, affinity X-Cloth") {
		t.Errorf("got code %d and %s, want the route listed", code, out)
	}
}

func TestPlatformOutageIsReported(t *testing.T) {
	s := newTestHost(t)
	s.store.SetFault(mem.Fault{Down: true})
	if code, out := hitchctl("apply", "--file", "records.ini", "--reason", "r"); code != client.ExitPlatform || !strings.Contains(out, "nothing was changed") {
		t.Errorf("got code %d and %s, want %d", code, out, client.ExitPlatform)
	}
	if code, out := hitchctl("status"); code != client.ExitOK || !strings.Contains(out, "platform: down since") {
		t.Errorf("got code %d and %s, want the platform reported down", code, out)
	}
}

func TestNextAddressReceivesSameWrite(t *testing.T) {
	s := newTestHost(t)
	// The first host accepts the change, but its response is lost.
	first := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		s.server.Config.Handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	defer first.Close()
	t.Setenv("HITCH_ADDR", strings.TrimPrefix(first.URL, "http://")+","+s.addr())
	code, out := hitchctl("apply", "--file", "records.ini", "--reason", "r")
	if code != client.ExitOK || !strings.Contains(out, "accepted before") {
		t.Errorf("got code %d and %s, want the change recognised", code, out)
	}
	if got := s.spread.History(t.Context(), 9); len(got) != 1 {
		t.Errorf("got %d accepted changes, want 1", len(got))
	}
}

func TestWaitNamesLaggingHosts(t *testing.T) {
	s := newTestHost(t)
	s.withUnreachable = true
	code, out := hitchctl("apply", "--file", "records.ini", "--reason", "r", "--wait", "--timeout", "300ms")
	if code != client.ExitTimeout || !strings.Contains(out, "silent (no answer)") {
		t.Errorf("got code %d and %s, want %d and the host that did not respond", code, out, client.ExitTimeout)
	}
}

func TestLogLevelChangesAtRuntime(t *testing.T) {
	s := newTestHost(t)
	var text bytes.Buffer
	root := hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: &text})
	a := New(func() string { return token }, view.New(), s, spread.New(s.store, view.New(), root), root.Named("admin"))
	h := a.Server().Handler
	for level, want := range map[string]int{"debug": 200, "loud": 422} {
		r := httptest.NewRequest(http.MethodPut, "/v1/log", strings.NewReader(`{"level":"`+level+`"}`))
		r.Header.Set("Authorization", "Bearer "+token)
		r.Header.Set("Content-Type", "application/json")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code != want {
			t.Errorf("level %s: got status %d, want %d", level, w.Code, want)
		}
	}
	if !root.IsDebug() {
		t.Error("got the previous level on the root logger, want debug")
	}
}

func TestWaitShowsDrainProgress(t *testing.T) {
	s := newTestHost(t)
	if code, out := hitchctl("apply", "--file", "records.ini", "--reason", "r"); code != client.ExitOK {
		t.Fatalf("apply: got code %d and %s", code, out)
	}
	s.busy = []int{2, 1, 0}
	code, out := hitchctl("drain", "declare", "d", "--server", "care-1", "--reason", "r", "--wait")
	for _, want := range []string{"2 in flight", "1 in flight", "drain d: drained"} {
		if code != client.ExitOK || !strings.Contains(out, want) {
			t.Errorf("got code %d and %s, want %q", code, out, want)
		}
	}
	s.busy = []int{1}
	if code, out := hitchctl("drain", "declare", "e", "--server", "care-1", "--reason", "r", "--wait", "--timeout", "300ms"); code != client.ExitTimeout {
		t.Errorf("got code %d and %s, want %d", code, out, client.ExitTimeout)
	}
}

// TestConcurrentDrainsOfLastServers runs two drains at the same time that are
// valid alone and together would leave the service without a server.
func TestConcurrentDrainsOfLastServers(t *testing.T) {
	for range 10 {
		newTestHost(t)
		if code, out := hitchctl("apply", "--file", "records.ini", "--reason", "r"); code != client.ExitOK {
			t.Fatalf("apply: got code %d and %s", code, out)
		}
		codes := make([]int, 2)
		var g sync.WaitGroup
		for i := range codes {
			g.Go(func() { codes[i], _ = hitchctl(drainArgs(i)...) })
		}
		g.Wait()
		if (codes[0] == client.ExitOK) == (codes[1] == client.ExitOK) {
			t.Fatalf("got codes %v, want exactly one success", codes)
		}
		loser := 0
		if codes[0] == client.ExitOK {
			loser = 1
		}
		if code, out := hitchctl(drainArgs(loser)...); code != client.ExitRefused || !strings.Contains(out, "these cover all of its servers") {
			t.Errorf("repeated: got code %d and %s, want the drain refused", code, out)
		}
	}
}

func drainArgs(i int) []string {
	return []string{"drain", "declare", fmt.Sprint("d", i), "--domain", []string{"norte-a", "litoral-a"}[i], "--reason", "r"}
}
