package relay

import (
	"net/http/httptest"
	"strings"
	"testing"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/fleet"
)

// While the store is away, a host sent to a server that had told another host that it
// leaves. A poll tells both hosts what the other one knows.
func TestHostsTellEachOtherOfLeavingServers(t *testing.T) {
	a := host("a", "x")
	first, second := newRelay(a), newRelay(host("b", "x"))
	server := httptest.NewServer(first.Handler())
	defer server.Close()
	a.PeerAddr = strings.TrimPrefix(server.URL, "http://")
	now := clock.Now()
	first.watch.State().Fleet.Notices().Record(now, "s1", 1, fleet.Notice{Leaving: true})
	second.watch.State().Fleet.Notices().Record(now, "s2", 1, fleet.Notice{Leaving: true})
	if err := second.poll(t.Context(), a); err != nil {
		t.Fatal(err)
	}
	for _, r := range []*Relay{first, second} {
		for _, id := range []string{"s1", "s2"} {
			if !r.watch.State().Fleet.Notices().Leaving(id, 1) {
				t.Errorf("host %s doesn't know that %s leaves, want it to", r.Self().Name, id)
			}
		}
	}
}
