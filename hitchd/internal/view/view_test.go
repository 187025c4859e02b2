package view

import (
	"testing"

	"magnoliahitch/steer/config"
)

func TestAdvanceIgnoresEarlierRevisions(t *testing.T) {
	v := New()
	var got []uint64
	v.Watch(func(c *config.Config) {
		got = append(got, v.Config().Revision, c.Revision)
	})
	for _, r := range []uint64{3, 2, 3, 5, 4} {
		v.Update(&config.Config{Revision: r})
	}
	if len(got) != 4 || got[0] != 3 || got[1] != 3 || got[2] != 5 || got[3] != 5 {
		t.Errorf("got revisions %v, want 3 3 5 5", got)
	}
}
