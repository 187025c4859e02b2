package spread

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	"magnoliahitch/links/plat"
	"magnoliahitch/steer/config"
)

// Keys of the configuration in the table. The head row holds the position of the
// greatest accepted revision. The base row holds the revision after which every
// change has its own row; earlier rows may have been deleted.
const (
	headKey   = "config/head"
	baseKey   = "config/base"
	logPrefix = "config/log/"
)

// maxPulls bounds the comparisons of one [Spread.Pull] while other hosts change
// the head row.
const maxPulls = 5

// maxChanges is the maximum number of changes that are read, written or deleted at
// once, except by an override.
const maxChanges = 200

// head is the value of the head row.
type head struct {
	config.Position
	WriteID string `json:"writeId"`
}

// ErrLost reports that the table was restored from a copy so old that this host
// no longer holds all the changes to write back.
var ErrLost = errors.New("table has lost more changes than this host holds")

// base is the value of the base row.
type base struct {
	Revision uint64 `json:"revision"`
}

// errGap reports that the table has no row for the next change.
var errGap = errors.New("change is missing from the table")

func changeKey(revision uint64) string { return fmt.Sprintf("%s%020d", logPrefix, revision) }

// head returns the head row's value and position in the store.
func (s *Spread) head(ctx context.Context) (head, plat.Position, error) {
	var h head
	version, err := s.row(ctx, headKey, &h)
	return h, version, err
}

// row decodes a row into out and returns its position in the store, or zero if there is no row.
func (s *Spread) row(ctx context.Context, key string, out any) (plat.Position, error) {
	row, err := s.table.Get(ctx, key)
	if errors.Is(err, plat.ErrMissing) {
		return plat.Position{}, nil
	}
	if err != nil {
		return plat.Position{}, err
	}
	if err := json.Unmarshal(row.Value, out); err != nil {
		return plat.Position{}, errors.Wrapf(err, "decode row %s", key)
	}
	return row.At, nil
}

func putHead(e config.Entry) (plat.Put, error) {
	value, err := json.Marshal(head{e.Position(), e.Change.WriteID})
	if err != nil {
		return plat.Put{}, errors.Wrap(err, "encode head")
	}
	return plat.Put{Key: headKey, Value: value}, nil
}

// pollTurn polls the table if this host is a poller.
func (s *Spread) pollTurn(ctx context.Context) {
	defer s.report()
	polls := s.isPoller()
	s.mu.Lock()
	s.pollsTable = polls
	s.mu.Unlock()
	if !polls {
		return
	}
	err := s.Pull(ctx)
	if err == nil || ctx.Err() != nil {
		return
	}
	s.log.Warn("poll table", "error", err)
	if s.view.Config().Revision == 0 {
		s.recover(ctx)
	}
}

// start fetches the greatest revision that other hosts or the table hold.
func (s *Spread) start(ctx context.Context) {
	s.syncWithPeers(ctx)
	if err := s.Pull(ctx); err != nil && ctx.Err() == nil {
		s.log.Warn("read table at start", "error", err)
		s.recover(ctx)
	}
	if s.view.Config().Revision == 0 {
		s.log.Warn("no configuration found at start, callers are not served")
	}
}

// recover loads a configuration while the table can't be read: the greatest one
// of the hosts that respond, or else the snapshot in the object store.
func (s *Spread) recover(ctx context.Context) {
	s.syncWithPeers(ctx)
	if s.view.Config().Revision > 0 {
		return
	}
	if err := s.loadSnapshot(ctx); err != nil && ctx.Err() == nil {
		s.log.Warn("load snapshot", "error", err)
	}
}

// Pull compares this host with the table. It brings every accepted change into
// force, and writes changes that the table has lost back to it. It returns
// [config.ErrFork] if the table has a different history, and [ErrLost] if this
// host can't restore the lost changes.
func (s *Spread) Pull(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	err := s.pullOnce(ctx)
	for tries := 1; tries < maxPulls && errors.Is(err, plat.ErrConflict); tries++ {
		// Another host changed the head row while this one repaired the table.
		err = s.pullOnce(ctx)
	}
	return err
}

