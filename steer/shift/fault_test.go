package shift

import (
	"strings"
	"testing"

	"magnoliahitch/steer/config"
)

func TestFaults(t *testing.T) {
	edit := func(f func(*config.Move)) func(*config.Records) {
		m := moveAB
		f(&m)
		return withMove(m)
	}
	for _, c := range []struct {
		name  string
		edits []func(*config.Records)
		// want is a part of the expected fault; empty means that no fault is expected.
		want string
	}{
		{"moves and drains without a conflict", []func(*config.Records){withMove(moveAB), withDrain(config.TargetRegion, "c"), withDrain(config.TargetDomain, "a1")}, ""},
		{"drains of all servers", []func(*config.Records){withDrain(config.TargetRegion, "a"), withDrain(config.TargetRegion, "b"), withDrain(config.TargetDomain, "c1"), withDrain(config.TargetServer, "c-1")}, "these cover all of its servers"},
		{"two moves in opposite directions", []func(*config.Records){withMove(moveAB), edit(func(m *config.Move) { m.Name, m.From, m.To, m.Share = "ba", "b", "a", 0 })}, "ab: to = b: want a move that forms no cycle with other moves; it forms one with: ba"},
		{"a cycle of three moves", []func(*config.Records){withMove(moveAB), edit(func(m *config.Move) { m.Name, m.From, m.To = "bc", "b", "c" }), edit(func(m *config.Move) { m.Name, m.From, m.To = "ca", "c", "a" })}, "it forms one with: bc, ca"},
		{"a move to a draining region", []func(*config.Records){withMove(moveAB), withDrain(config.TargetRegion, "b")}, "drain d-b covers it"},
		{"moves of more than all traffic", []func(*config.Records){withMove(moveAB), edit(func(m *config.Move) { m.Name, m.To, m.Share = "ac", "c", 0.6 })}, "the total is 1.1"},
		{"no cap", []func(*config.Records){edit(func(m *config.Move) { m.CapRate = 0 })}, "capRate = 0: want 1 request/s or more"},
		{"two drains of a region", []func(*config.Records){withDrain(config.TargetRegion, "a"), func(r *config.Records) {
			r.Drains = append(r.Drains, config.Drain{Name: "again", TargetKind: config.TargetRegion, Target: "a", CapRate: 1, CapMbps: 1})
		}}, "a region without a drain"},
		{"no link", []func(*config.Records){withMove(moveAB), func(r *config.Records) { r.Links = r.Links[1:] }}, "link record from a to b"},
		{"a floor above the cap", []func(*config.Records){func(r *config.Records) { r.Profiles[0].ShiftFloorShare = 1.5 }}, "shiftFloorShare = 1.5"},
		{"a negative number of hosts", []func(*config.Records){func(r *config.Records) { r.Links[0].MaxHosts = -1 }}, "maxHosts = -1"},
	} {
		var got []string
		for _, f := range Faults(configOf(t, c.edits...)) {
			got = append(got, f.Error())
		}
		if c.want == "" && len(got) > 0 {
			t.Errorf("%s: got faults %q, want none", c.name, got)
		}
		if c.want != "" && !strings.Contains(strings.Join(got, "\n"), c.want) {
			t.Errorf("%s: got faults %q, want one with %q", c.name, got, c.want)
		}
	}
}

func TestDuplicateLinkIsRefused(t *testing.T) {
	c := configOf(t, func(r *config.Records) {
		r.Links = append(r.Links, config.Link{Name: "zz", From: "a", To: "b", Mbps: 1})
	})
	var got []string
	for _, f := range c.Faults() {
		got = append(got, f.Error())
	}
	if want := "one link for each direction"; !strings.Contains(strings.Join(got, "\n"), want) {
		t.Errorf("got faults %q, want one with %q", got, want)
	}
}
