package eras

import "testing"

// A restored store gives versions out again: the era decides first.
func TestEraDecidesFirst(t *testing.T) {
	for _, c := range []struct {
		p, q Position
		want int
	}{
		{Position{2, 310}, Position{1, 500}, 1},
		{Position{1, 500}, Position{2, 310}, -1},
		{Position{2, 310}, Position{2, 311}, -1},
		{Position{2, 310}, Position{2, 310}, 0},
		{Position{1, 0}, Position{}, 1},
	} {
		if got := c.p.Compare(c.q); got != c.want {
			t.Errorf("%v compared with %v = %d, want %d", c.p, c.q, got, c.want)
		}
	}
	if got, want := Later(Position{1, 500}, Position{2, 310}), (Position{2, 310}); got != want {
		t.Errorf("later = %v, want %v", got, want)
	}
}
