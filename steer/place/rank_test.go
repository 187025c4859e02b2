package place

import (
	"fmt"
	"testing"

	"magnoliahitch/steer/member"
)

func testHosts(n int) []member.Host {
	hosts := make([]member.Host, n)
	for i := range hosts {
		hosts[i] = member.Host{Name: fmt.Sprintf("host-%d", i), Region: "norte", Domain: fmt.Sprintf("norte-%c", 'a'+i%2)}
	}
	return hosts
}

func TestRankMovesOnlyTheKeysOfARemovedHost(t *testing.T) {
	hosts := testHosts(8)
	moved := 0
	for i := range 1000 {
		key := fmt.Sprintf("cell-%d", i)
		before := Rank(key, hosts)[0]
		after := Rank(key, hosts[1:])[0]
		if before.Name != after.Name {
			moved++
			if got, want := before.Name, hosts[0].Name; got != want {
				t.Fatalf("key %s moved away from host %s, want only from %s", key, got, want)
			}
		}
	}
	if moved == 0 {
		t.Fatal("got no key on the removed host, want some")
	}
}

func TestRankPutsTheFirstTwoInDifferentDomains(t *testing.T) {
	for i := range 1000 {
		r := Rank(fmt.Sprintf("cell-%d", i), testHosts(8))
		if r[0].Domain == r[1].Domain {
			t.Fatalf("got both in %s, want different failure domains", r[0].Domain)
		}
	}
}
