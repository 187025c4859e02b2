package main

import (
	"slices"
	"testing"

	"magnoliahitch/hitchd/internal/setup"
	"magnoliahitch/steer/member"
)

func TestSeedsAreUsedUntilAnotherHostIsLive(t *testing.T) {
	seeds := setup.Platform{Seeds: "norte-a-1=10.0.0.7:8001, norte-b-1=10.0.1.7:8001"}.SeedHosts()
	self := member.Host{Name: "norte-b-1"}
	for _, tt := range []struct {
		name string
		live []member.Host
		want []string
	}{
		{"alone", []member.Host{self}, []string{"norte-b-1", "norte-a-1"}},
		{"alone and leaving", nil, []string{"norte-a-1"}},
		{"another live", []member.Host{self, {Name: "litoral-a-1"}}, []string{"norte-b-1", "litoral-a-1"}},
	} {
		var got []string
		for _, h := range withSeeds(tt.live, self.Name, seeds) {
			got = append(got, h.Name)
		}
		if !slices.Equal(got, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
