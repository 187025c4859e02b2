package admin

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchctl/client"
	"magnoliahitch/hitchd/internal/spread"
	"magnoliahitch/hitchd/internal/view"
	"magnoliahitch/links/clock"
	"magnoliahitch/links/mem"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/shift"
)

const recordsText = `[profile latency]
queueWaitMs = 200
[region norte]
domains = norte-a, norte-b
[link out]
from = norte
to = litoral
mbps = 300
[link back]
from = litoral
to = norte
mbps = 300
[region litoral]
domains = litoral-a
[service care]
profile = latency
class = interactive
deadlineMs = 3000
[server care-1]
service = care
region = norte
domain = norte-a
addr = 127.0.0.1:9001
slots = 3
connections = 650
[server care-2]
service = care
region = litoral
domain = litoral-a
addr = 127.0.0.1:9002
slots = 3
connections = 650
`

const token = "secret"

// testHost is an operator port with a store in memory, as on the only host of a
// deployment.
type testHost struct {
	store  *mem.Store
	spread *spread.Spread
	server *httptest.Server
	self   member.Host
	dir    string
	// withUnreachable adds the host silent, which never responds.
	withUnreachable bool
	// busy are the numbers of requests on care-1 in successive reports; the
	// last one stays.
	busy []int
}

// Self returns this host.
func (s *testHost) Self() member.Host { return s.self }

// Live returns this host, and the unreachable one if there is one.
func (s *testHost) Live() []member.Host {
	if s.withUnreachable {
		return []member.Host{s.self, {Name: "silent", Region: "norte", Domain: "norte-b"}}
	}
	return []member.Host{s.self}
}

// Call fails as if the other host did not respond.
func (s *testHost) Call(context.Context, member.Host, string, any, any) error {
	return errors.New("no response")
}

// Report returns the next number of requests on care-1.
func (s *testHost) Report(context.Context) Report {
	r := Report{InFlight: map[string]int{"care-1": 0, "care-2": 0}}
	if len(s.busy) > 0 {
		r.InFlight["care-1"] = s.busy[0]
		s.busy = s.busy[min(1, len(s.busy)-1):]
	}
	return r
}

func (s *testHost) now() time.Time { return clock.Now() }

// Keeper returns this host for the cells of its region, and none for others.
func (s *testHost) Keeper(_ time.Time, k place.Key) (member.Host, bool) {
	return s.self, k.Region == s.self.Region
}

// newTestHost starts an operator port and sets up hitchctl to call it.
func newTestHost(t *testing.T, options ...Option) *testHost {
	t.Helper()
	s := &testHost{store: mem.New(), dir: t.TempDir()}
	return s.serve(t, options...)
}

// serve starts the operator port, writes the files of the commands and sets up
// hitchctl.
func (s *testHost) serve(t *testing.T, options ...Option) *testHost {
	t.Helper()
	caller := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"service":"care","hosts":[{"name":"h","addr":"127.0.0.1:1"}],"ttlMs":1000}`))
	}))
	t.Cleanup(caller.Close)
	s.self = member.Host{Name: "h", Region: "norte", Domain: "norte-a", CallerAddr: strings.TrimPrefix(caller.URL, "http://")}
	v := view.New()
	s.spread = spread.New(s.store, v, hclog.NewNullLogger(), spread.WithPeers(s, s))
	a := New(func() string { return token }, v, s, s.spread, hclog.NewNullLogger(), append([]Option{WithReporter(s), WithChecks(shift.Faults)}, options...)...)
	s.server = httptest.NewServer(a.Server().Handler)
	t.Cleanup(s.server.Close)
	for name, text := range map[string]string{
		"operator.token": token + "\n", "records.ini": recordsText, "latency.ini": "[profile latency]\nqueueWaitMs = 100\n",
		"west-notes.ini": "[route west-notes]\nhost = cloths.example\nprefix = /notes/west/\nparts = care\nregions = litoral\naffinity = X-Cloth\n",
	} {
		if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Chdir(s.dir)
	t.Setenv("HITCH_ADDR", s.addr())
	t.Setenv("HITCH_TOKEN_FILE", "operator.token")
	return s
}

func (s *testHost) addr() string { return strings.TrimPrefix(s.server.URL, "http://") }

// hitchctl runs a command line and returns its exit code and output.
func hitchctl(args ...string) (int, string) {
	var out bytes.Buffer
	return client.Run(context.Background(), args, &out, &out), out.String()
}

// splitWords splits a line as a shell does, for unquoted words and double
// quotes.
func splitWords(line string) []string {
	var out []string
	for i, part := range strings.Split(line, `"`) {
		if i%2 == 1 {
			out = append(out, part)
			continue
		}
		out = append(out, strings.Fields(part)...)
	}
	return out
}

// shellCommands returns the lines of the sh blocks in a page.
func shellCommands(t *testing.T, page string) []string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for i, block := range strings.Split(string(text), "```") {
		if lines, ok := strings.CutPrefix(block, "sh\n"); ok && i%2 == 1 {
			out = append(out, strings.Split(strings.TrimSpace(lines), "\n")...)
		}
	}
	return out
}

// TestCommandsOfThePages runs the commands of the operators' pages, which must
// all succeed.
func TestCommandsOfThePages(t *testing.T) {
	pages, err := filepath.Abs("../../../docs/ops")
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range []string{"hitchctl.md", "operate.md", "store-down.md"} {
		t.Run(p, func(t *testing.T) {
			lines := shellCommands(t, filepath.Join(pages, p))
			if len(lines) == 0 {
				t.Fatal("got no command, want some")
			}
			newTestHost(t)
			if code, out := hitchctl("apply", "--file", "records.ini", "--reason", "before"); code != client.ExitOK {
				t.Fatalf("apply: got code %d and %s", code, out)
			}
			for _, l := range lines {
				args := splitWords(l)
				if args[0] != "hitchctl" {
					t.Fatalf("got command %q, want hitchctl", l)
				}
				if code, out := hitchctl(args[1:]...); code != client.ExitOK {
					t.Errorf("%s: got code %d and %s", l, code, out)
				}
			}
		})
	}
}
