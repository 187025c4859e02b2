package setup

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"magnoliahitch/links/certs"
)

// writeKeys writes the keys of host norte-a-1 and a token to a new directory,
// which it returns.
func writeKeys(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	now := time.Now()
	if err := certs.MakeCA(now, dir, time.Hour); err != nil {
		t.Fatal(err)
	}
	if err := certs.MakeHost(now, dir, "norte-a-1", nil, time.Hour); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "token"), []byte("a-token-of-sixteen-bytes\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// validSettings is the text of valid settings; %[1]s is the directory of the keys.
const validSettings = `[host]
name = norte-a-1
region = norte
domain = norte-a
[listen]
caller = 127.0.0.1:22001
peer = 127.0.0.1:22002
operator = 127.0.0.1:22003
[platform]
table = http://127.0.0.1:22004
objects = http://127.0.0.1:22004
[keys]
ca = %[1]s/ca.pem
cert = %[1]s/norte-a-1.pem
key = %[1]s/norte-a-1.key
operatorToken = %[1]s/token
[caller]
maxBody = 2MiB
[daemon]
stopTimeout = 45s
`

// load writes the text to host.ini in the directory and loads it.
func load(t *testing.T, dir, text string) (Settings, error) {
	t.Helper()
	path := filepath.Join(dir, "host.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path)
}

func TestLoadReadsUnitsAndDefaults(t *testing.T) {
	dir := writeKeys(t)
	s, err := load(t, dir, fmt.Sprintf(validSettings, dir))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.Caller.MaxBody, Size(2<<20); got != want {
		t.Errorf("maxBody: got %d, want %d", got, want)
	}
	if got, want := s.Daemon.StopTimeout, 45*time.Second; got != want {
		t.Errorf("stopTimeout: got %v, want %v", got, want)
	}
	if got, want := s.Caller.LookupTTL, 5*time.Second; got != want {
		t.Errorf("lookupTtl: got %v, want the default %v", got, want)
	}
}

// TestLoadNamesEachFault changes one line of the valid settings at a time.
func TestLoadNamesEachFault(t *testing.T) {
	dir := writeKeys(t)
	if err := certs.MakeHost(time.Now(), dir, "other", nil, time.Hour); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{"name = norte-a-1", "name =", "[host] name = : want 1 to 63"},
		{"name = norte-a-1", "name = Norte_A", "[host] name = Norte_A: want 1 to 63"},
		{"region = norte", "region =", "[host] region = : want 1 to 63"},
		{"domain = norte-a\n", "", "[host] domain = (not set): want a value"},
		{"caller = 127.0.0.1:22001", "caller = localhost:22001", "[listen] caller = localhost:22001: want an IP address"},
		{"caller = 127.0.0.1:22001", "caller = 0.0.0.0:22001", "[listen] caller = 0.0.0.0:22001: want an IP address"},
		{"peer = 127.0.0.1:22002", "peer = 127.0.0.1", "[listen] peer = 127.0.0.1: want an IP address"},
		{"operator = 127.0.0.1:22003", "operator = 127.0.0.1:0", "[listen] operator = 127.0.0.1:0: want an IP address"},
		{"operator = 127.0.0.1:22003", "operator = 127.0.0.1:22001", "[listen] operator = 127.0.0.1:22001: want an address other than that of caller"},
		{"table = http://", "table = ftp://", "[platform] table = ftp://127.0.0.1:22004: want http://"},
		{"table = http://127.0.0.1:22004", "table = http://platform:22004", "want http:// or https:// with an IP address"},
		{"[platform]", "[platform]\nseeds = norte-b-1", "[platform] seeds = norte-b-1: want none, or names of hosts"},
		{"/ca.pem", "/absent.pem", "[keys] ca = " + dir + "/absent.pem: want the name of a readable file"},
		{"/norte-a-1.pem", "/other.pem", "want a key pair for host norte-a-1"},
		{"/token", "/ca.key\n[log]\nlevel = loud", "[log] level = loud: want trace, debug"},
		{"maxBody = 2MiB", "maxBody = 2", "[caller] maxBody = 2: want a size from 1B to 64MiB with its unit"},
		{"maxBody = 2MiB", "maxBody = 65MiB", "[caller] maxBody = 65MiB: want a size from 1B to 64MiB"},
		{"maxBody = 2MiB", "maxHeader = 512B", "[caller] maxHeader = 512B: want 1KiB or more"},
		{"maxBody = 2MiB", "headerTimeout = 3m", "[caller] headerTimeout = 3m0s: want at most idleTimeout"},
		{"maxBody = 2MiB", "lookupHosts = 0", "[caller] lookupHosts = 0: want a whole number from 1"},
		{"stopTimeout = 45s", "stopTimeout = 45", "[daemon] stopTimeout = 45: want a duration above 0 and at most 1h with its unit"},
		{"stopTimeout = 45s", "stopTimeout = -1s", "[daemon] stopTimeout = -1s: want a duration"},
		{"stopTimeout = 45s", "stopTimeout = 45s\nstopTimeout = 9s", "want the key once only"},
		{"stopTimeout = 45s", "stoptimeout = 45s", "[daemon] stoptimeout = 45s: want a known key: stopTimeout"},
		{"[daemon]", "[deamon]", "[deamon] want a known section: host, listen"},
		{"[host]", "stray = 1\n[host]", "stray = 1: want every key inside a section"},
		{"stopTimeout = 45s", "[log]\njson = perhaps", "[log] json = perhaps: want true or false"},
	} {
		t.Run(c.to, func(t *testing.T) {
			text := fmt.Sprintf(validSettings, dir)
			changed := strings.Replace(text, c.from, c.to, 1)
			if changed == text {
				t.Fatalf("%q is not in the settings", c.from)
			}
			_, err := load(t, dir, changed)
			var faults Faults
			if !errors.As(err, &faults) {
				t.Fatalf("got %v, want an error of type Faults", err)
			}
			want := filepath.Join(dir, "host.ini") + ": "
			if got := err.Error(); !strings.Contains(got, c.want) || !strings.HasPrefix(got, want) {
				t.Errorf("got %q, want %q in it after %q", got, c.want, want)
			}
		})
	}
}

func TestLoadReportsAllFaultsAtOnce(t *testing.T) {
	dir := writeKeys(t)
	_, err := load(t, dir, "[host]\nname = X\n[log]\nlevel = loud\n[caller]\nmaxBody = 1\n")
	var faults Faults
	if !errors.As(err, &faults) {
		t.Fatalf("got %v, want an error of type Faults", err)
	}
	seen := map[string]bool{}
	for _, f := range faults {
		seen[f.Section+"."+f.Key] = true
	}
	for _, want := range []string{"host.name", "host.region", "listen.peer", "platform.table", "keys.key", "caller.maxBody", "log.level"} {
		if !seen[want] {
			t.Errorf("got %v, want a fault of %s too", faults, want)
		}
	}
}

func TestBindReportsAddressInUseAndClosesOtherPorts(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := free.Addr().String()
	if err := free.Close(); err != nil {
		t.Fatal(err)
	}
	s := Settings{file: "host.ini", Listen: Listen{Caller: addr, Operator: taken.Addr().String(), Peer: addr}}
	_, err = s.Bind()
	if want := "host.ini: [listen] operator = " + taken.Addr().String(); err == nil || !strings.Contains(err.Error(), want) {
		t.Fatalf("got %v, want %q in it", err, want)
	}
	if err := taken.Close(); err != nil {
		t.Fatal(err)
	}
	p, err := s.Bind()
	if err != nil {
		t.Fatalf("bind once the address is free: got %v, want no error", err)
	}
	if err := p.Close(); err != nil {
		t.Error(err)
	}
}

func TestPageListsEachKeyWithItsDefault(t *testing.T) {
	page, err := os.ReadFile("../../../docs/ops/install.md")
	if err != nil {
		t.Fatal(err)
	}
	sections := reflect.TypeFor[Settings]()
	for i := range sections.NumField() {
		section := sections.Field(i)
		if section.Tag.Get("ini") == "" {
			continue
		}
		for j := range section.Type.NumField() {
			tag := section.Type.Field(j).Tag
			cell := ""
			if d := tag.Get("default"); d != "" {
				cell = "`" + d + "` "
			}
			want := "| " + section.Tag.Get("ini") + " | `" + tag.Get("ini") + "` | " + cell + "|"
			if !strings.Contains(string(page), want) {
				t.Errorf("got no row %q in docs/ops/install.md, want one", want)
			}
		}
	}
}
