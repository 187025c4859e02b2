package spread

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/plat"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/place"
)

// snapshotKeys are the objects that hold snapshots. The older one is written,
// so that a broken write leaves the other.
var snapshotKeys = [...]string{"config-snapshot-a", "config-snapshot-b"}

// Pace of snapshots.
const (
	// snapshotInterval is the time between two looks whether one is due.
	snapshotInterval = 5 * time.Second
	// snapshotChanges is the number of changes after which one is due.
	snapshotChanges = 64
	// snapshotAge is the time after which a change calls for a snapshot.
	snapshotAge = 30 * time.Second
	// keptRows is the number of changes that stay in the table behind the
	// older snapshot.
	keptRows = config.MaxLogEntries
)

// objectTimeout bounds reading or writing the snapshots.
const objectTimeout = 10 * time.Second

var errNoSnapshot = errors.New("no snapshot in the object store")

// loadSnapshot brings the greatest undamaged snapshot into force.
func (s *Spread) loadSnapshot(ctx context.Context) error {
	if s.objects == nil {
		return errNoSnapshot
	}
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	err := errNoSnapshot
	for _, k := range snapshotKeys {
		data, loadErr := s.objects.Load(ctx, k)
		if loadErr == nil {
			loadErr = s.adoptSnapshot("object "+k, toDomain, data, nil)
		}
		switch {
		case loadErr == nil:
			err = nil
		case !errors.Is(loadErr, plat.ErrMissing) && err != nil:
			err = errors.Wrapf(loadErr, "load object %s", k)
		}
	}
	return err
}

// snapshotTurn writes a snapshot when it is this host's part and one is due.
func (s *Spread) snapshotTurn(ctx context.Context) {
	now := s.now()
	if current, _ := s.Current(now); s.objects == nil || !current || !s.snapshots() {
		return
	}
	if err := s.snapshot(ctx, now); err != nil && ctx.Err() == nil {
		s.log.Warn("write snapshot", "error", err)
	}
}

// snapshots reports whether this host is the one that writes snapshots.
func (s *Spread) snapshots() bool {
	if s.members == nil {
		return true
	}
	ranked := place.Rank("config/snapshot", s.members.Live())
	return len(ranked) == 0 || ranked[0].Name == s.members.Self().Name
}

// snapshot writes the configuration over the older snapshot when it is due,
// then drops the rows that both snapshots make needless.
func (s *Spread) snapshot(ctx context.Context, now time.Time) error {
	c := s.view.Config()
	s.mu.Lock()
	due := c.Revision >= s.snapshotRevision+snapshotChanges || c.Revision > s.snapshotRevision && now.Sub(s.snapshotAt) >= snapshotAge
	s.mu.Unlock()
	if !due {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	older, newest, err := s.stored(ctx)
	if err != nil {
		return err
	}
	if newest < c.Revision {
		if err := s.storeSnapshot(ctx, snapshotKeys[older], c); err != nil {
			return err
		}
		s.log.Info("snapshot written", "revision", c.Revision, "object", snapshotKeys[older])
	}
	s.mu.Lock()
	s.snapshotRevision, s.snapshotAt = c.Revision, now
	s.mu.Unlock()
	// The newest of before is now the older one.
	return s.compact(ctx, newest)
}

// stored returns the index of the older snapshot and the revision of the newer.
func (s *Spread) stored(ctx context.Context) (older int, newest uint64, err error) {
	var revisions [len(snapshotKeys)]uint64
	for i, k := range snapshotKeys {
		data, err := s.objects.Load(ctx, k)
		if errors.Is(err, plat.ErrMissing) {
			continue
		}
		if err != nil {
			return 0, 0, errors.Wrapf(err, "load object %s", k)
		}
		if c, err := config.DecodeSnapshot(data); err == nil {
			revisions[i] = c.Revision
		}
	}
	if revisions[1] < revisions[0] {
		older = 1
	}
	return older, max(revisions[0], revisions[1]), nil
}

// storeSnapshot writes the configuration and reads it back.
func (s *Spread) storeSnapshot(ctx context.Context, key string, c *config.Config) error {
	data, err := config.EncodeSnapshot(c)
	if err != nil {
		return err
	}
	if err := s.objects.Store(ctx, key, data); err != nil {
		return errors.Wrapf(err, "store object %s", key)
	}
	back, err := s.objects.Load(ctx, key)
	if err != nil {
		return errors.Wrapf(err, "load object %s", key)
	}
	got, err := config.DecodeSnapshot(back)
	if err != nil {
		return errors.Wrapf(err, "load object %s", key)
	}
	if got.Mark() != c.Mark() {
		return errors.Errorf("object %s holds revision %d, not %d: another host wrote it", key, got.Revision, c.Revision)
	}
	s.meters.snapshots.Inc()
	return nil
}

// compact drops the rows of changes that both snapshots cover, but for the
// last ones.
func (s *Spread) compact(ctx context.Context, covered uint64) error {
	var b base
	version, err := s.row(ctx, baseKey, &b)
	if err != nil {
		return errors.Wrap(err, "read base")
	}
	if covered < b.Revision+keptRows+1 {
		return nil
	}
	first, last := b.Revision+1, min(covered-keptRows, b.Revision+changesLimit)
	value, err := json.Marshal(base{last})
	if err != nil {
		return errors.Wrap(err, "encode base")
	}
	txn := plat.Txn{
		Checks: []plat.Check{{Key: baseKey, Version: version}},
		Puts:   []plat.Put{{Key: baseKey, Value: value}},
	}
	for r := first; r <= last; r++ {
		txn.Deletes = append(txn.Deletes, changeKey(r))
	}
	if _, err := s.table.Commit(ctx, txn); err != nil {
		return errors.Wrapf(err, "drop changes %d to %d", first, last)
	}
	s.log.Info("old changes dropped from the table", "from", first, "to", last)
	return nil
}
