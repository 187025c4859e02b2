package soak

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

func TestDrawRepeats(t *testing.T) {
	const length = 20 * time.Second
	if a, b := Draw(7, length), Draw(7, length); !reflect.DeepEqual(a, b) {
		t.Error("plans of one seed differ")
	}
	if a, b := Draw(7, length), Draw(8, length); reflect.DeepEqual(a, b) {
		t.Error("plans of two seeds are the same")
	}
}

func TestDrawnFaultsEndInTime(t *testing.T) {
	const length = 20 * time.Second
	seen := make(map[Kind]bool)
	overlapping := 0
	for seed := range uint64(50) {
		p := Draw(seed, length)
		if !slices.IsSortedFunc(p, func(a, b Event) int { return int(a.At - b.At) }) {
			t.Errorf("seed %d: faults are not ordered by start time", seed)
		}
		for i, e := range p {
			seen[e.Kind] = true
			if e.At < 0 || e.For < 0 || e.At+e.For > length {
				t.Errorf("seed %d: %s from %s for %s, want an end before %s", seed, e.Kind, e.At, e.For, length)
			}
			if i > 0 && p[i-1].At+p[i-1].For > e.At {
				overlapping++
			}
		}
	}
	for _, k := range append(slices.Clone(kinds), QueryOfDeath) {
		if !seen[k] {
			t.Errorf("%s is never drawn", k)
		}
	}
	if overlapping == 0 {
		t.Error("no faults overlap")
	}
}

func TestStackMerges(t *testing.T) {
	var s activeFaults[LinkFault]
	a := s.add(LinkFault{Delay: time.Second})
	b := s.add(LinkFault{Delay: time.Minute, Refuse: true})
	if got, want := s.merge(mergeLinkFaults), (LinkFault{Delay: time.Minute, Refuse: true}); got != want {
		t.Errorf("merged = %+v, want %+v", got, want)
	}
	s.remove(b)
	if got, want := s.merge(mergeLinkFaults), (LinkFault{Delay: time.Second}); got != want {
		t.Errorf("merged = %+v, want %+v", got, want)
	}
	s.remove(a)
	if got, want := s.merge(mergeLinkFaults), (LinkFault{}); got != want {
		t.Errorf("merged = %+v, want %+v", got, want)
	}
}
