// Package mem is an in-memory table and object store with fault injection. The
// platform stand-in stores its data in it, and tests use it as a fake.
package mem

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"magnoliahitch/links/plat"
)

// Fault is the set of injected faults. The zero value is a healthy store.
type Fault struct {
	// Down makes each call fail without effect.
	Down bool `json:"down"`
	// LoseCommits is the number of next commits whose response is lost although
	// they take effect.
	LoseCommits int `json:"loseCommits"`
	// LateBy is the delay after which commits with a lost response take effect, if
	// their checks hold then.
	LateBy time.Duration `json:"lateBy"`
	// Delay is the delay of each call.
	Delay time.Duration `json:"delay"`
}

// Store is a table and an object store. It implements [plat.Table] and
// [plat.Objects] and is safe for concurrent use.
type Store struct {
	mu    sync.Mutex
	fault Fault
	// era begins at 1 and increases with each [Store.Restore].
	era     int64
	version int64
	rows    map[string]plat.Row
	// removed holds the versions at which rows were removed, by key. Removals up to
	// the version floor are compacted.
	removed map[string]int64
	floor   int64
	objects map[string][]byte
	reads   int64
	writes  int64
}

// New returns an empty store.
func New() *Store {
	return &Store{era: 1, rows: make(map[string]plat.Row), removed: make(map[string]int64), objects: make(map[string][]byte)}
}

// SetFault replaces the injected faults.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Counts returns the numbers of reads and writes that the store has served.
func (s *Store) Counts() (reads, writes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// Snapshot returns a healthy store with a snapshot of the rows and objects.
func (s *Store) Snapshot() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Store{era: s.era, version: s.version, rows: maps.Clone(s.rows), removed: maps.Clone(s.removed), floor: s.floor, objects: maps.Clone(s.objects)}
}

// Restore replaces the rows, objects and version by those of an older copy and begins a
// new era without any history. The faults and counts stay.
func (s *Store) Restore(old *Store) {
	c := old.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, s.rows, s.objects = c.version, c.rows, c.objects
	s.removed, s.floor = make(map[string]int64), c.version
	for k, r := range s.rows {
		r.At.Era = s.era
		s.rows[k] = r
	}
}

// begin waits for the delay, and returns [plat.ErrDown] when the store is down or
// the context has ended.
func (s *Store) begin(ctx context.Context) error {
	s.mu.Lock()
	f := s.fault
	s.mu.Unlock()
	if f.Delay > 0 {
		t := time.NewTimer(f.Delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return plat.ErrDown
		}
	}
	if f.Down || ctx.Err() != nil {
		return plat.ErrDown
	}
	return nil
}

// Get returns the row, or [plat.ErrMissing].
func (s *Store) Get(ctx context.Context, key string) (plat.Row, error) {
	if err := s.begin(ctx); err != nil {
		return plat.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	row, ok := s.rows[key]
	if !ok {
		return plat.Row{}, plat.ErrMissing
	}
	return row, nil
}

// List returns at most limit rows with the prefix whose keys come after the key
// after, in the order of keys.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]plat.Row, error) {
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	var keys []string
	for k := range s.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	keys = keys[:min(limit, len(keys))]
	rows := make([]plat.Row, 0, len(keys))
	for _, k := range keys {
		rows = append(rows, s.rows[k])
	}
	return rows, nil
}

// Commit runs the transaction and returns the version of its writes. It returns
// [plat.ErrConflict] when a check failed, [plat.ErrDown] when the store is down,
// and [plat.ErrUnknown] when the response is lost.
func (s *Store) Commit(ctx context.Context, t plat.Txn) (plat.Position, error) {
	if err := s.begin(ctx); err != nil {
		return plat.Position{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	lost := s.fault.LoseCommits > 0
	if lost {
		s.fault.LoseCommits--
	}
	if lost && s.fault.LateBy > 0 {
		time.AfterFunc(s.fault.LateBy, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			// The sender has its response already and can't be told of a conflict.
			_ = s.apply(t)
		})
		return plat.Position{}, plat.ErrUnknown
	}
	if err := s.apply(t); err != nil {
		return plat.Position{}, err
	}
	if lost {
		return plat.Position{}, plat.ErrUnknown
	}
	return plat.Position{Era: s.era, Version: s.version}, nil
}

// apply runs the transaction, or returns [plat.ErrConflict] without effect. The
// caller holds the lock.
func (s *Store) apply(t plat.Txn) error {
	for _, k := range t.Checks {
		if s.rows[k.Key].At != k.At {
			return plat.ErrConflict
		}
	}
	s.version++
	for _, p := range t.Puts {
		s.rows[p.Key] = plat.Row{Key: p.Key, At: plat.Position{Era: s.era, Version: s.version}, Value: p.Value}
		delete(s.removed, p.Key)
	}
	for _, k := range t.Deletes {
		if _, there := s.rows[k]; there {
			delete(s.rows, k)
			s.removed[k] = s.version
		}
	}
	return nil
}

// Drop removes a row regardless of injected faults, such as a row that expires.
func (s *Store) Drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A transaction without checks has no conflict.
	_ = s.apply(plat.Txn{Deletes: []string{key}})
}

// At returns the position of the newest transaction.
func (s *Store) At() plat.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return plat.Position{Era: s.era, Version: s.version}
}

// Compact discards the removals of rows up to the present version.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = s.version
	clear(s.removed)
}

// Changes returns the changes of rows with the prefix after the version of the present
// era, in the order of versions, and the newest position. It returns
// [plat.ErrCompacted] when removals after the version may have been discarded, or when
// the store doesn't have the version.
func (s *Store) Changes(ctx context.Context, prefix string, after int64) ([]plat.Change, plat.Position, error) {
	if err := s.begin(ctx); err != nil {
		return nil, plat.Position{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if after < s.floor || after > s.version {
		return nil, plat.Position{}, plat.ErrCompacted
	}
	var out []plat.Change
	for k, r := range s.rows {
		if r.At.Version > after && strings.HasPrefix(k, prefix) {
			out = append(out, plat.Change{Row: r})
		}
	}
	for k, v := range s.removed {
		if v > after && strings.HasPrefix(k, prefix) {
			out = append(out, plat.Change{Row: plat.Row{Key: k, At: plat.Position{Era: s.era, Version: v}}, Removed: true})
		}
	}
	slices.SortFunc(out, func(a, b plat.Change) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Key, b.Key))
	})
	return out, plat.Position{Era: s.era, Version: s.version}, nil
}

// Load returns the object, or [plat.ErrMissing].
func (s *Store) Load(ctx context.Context, key string) ([]byte, error) {
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	data, ok := s.objects[key]
	if !ok {
		return nil, plat.ErrMissing
	}
	return data, nil
}

// Store writes the object.
func (s *Store) Store(ctx context.Context, key string, data []byte) error {
	if err := s.begin(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.objects[key] = data
	return nil
}
