package config

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
)

// makeHistory returns a log of n changes by the author and the configuration after
// them. Histories of different authors diverge from the first change on.
func makeHistory(t *testing.T, n uint64, author string) (Log, *Config) {
	t.Helper()
	var l Log
	c := &Config{}
	for i := uint64(1); i <= n; i++ {
		e, err := Encode(Change{
			Revision: i, Prev: c.Digest, Author: author, WriteID: fmt.Sprint(author, i),
			Puts: Records{Regions: []Region{{Name: fmt.Sprint("r", i), Domains: []string{fmt.Sprint("d", i)}}}},
		})
		if err != nil {
			t.Fatal(err)
		}
		if c, err = c.WithEntry(e); err != nil {
			t.Fatal(err)
		}
		l = l.With(e)
	}
	return l, c
}

func TestCompareHistories(t *testing.T) {
	local, c := makeHistory(t, 5, "ann")
	other, _ := makeHistory(t, 9, "bob")
	longer, _ := makeHistory(t, 9, "ann")
	shorter, _ := makeHistory(t, 3, "ann")
	forkedShorter, _ := makeHistory(t, 3, "bob")
	for _, tt := range []struct {
		name       string
		remote     Position
		remoteBase uint64
		want       SyncAction
	}{
		{"same", c.Position(), 0, SyncNone},
		{"ahead", longer.End(), 0, SyncChanges},
		{"ahead with a short log", longer.End(), 6, SyncSnapshot},
		{"ahead with a log from the local end", longer.End(), 5, SyncChanges},
		{"lags", shorter.End(), 0, SyncOffer},
		{"empty", Position{}, 0, SyncOffer},
		{"forked and lags", forkedShorter.End(), 0, SyncFork},
		{"forked", Position{5, other.End().Digest}, 0, SyncFork},
	} {
		if got := CompareHistories(local, tt.remote, tt.remoteBase); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}

func TestEntryOfAnotherHistoryIsRefused(t *testing.T) {
	_, c := makeHistory(t, 5, "ann")
	other, _ := makeHistory(t, 6, "bob")
	e, _ := other.At(6)
	if _, err := c.WithEntry(e); !errors.Is(err, ErrFork) {
		t.Errorf("got %v, want %v", err, ErrFork)
	}
	e, _ = other.At(5)
	if _, err := c.WithEntry(e); !errors.Is(err, ErrRevision) {
		t.Errorf("got %v, want %v", err, ErrRevision)
	}
}

func TestLogKeepsTheLastEntries(t *testing.T) {
	l, c := makeHistory(t, MaxLogEntries+3, "ann")
	if got := l.Base().Revision; got != 3 {
		t.Errorf("got base %d, want 3", got)
	}
	if _, ok := l.After(2, 1<<20); ok {
		t.Error("got entries before the base, want none")
	}
	got, ok := l.After(3, 1)
	if !ok || len(got) != 1 || got[0].Change.Revision != 4 {
		t.Errorf("got %d entries after revision 3, want the entry of revision 4 alone", len(got))
	}
	if l.End() != c.Position() {
		t.Errorf("got end %v, want %v", l.End(), c.Position())
	}
	if e, ok := l.ByWriteID("ann7"); !ok || e.Change.Revision != 7 {
		t.Errorf("got the entry of revision %v, want that of revision 7", e.Change.Revision)
	}
}

func TestSnapshotIsCheckedByItsDigest(t *testing.T) {
	_, c := makeHistory(t, 3, "ann")
	data, err := EncodeSnapshot(c)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeSnapshot(data)
	if err != nil || !reflect.DeepEqual(got.Records(), c.Records()) || got.Position() != c.Position() {
		t.Errorf("got configuration %v and error %v, want the encoded configuration", got, err)
	}
	for i := range data {
		bad := append([]byte(nil), data...)
		bad[i] ^= 1
		if _, err := DecodeSnapshot(bad); err == nil {
			t.Fatalf("got no error for a snapshot with a corrupt byte %d, want one", i)
		}
	}
	if _, err := DecodeSnapshot(data[:len(data)/2]); !errors.Is(err, ErrSnapshot) {
		t.Errorf("got %v, want %v", err, ErrSnapshot)
	}
}

func TestDiffNamesRecordsAndKeys(t *testing.T) {
	a := configOf(t, "[profile p]\nqueueWaitMs = 5\n[profile q]\nqueueWaitMs = 5\n")
	b := configOf(t, "[profile p]\nqueueWaitMs = 6\n[region r]\ndomains = d\n")
	got := fmt.Sprint(Diff(a, b)[:2])
	want := "[{add region r [{domains  [\"d\"]}]} {change profile p [{queueWaitMs 5 6}]}]"
	if got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