// pullOnce compares this host with the table once. It returns
// [plat.ErrConflict] if the head row changed during a repair.
func (s *Spread) pullOnce(ctx context.Context) error {
	sent := s.now()
	s.meters.polls.Inc()
	// Read before the table, so that a change that is accepted in between doesn't
	// count as lost by the table.
	held := s.heldChanges()
	h, version, err := s.head(ctx)
	s.recordStore(sent, err)
	if err != nil {
		s.meters.pollFailures.Inc()
		return errors.Wrap(err, "read head")
	}
	switch config.CompareHistories(held, h.Position, 0) {
	case config.SyncChanges:
		err = s.pullRows(ctx, h.Position)
	case config.SyncOffer:
		err = s.repair(ctx, held, h.Position, version)
	case config.SyncFork:
		err = errors.Wrapf(config.ErrFork, "compare with the table's history at revision %d", h.Revision)
	}
	if err != nil {
		s.recordFork(err)
		return err
	}
	s.confirmCurrent(sent)
	return nil
}

// pullRows reads the changes up to the position from the table and brings them into
// force.
func (s *Spread) pullRows(ctx context.Context, to config.Position) error {
	var b base
	if _, err := s.row(ctx, baseKey, &b); err != nil {
		return errors.Wrap(err, "read base")
	}
	if c := s.view.Config(); c.Revision < b.Revision {
		if err := s.catchUpTo(ctx, b.Revision); err != nil {
			return err
		}
	}
	for {
		c := s.view.Config()
		if c.Revision >= to.Revision {
			return nil
		}
		entries, err := s.rows(ctx, c.Revision)
		if err != nil {
			return err
		}
		if _, err := s.apply("table", toDomain, entries); err != nil {
			return errors.Wrap(err, "apply changes from the table")
		}
	}
}

// rows reads at most maxChanges changes that follow the revision. It returns
// errGap if the next one is missing.
func (s *Spread) rows(ctx context.Context, after uint64) ([]config.Entry, error) {
	rows, err := s.table.List(ctx, logPrefix, changeKey(after), maxChanges)
	if err != nil {
		return nil, errors.Wrap(err, "read changes")
	}
	out := make([]config.Entry, 0, len(rows))
	for _, r := range rows {
		e, err := config.Decode(r.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "decode row %s", r.Key)
		}
		out = append(out, e)
	}
	if len(out) == 0 || out[0].Change.Revision != after+1 {
		return nil, errors.Wrapf(errGap, "change %d", after+1)
	}
	return out, nil
}

// catchUpTo brings a configuration of at least the revision into force, from
// another host or the object store.
func (s *Spread) catchUpTo(ctx context.Context, revision uint64) error {
	s.syncWithPeers(ctx)
	if s.view.Config().Revision >= revision {
		return nil
	}
	if err := s.loadSnapshot(ctx); err != nil {
		return err
	}
	if s.view.Config().Revision >= revision {
		return nil
	}
	return errors.Wrapf(errGap, "no host or snapshot reaches revision %d, change %d", revision, revision)
}

// repair writes the changes that a table restored from an old copy has lost
// back to it. It returns [ErrLost] if this host no longer holds them.
func (s *Spread) repair(ctx context.Context, held config.Log, at config.Position, version plat.Position) error {
	for at != held.End() {
		entries, ok := held.After(at.Revision, config.MaxLogBytes)
		if !ok {
			return errors.Wrapf(ErrLost, "table is at revision %d, this host holds changes from %d", at.Revision, held.Base().Revision+1)
		}
		entries = entries[:min(maxChanges, len(entries))]
		last := entries[len(entries)-1]
		var err error
		if version, err = s.putEntries(ctx, entries, version); err != nil {
			return errors.Wrapf(err, "write changes after revision %d back to the table", at.Revision)
		}
		s.meters.repairs.Inc()
		s.log.Warn("table had lost accepted changes, written back", "from", at.Revision+1, "to", last.Change.Revision)
		at = last.Position()
	}
	return nil
}

// putEntries writes the rows of the entries and moves the head to the last one,
// on condition that the head row has the version.
func (s *Spread) putEntries(ctx context.Context, entries []config.Entry, version plat.Position) (plat.Position, error) {
	h, err := putHead(entries[len(entries)-1])
	if err != nil {
		return plat.Position{}, err
	}
	txn := plat.Txn{Checks: []plat.Check{{Key: headKey, At: version}}, Puts: []plat.Put{h}}
	for _, e := range entries {
		txn.Puts = append(txn.Puts, plat.Put{Key: changeKey(e.Change.Revision), Value: e.Raw})
	}
	return s.table.Commit(ctx, txn)
}
