package main

import (
	"strings"
	"testing"
	"time"

	"magnoliahitch/links/certs"
)

func TestKeysAreCreatedOnceAndRenewed(t *testing.T) {
	dir := t.TempDir()
	c := keysCommand{Dir: dir, Hosts: []string{"norte-a-1=127.0.0.1,10.0.0.7", "norte-b-1"}, Lifetime: time.Hour}
	if err := c.Execute(nil); err != nil {
		t.Fatal(err)
	}
	before, err := certs.List(time.Now(), dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Execute(nil); err == nil || !strings.Contains(err.Error(), "--renew") {
		t.Errorf("second run: got error %v, want one that names --renew", err)
	}
	renew := keysCommand{Dir: dir, Renew: true, Lifetime: 3 * time.Hour}
	if err := renew.Execute(nil); err != nil {
		t.Fatal(err)
	}
	after, err := certs.List(time.Now(), dir)
	if err != nil {
		t.Fatal(err)
	}
	for i, a := range after {
		b := before[i]
		if a.Name != b.Name || len(a.IPs) != len(b.IPs) || a.Invalid != "" {
			t.Errorf("got %+v, want the host and addresses of %+v and no fault", a, b)
		}
		if renewed := a.Expires.After(b.Expires); renewed != (a.Name != "") {
			t.Errorf("%s: got renewed %v, want hosts renewed and the authority kept", a.File, renewed)
		}
	}
}

func TestKeysRejectInvalidHosts(t *testing.T) {
	for _, h := range []string{"Norte", "a.b", "../up", "norte=127.0.0", "-x"} {
		c := keysCommand{Dir: t.TempDir(), Hosts: []string{h}, Lifetime: time.Hour}
		if err := c.Execute(nil); err == nil {
			t.Errorf("--host %s: got no error, want it rejected", h)
		}
	}
}
