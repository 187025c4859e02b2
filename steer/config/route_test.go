package config

import (
	"strings"
	"testing"
)

const routeText = `
[profile p]
lookupTtlMs = 2000
[region north]
domains = north-a
[service stock]
profile = p
class = interactive
deadlineMs = 1000
[service care]
profile = p
class = interactive
deadlineMs = 1000
[route notes]
host = cloths.example
prefix = /notes/
parts = stock:3, care
regions = north
timeoutMs = 700
affinity = X-Cloth
`

// parseConfig returns the configuration of an INI text, or fails the test.
func parseConfig(t *testing.T, text string) *Config {
	t.Helper()
	r, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	c, err := (&Config{}).WithChange(Change{Revision: 1, Puts: r})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestRouteRecord(t *testing.T) {
	c := parseConfig(t, routeText)
	if f := c.Faults(); len(f) > 0 {
		t.Fatalf("faults = %v, want none", f)
	}
	r := c.Table().Find("cloths.example", "/notes/1")
	if r == nil || len(r.Parts) != 2 || r.Parts[0].Weight != 3 || r.Parts[1].Service != "care" || r.Parts[1].Weight != 1 {
		t.Fatalf("route = %+v, want stock with weight 3 and care with 1", r)
	}
	if r.Timeout.Milliseconds() != 700 || !r.Allows("north") || r.Allows("south") || r.Affinity != "X-Cloth" {
		t.Errorf("route = %+v, want 700 ms, north alone, X-Cloth", r)
	}
}

func TestRouteFaults(t *testing.T) {
	for _, x := range []struct{ old, with, key string }{
		{"host = cloths.example", "host = cloths.example:80", "host"},
		{"prefix = /notes/", "prefix = /notes", "prefix"},
		{"parts = stock:3, care", "parts = stock:three", "parts"},
		{"parts = stock:3, care", "parts = none", "parts"},
		{"parts = stock:3, care", "parts = stock:0", "parts"},
		{"regions = north", "regions = south", "regions"},
		{"timeoutMs = 700", "timeoutMs = -1", "timeoutMs"},
		{"affinity = X-Cloth", "affinity = X Cloth", "affinity"},
	} {
		f := parseConfig(t, strings.Replace(routeText, x.old, x.with, 1)).Faults()
		if len(f) == 0 || f[0].Kind != KindRoute || f[0].Key != x.key {
			t.Errorf("%s: faults = %v, want first a fault of the route's key %s", x.with, f, x.key)
		}
	}
	twice := routeText + strings.Replace(routeText[strings.Index(routeText, "[route"):], "[route notes]", "[route again]", 1)
	if f := parseConfig(t, twice).Faults(); len(f) != 1 || f[0].Key != "prefix" {
		t.Errorf("faults = %v, want one for the prefix that two routes share", f)
	}
}

func TestRouteSurvivesSnapshotAndDiff(t *testing.T) {
	c := parseConfig(t, routeText)
	data, err := EncodeSnapshot(c)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeSnapshot(data)
	if err != nil || len(decoded.Routes) != 1 {
		t.Fatalf("configuration = %v, error = %v, want one route", decoded, err)
	}
	after, err := c.WithChange(Change{Revision: 2, Deletes: []Ref{{KindRoute, "notes"}}})
	if err != nil {
		t.Fatal(err)
	}
	d := Diff(c, after)
	if len(d) != 1 || d[0].Kind != KindRoute || d[0].Operation != OperationRemove {
		t.Errorf("differences = %v, want the removed route alone", d)
	}
	if f := c.DeleteFaults(Change{Deletes: []Ref{{KindRoute, "other"}}}); len(f) != 1 {
		t.Errorf("faults = %v, want one for a deleted route that doesn't exist", f)
	}
}
