package spread

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"magnoliahitch/links/plat"
	"magnoliahitch/steer/config"
)

// ErrNoFork reports an override of a table whose history doesn't differ from
// this host's.
var ErrNoFork = errors.New("table and host hold the same history")

// ErrTooFar reports an override that would need more than
// [config.MaxLogEntries] empty changes to reach a revision above the table's.
var ErrTooFar = errors.New("table is too many changes ahead")

// Override replaces the table's history by this host's, as an operator decided.
// Empty changes raise the revision above both histories. The changes of the
// other history are lost, and hosts that hold it must be restarted. It returns
// [ErrNoFork] if the histories don't differ.
func (s *Spread) Override(ctx context.Context, author, reason string) (config.Entry, error) {
	s.catchUpWithPeers(ctx)
	switch err := s.Pull(ctx); {
	case err == nil:
		return config.Entry{}, ErrNoFork
	case !errors.Is(err, config.ErrFork) && !errors.Is(err, ErrLost):
		return config.Entry{}, err
	}
	held := s.heldChanges()
	h, version, err := s.head(ctx)
	if err != nil {
		return config.Entry{}, errors.Wrap(err, "read head")
	}
	entries, err := emptyChanges(held.End(), h.Revision+1, config.Change{
		Author: author, Reason: reason, WriteID: uuid.NewString(), At: time.Now().UTC(),
	})
	if err != nil {
		return config.Entry{}, err
	}
	if err := s.storeSnapshots(ctx, held.Base()); err != nil {
		return config.Entry{}, err
	}
	rows, _ := held.After(held.Base().Revision, config.MaxLogBytes)
	rows = append(rows[:len(rows):len(rows)], entries...)
	if err := s.overwrite(ctx, held.Base(), rows, version); err != nil {
		return config.Entry{}, errors.Wrap(err, "overwrite the table's history")
	}
	last := entries[len(entries)-1]
	s.log.Warn("history of the table overwritten", "from", h.Revision, "to", last.Change.Revision, "author", author, "reason", reason)
	_, err = s.apply("operator", toAll, entries)
	return last, err
}

// emptyChanges returns empty changes from the position up to the revision, at least
// one.
func emptyChanges(from config.Position, to uint64, ch config.Change) ([]config.Entry, error) {
	to = max(to, from.Revision+1)
	if to-from.Revision > config.MaxLogEntries {
		return nil, errors.Wrapf(ErrTooFar, "raise revision %d to %d", from.Revision, to)
	}
	var out []config.Entry
	for from.Revision < to {
		ch.Revision, ch.Prev = from.Revision+1, from.Digest
		e, err := config.Encode(ch)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
		from = e.Position()
	}
	return out, nil
}

// storeSnapshots writes both snapshots if this host's changes don't start at
// the first revision, so that a new host can load this history.
func (s *Spread) storeSnapshots(ctx context.Context, base config.Position) error {
	if base.Revision == 0 {
		return nil
	}
	if s.objects == nil {
		return errNoSnapshot
	}
	for _, k := range snapshotKeys {
		if err := s.storeSnapshot(ctx, k, s.view.Config()); err != nil {
			return err
		}
	}
	return nil
}

// overwrite writes the head, the base and the rows of the changes in one
// transaction, on condition that the head row has the version.
func (s *Spread) overwrite(ctx context.Context, from config.Position, rows []config.Entry, version plat.Position) error {
	h, err := putHead(rows[len(rows)-1])
	if err != nil {
		return err
	}
	b, err := json.Marshal(base{from.Revision})
	if err != nil {
		return errors.Wrap(err, "encode base")
	}
	txn := plat.Txn{
		Checks: []plat.Check{{Key: headKey, At: version}},
		Puts:   []plat.Put{h, {Key: baseKey, Value: b}},
	}
	for _, e := range rows {
		txn.Puts = append(txn.Puts, plat.Put{Key: changeKey(e.Change.Revision), Value: e.Raw})
	}
	_, err = s.table.Commit(ctx, txn)
	return err
}
