package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/setup"
	"magnoliahitch/links/certs"
)

func TestReloadKeepsCredentialsInUseIfFilesAreInvalid(t *testing.T) {
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	write := func(name, text string) {
		t.Helper()
		if err := os.WriteFile(path(name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	makeHost := func(lifetime time.Duration) {
		t.Helper()
		if err := certs.MakeHost(time.Now(), dir, "norte-a-1", nil, lifetime); err != nil {
			t.Fatal(err)
		}
	}
	if err := certs.MakeCA(time.Now(), dir, 9*time.Hour); err != nil {
		t.Fatal(err)
	}
	makeHost(time.Hour)
	write("token", "the-first-token-in-use")
	f := certs.HostFiles(dir, "norte-a-1")
	c, err := openCredentials(setup.Settings{
		Host: setup.Host{Name: "norte-a-1"},
		Keys: setup.Keys{CA: f.CA, Cert: f.Cert, Key: f.Key, OperatorToken: path("token")},
	}, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	first := c.certs.Expires()

	write("token", "short")
	write("norte-a-1.key", "no key")
	c.reload(time.Now())
	if got, want := c.Token(), "the-first-token-in-use"; got != want {
		t.Errorf("invalid token: got %q, want the token in use, %q", got, want)
	}
	if got := c.certs.Expires(); got != first {
		t.Errorf("invalid key: got expiry %v, want that of the key in use, %v", got, first)
	}

	write("token", "the-second-token-in-use")
	makeHost(3 * time.Hour)
	c.reload(time.Now())
	if got, want := c.Token(), "the-second-token-in-use"; got != want {
		t.Errorf("new token: got %q, want %q", got, want)
	}
	if got := c.certs.Expires(); !got.After(first) {
		t.Errorf("new key: got expiry %v, want one after %v", got, first)
	}
}
