package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"magnoliahitch/links/certs"
)

func TestExecuteExitCodes(t *testing.T) {
	for _, c := range []struct {
		args []string
		want int
	}{
		{[]string{"--help"}, exitDone},
		{[]string{"--version"}, exitDone},
		{nil, exitUsage},
		{[]string{"--check"}, exitUsage},
		{[]string{"--no-such-flag"}, exitUsage},
		{[]string{"--config", "/absent.ini"}, exitSettings},
	} {
		if got := execute(c.args); got != c.want {
			t.Errorf("execute(%q): got %d, want %d", c.args, got, c.want)
		}
	}
}

func TestCheckOpensAndClosesPorts(t *testing.T) {
	path := writeSettings(t, t.TempDir())
	args := []string{"--config", path, "--check"}
	for range 2 {
		if got, want := execute(args), exitDone; got != want {
			t.Errorf("got %d, want %d", got, want)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "caller = ")
	addr, _, _ := strings.Cut(rest, "\n")
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if got, want := execute(args), exitSettings; got != want {
		t.Errorf("port in use: got %d, want %d", got, want)
	}
}

// freePort returns a loopback address with a port that is free at the moment.
func freePort(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// writeSettings writes the settings and keys of a host whose platform is down, and
// returns the path of the settings.
func writeSettings(t testing.TB, dir string) string {
	t.Helper()
	if err := certs.MakeCA(time.Now(), dir, time.Hour); err != nil {
		t.Fatal(err)
	}
	if err := certs.MakeHost(time.Now(), dir, "norte-a-1", nil, time.Hour); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(dir+"/token", []byte("a-token-of-sixteen-bytes"), 0o600); err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf("[host]\nname = norte-a-1\nregion = norte\ndomain = norte-a\n"+
		"[listen]\ncaller = %s\npeer = %s\noperator = %s\n[platform]\ntable = http://%[4]s\nobjects = http://%[4]s\n"+
		"[keys]\nca = %[5]s/ca.pem\ncert = %[5]s/norte-a-1.pem\nkey = %[5]s/norte-a-1.key\noperatorToken = %[5]s/token\n",
		freePort(t), freePort(t), freePort(t), freePort(t), dir)
	path := filepath.Join(dir, "host.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
