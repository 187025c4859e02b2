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

// snapshotKeys are the objects that hold the two snapshots. A new snapshot
// replaces the older one, so that an interrupted write leaves the other intact.
var snapshotKeys = [...]string{"config-snapshot-a", "config-snapshot-b"}

// Times and sizes of snapshots.
const (
	// snapshotInterval is the time between two checks whether a snapshot is
	// due.
	snapshotInterval = 5 * time.Second
	// snapshotChanges is the number of changes after which a snapshot is due.
	snapshotChanges = 64
	// snapshotAge is the time since the last snapshot after which any change
	// makes one due.
	snapshotAge = 30 * time.Second
	// keptRows is the number of changes up to the older snapshot whose rows
	// stay in the table.
	keptRows = config.MaxLogEntries
)

// objectTimeout bounds loading the snapshots, and writing one and deleting the
// rows that it covers.
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
			loadErr = s.applySnapshot("object "+k, toDomain, data, nil)
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

// snapshotTurn writes a snapshot if one is due, this host is the snapshot
// writer and its configuration is current.
func (s *Spread) snapshotTurn(ctx context.Context) {
	now := s.now()
	if current, _ := s.Current(now); s.objects == nil || !current || !s.isSnapshotWriter() {
		return
	}
	if err := s.snapshot(ctx, now); err != nil && ctx.Err() == nil {
		s.log.Warn("write snapshot", "error", err)
	}
}

// isSnapshotWriter reports whether this host ranks first for snapshots among
// the live hosts.
func (s *Spread) isSnapshotWriter() bool {
	if s.members == nil {
		return true
	}
	ranked := place.Rank("config/snapshot", s.members.Live())
	return len(ranked) == 0 || ranked[0].Name == s.members.Self().Name
}

// snapshot writes the configuration over the older snapshot if one is due, then
// deletes rows of changes that both snapshots cover.
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
	older, newest, err := s.storedSnapshots(ctx)
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
	// The snapshot that was the newest is now the older one.
	return s.compact(ctx, newest)
}

// storedSnapshots returns the index of the older snapshot and the revision of
// the newer one. A missing or damaged snapshot has revision 0.
func (s *Spread) storedSnapshots(ctx context.Context) (older int, newest uint64, err error) {
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

// storeSnapshot writes the configuration and reads it back to verify it.
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
	if got.Position() != c.Position() {
		return errors.Errorf("object %s holds revision %d, want %d: another host wrote it", key, got.Revision, c.Revision)
	}
	s.meters.snapshots.Inc()
	return nil
}

// compact deletes the rows of the changes up to the covered revision, except
// the last keptRows ones. It deletes at most maxChanges rows at once.
func (s *Spread) compact(ctx context.Context, covered uint64) error {
	var b base
	version, err := s.row(ctx, baseKey, &b)
	if err != nil {
		return errors.Wrap(err, "read base")
	}
	if covered < b.Revision+keptRows+1 {
		return nil
	}
	first, last := b.Revision+1, min(covered-keptRows, b.Revision+maxChanges)
	value, err := json.Marshal(base{last})
	if err != nil {
		return errors.Wrap(err, "encode base")
	}
	txn := plat.Txn{
		Checks: []plat.Check{{Key: baseKey, At: version}},
		Puts:   []plat.Put{{Key: baseKey, Value: value}},
	}
	for r := first; r <= last; r++ {
		txn.Deletes = append(txn.Deletes, changeKey(r))
	}
	if _, err := s.table.Commit(ctx, txn); err != nil {
		return errors.Wrapf(err, "delete rows of changes %d to %d", first, last)
	}
	s.log.Info("old changes deleted from the table", "from", first, "to", last)
	return nil
}
