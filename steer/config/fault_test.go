package config

import (
	"errors"
	"strings"
	"testing"
)

const goodText = `
[region north]
domains = north-a, north-b
[region south]
domains = south-a
[profile calm]
reserveShare = 0.2
shiftMbps = 100
[service stock]
profile = calm
class = bulk
deadlineMs = 3000
[server n1]
service = stock
region = north
domain = north-a
addr = 127.0.0.1:9001
slots = 3
connections = 650
[server s1]
service = stock
region = south
domain = south-a
addr = 127.0.0.1:9002
slots = 3
connections = 650
[link ns]
from = north
to = south
mbps = 300
floorShare = 0.1
[link sn]
from = south
to = north
mbps = 300
[drain patch]
targetKind = server
target = n1
until = 2026-01-02T03:04:05Z
[move ease]
service = stock
from = north
to = south
share = 0.5
stepShare = 0.1
capMbps = 100
`

// configOf returns the configuration of an INI text, or fails the test.
func configOf(t *testing.T, text string) *Config {
	t.Helper()
	r, err := Parse([]byte(text))
	if err != nil {
		t.Fatalf("parse: %v", err)
	}
	c, err := (&Config{}).WithChange(Change{Revision: 1, Puts: r})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestFaultsNameEachKey(t *testing.T) {
	if got := configOf(t, goodText).Faults(); len(got) != 0 {
		t.Fatalf("got faults %v of a valid configuration, want none", got)
	}
	for _, tt := range []struct{ old, new, want string }{
		{"[region south]\ndomains = south-a", "[region south]\ndomains = north-a", "region south: domains = north-a"},
		{"domains = south-a", "domains =", "region south: domains = (none)"},
		{"domains = south-a", "domains = a/b", "region south: domains = a/b"},
		{"profile = calm", "profile = wild", "service stock: profile = wild"},
		{"class = bulk", "class = odd", "service stock: class = odd"},
		{"deadlineMs = 3000", "deadlineMs = -1", "service stock: deadlineMs = -1"},
		{"service = stock\nregion = south", "service = stocks\nregion = south", "server s1: service = stocks"},
		{"region = south\n", "region = west\n", "server s1: region = west"},
		{"domain = south-a", "domain = north-a", "server s1: domain = north-a"},
		{"127.0.0.1:9002", "localhost:9002", "server s1: addr = localhost:9002"},
		{"127.0.0.1:9002", "127.0.0.1:0", "server s1: addr = 127.0.0.1:0"},
		{"127.0.0.1:9002", "127.0.0.1:9001", "server s1: addr = 127.0.0.1:9001"},
		{"slots = 3", "slots = 0", "server n1: slots = 0"},
		{"connections = 650", "connections = 2", "server n1: connections = 2"},
		{"floorShare = 0.1", "floorShare = 1.1", "link ns: floorShare = 1.1"},
		{"from = north\nto = south\nmbps", "from = north\nto = north\nmbps", "link ns: to = north"},
		{"from = south\nto = north\nmbps", "from = north\nto = south\nmbps", "link sn: to = south"},
		{"from = south\nto = north\nmbps", "from = west\nto = north\nmbps", "link sn: from = west"},
		{"mbps = 300", "mbps = -300", "link ns: mbps = -300"},
		{"reserveShare = 0.2", "reserveShare = 1.2", "profile calm: reserveShare = 1.2"},
		{"reserveShare = 0.2", "queueWaitMs = -2", "profile calm: queueWaitMs = -2"},
		{"shiftMbps = 100", "shiftMbps = 301", "profile calm: shiftMbps = 301"},
		{"reserveShare = 0.2", "blockTable = salto", "profile calm: blockTable = salto"},
		{"shiftMbps = 100", "shiftFloorShare = 2", "profile calm: shiftFloorShare = 2"},
		{"shiftMbps = 100", "maxHosts = -1", "profile calm: maxHosts = -1"},
		{"shiftMbps = 100", "refusedShare = -0.1", "profile calm: refusedShare = -0.1"},
		{"floorShare = 0.1", "maxHosts = -1", "link ns: maxHosts = -1"},
		{"target = n1", "target = n1\nstepShare = 3", "drain patch: stepShare = 3"},
		{"target = n1", "target = n1\nstepMs = -3", "drain patch: stepMs = -3"},
		{"target = n1", "target = n9", "drain patch: target = n9"},
		{"targetKind = server", "targetKind = rack", "drain patch: targetKind = rack"},
		{"target = n1", "target = n1\ncapMbps = 301", "drain patch: capMbps = 301"},
		{"until = 2026-01-02T03:04:05Z", "until = noon", "drain patch: until = noon"},
		{"from = north\nto = south\nshare", "from = south\nto = south\nshare", "move ease: to = south"},
		{"capMbps = 100", "capMbps = 301", "move ease: capMbps = 301"},
		{"capMbps = 100", "capRate = -1", "move ease: capRate = -1"},
		{"stepShare = 0.1", "stepShare = 2", "move ease: stepShare = 2"},
	} {
		var all strings.Builder
		for _, f := range configOf(t, strings.Replace(goodText, tt.old, tt.new, 1)).Faults() {
			all.WriteString(f.Error() + "\n")
		}
		if got := all.String(); !strings.Contains(got, tt.want+": want ") {
			t.Errorf("%q instead of %q: got faults %q, want one of %q", tt.new, tt.old, got, tt.want)
		}
	}
}

func TestParseNamesEachFault(t *testing.T) {
	_, err := Parse([]byte(`stray = 1
[region]
[region a/b]
[planet earth]
[region twice]
[region twice]
[server s]
slots = many
slotz = 3
addr = a
addr = b
[profile p]
retryShare = NaN
[move m]
paused = perhaps
`))
	var got *ParseError
	if !errors.As(err, &got) {
		t.Fatalf("got %v, want a ParseError", err)
	}
	for _, want := range []string{
		"text: stray = 1: want keys inside", "section = [region]: want", "section = [region a/b]: want",
		"section = [planet earth]: want kind region", "region twice: section = [region twice]: want each record once",
		"server s: slots = many: want a whole number", "server s: slotz = 3: want one of the keys service",
		"server s: addr = a, b: want each key once", "profile p: retryShare = NaN: want a number",
		"move m: paused = perhaps: want true or false",
	} {
		if !strings.Contains(got.Error(), want) {
			t.Errorf("got %q, want %q in it", got.Error(), want)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{
		goodText, "", "[", "[region a]\ndomains = %(domains)s", "[a.b]\nc=d\n[a]\n", "[region x]\n\"\"\"",
		"[server s]\nslots = 9223372036854775808", "[profile p]\nretryShare = 1e999", "\xef\xbb\xbf[region a]", "[region a]\nk=`", "= \n", "[move m]\npaused",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := Parse(text)
		if err != nil {
			return
		}
		c, err := (&Config{}).WithChange(Change{Revision: 1, Puts: r})
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range c.Faults() {
			if v.Want == "" || v.Key == "" {
				t.Errorf("got fault %+v, want one with a key and the allowed values", v)
			}
		}
	})
}
