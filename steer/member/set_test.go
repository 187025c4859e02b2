package member

import (
	"testing"
	"time"
)

func status(incarnation, sequence uint64, leaving bool) Status {
	return Status{Host: Host{Name: "a", Incarnation: incarnation, Leaving: leaving}, Sequence: sequence}
}

func TestMergeIgnoresOlderStatuses(t *testing.T) {
	now := time.Unix(0, 0)
	for _, c := range []struct {
		name     string
		old, new Status
		want     bool
	}{
		{"later sequence", status(1, 1, false), status(1, 2, false), true},
		{"duplicate", status(1, 2, true), status(1, 2, false), false},
		{"late", status(1, 2, true), status(1, 1, false), false},
		{"restarted", status(1, 9, true), status(2, 1, false), true},
		{"late from before a restart", status(2, 1, false), status(1, 9, true), false},
	} {
		s := NewSet()
		s.Merge(now, c.old, time.Second)
		if got := s.Merge(now, c.new, time.Second); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

func TestStateDependsOnLastStatusAndLeaving(t *testing.T) {
	now := time.Unix(0, 0)
	for _, c := range []struct {
		leaving bool
		elapsed time.Duration
		want    State
	}{
		{false, 2 * time.Second, Live},
		{false, 3 * time.Second, Suspect},
		{false, 6 * time.Second, Dead},
		{true, 0, Leaving},
		{true, 6 * time.Second, Dead},
	} {
		s := NewSet()
		s.Merge(now, status(1, 1, c.leaving), time.Second)
		if got, _ := s.State(now.Add(c.elapsed), "a"); got != c.want {
			t.Errorf("leaving %v, last status %v ago: got %v, want %v", c.leaving, c.elapsed, got, c.want)
		}
	}
}

func TestDigestsKeepTheLatest(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewDigests()
	s.Merge(now, Digest{Domain: "d", Revision: 7, Age: time.Second})
	s.Merge(now, Digest{Domain: "d", Revision: 6, Age: 2 * time.Second})
	got := s.Fresh(now, 5*time.Second)
	if len(got) != 1 || got[0].Revision != 7 {
		t.Errorf("got %+v, want the digest with revision 7", got)
	}
	if got := s.Fresh(now.Add(time.Minute), 5*time.Second); len(got) != 0 {
		t.Errorf("got %+v, want no expired digest", got)
	}
}
