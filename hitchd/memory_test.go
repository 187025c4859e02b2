package main

import "testing"

func TestCollectPercentBoundsTheGrowth(t *testing.T) {
	for _, c := range []struct {
		live uint64
		want int
	}{
		{0, mostPercent},
		{4 << 20, mostPercent},
		{16 << 20, 200},
		{32 << 20, 100},
		{1 << 30, leastPercent},
	} {
		if got := collectPercent(c.live); got != c.want {
			t.Errorf("collectPercent(%d): got %d, want %d", c.live, got, c.want)
		}
	}
}
