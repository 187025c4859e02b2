package place

import (
	"encoding/json"
	"reflect"
	"testing"

	"magnoliahitch/steer/lease"
)

func testInput(self string, n int, ended ...string) AssignmentInput {
	s := AssignmentInput{Keys: []Key{Cell{"norte", "a"}.Key(), Cell{"norte", "b"}.Key(), Cell{"norte", "c"}.Key()}}
	for _, h := range testHosts(n) {
		s.Candidates = append(s.Candidates, Candidate{Host: h, Term: 7})
	}
	s.Self = lease.ID{Host: self, Term: 7}
	s.Ended = func(id lease.ID) bool {
		for _, o := range ended {
			if id.Host == o {
				return true
			}
		}
		return id.Term != 7
	}
	return s
}

func TestNextKeepsCellsUntilTheirLeaseEnds(t *testing.T) {
	first, changed := Assignment(nil).Next(testInput("host-0", 4), nil)
	if !changed || len(first) != 3 {
		t.Fatalf("got %v, want three cells assigned", first)
	}
	for k, h := range first {
		if h.Handover == nil {
			t.Errorf("got no handover of %s, want an empty one: it had no holder before", k)
		}
	}
	if got, changed := first.Next(testInput("host-0", 8), nil); changed {
		t.Errorf("got %v after hosts joined, want no change", got)
	}
	k := testInput("", 4).Keys[0]
	endedHost := first[k].Host
	input := testInput("host-0", 4, endedHost)
	input.Candidates = input.Candidates[:0]
	for _, c := range testInput("", 4).Candidates {
		if c.Host.Name != endedHost {
			input.Candidates = append(input.Candidates, c)
		}
	}
	next, _ := first.Next(input, nil)
	if next[k].Host == endedHost || next[k].Handover != nil {
		t.Errorf("got %v, want another host without a handover", next[k])
	}
	for k, h := range first {
		if h.Host != endedHost && !reflect.DeepEqual(next[k], h) {
			t.Errorf("got %v for %s of a live host, want %v", next[k], k, h)
		}
	}
}

func TestReleasedCellsMoveWithTheirHandover(t *testing.T) {
	k := Cell{"norte", "a"}.Key()
	ranked := Rank(k.String(), testHosts(4))
	first, second := ranked[0], ranked[1]
	a := Assignment{k: {ID: lease.ID{Host: second.Name, Term: 7}}}
	s := testInput(second.Name, 4)
	s.Keys = []Key{k}
	if got := a.Releases(s); len(got) != 1 || got[0] != k {
		t.Fatalf("got %v to release, want %s", got, k)
	}
	next, changed := a.Next(s, map[Key][]byte{k: []byte("state")})
	if got := next[k]; !changed || got.Host != first.Name || string(got.Handover) != "state" {
		t.Errorf("got %+v, want host %s with the handover", got, first.Name)
	}
	s.Self.Host = first.Name
	if next, changed := a.Next(s, map[Key][]byte{k: nil}); changed {
		t.Errorf("got %v by a host that doesn't hold the cell, want no change", next)
	}
}

func TestAssignmentEncodingDistinguishesEmptyAndMissingHandovers(t *testing.T) {
	a := Assignment{
		{Capacity, "norte", "a"}: {Handover: []byte{}},
		{Shift, "norte", "x/y"}:  {},
	}
	data, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	var got Assignment
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, a) {
		t.Errorf("got %+v, want %+v", got, a)
	}
}
