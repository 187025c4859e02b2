package main

import "testing"

func TestGCPercentIsBounded(t *testing.T) {
	for _, c := range []struct {
		live uint64
		want int
	}{
		{0, maxPercent},
		{4 << 20, maxPercent},
		{16 << 20, 200},
		{32 << 20, 100},
		{1 << 30, minPercent},
	} {
		if got := gcPercent(c.live); got != c.want {
			t.Errorf("collectPercent(%d): got %d, want %d", c.live, got, c.want)
		}
	}
}
