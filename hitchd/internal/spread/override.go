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

// ErrNoFork reports that the table holds this host's history.
var ErrNoFork = errors.New("table and host hold the same history")

// ErrTooFar reports that the table's history is too much longer than this host's.
var ErrTooFar = errors.New("table is too many changes ahead")

// Override writes this host's history over another one in the table, by an
// operator's decision. Empty changes raise the revision above both histories.
// Changes of the other history are lost, and hosts that hold it must be
// restarted. It returns [ErrNoFork] when the histories don't differ.
func (s *Spread) Override(ctx context.Context, author, reason string) (config.Entry, error) {
	s.followPeers(ctx)
	switch err := s.Pull(ctx); {
	case err == nil:
		return config.Entry{}, ErrNoFork
	case !errors.Is(err, config.ErrFork) && !errors.Is(err, ErrLost):
		return config.Entry{}, err
	}
	held := s.held()
	h, version, err := s.head(ctx)
	if err != nil {
		return config.Entry{}, errors.Wrap(err, "read head")
	}
	entries, err := raise(held.End(), h.Revision+1, config.Change{
		Author: author, Reason: reason, WriteID: uuid.NewString(), At: time.Now().UTC(),
	})
	if err != nil {
		return config.Entry{}, err
	}
	if err := s.storeBoth(ctx, held.Base()); err != nil {
		return config.Entry{}, err
	}
	rows, _ := held.After(held.Base().Revision, config.MaxLogBytes)
	rows = append(rows[:len(rows):len(rows)], entries...)
	if err := s.overwrite(ctx, held.Base(), rows, version); err != nil {
		return config.Entry{}, errors.Wrap(err, "write history over the table's")
	}
	last := entries[len(entries)-1]
	s.log.Warn("history of the table overwritten", "from", h.Revision, "to", last.Change.Revision, "author", author, "reason", reason)
	_, err = s.adopt("operator", toAll, entries)
	return last, err
}

// raise returns empty changes that lead from the mark to the revision, and at
// least one.
func raise(from config.Mark, to uint64, ch config.Change) ([]config.Entry, error) {
	to = max(to, from.Revision+1)
	if to-from.Revision > config.MaxLogEntries {
		return nil, errors.Wrapf(ErrTooFar, "from revision %d to %d", from.Revision, to)
	}
	var out []config.Entry
	for from.Revision < to {
		ch.Revision, ch.Prev = from.Revision+1, from.Digest
		e, err := config.Encode(ch)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
		from = e.Mark()
	}
	return out, nil
}

// storeBoth writes both snapshots when the rows alone wouldn't lead a new host
// to this history.
func (s *Spread) storeBoth(ctx context.Context, base config.Mark) error {
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

// overwrite writes head, base and rows in one transaction.
func (s *Spread) overwrite(ctx context.Context, from config.Mark, rows []config.Entry, version int64) error {
	h, err := putHead(rows[len(rows)-1])
	if err != nil {
		return err
	}
	b, err := json.Marshal(base{from.Revision})
	if err != nil {
		return errors.Wrap(err, "encode base")
	}
	txn := plat.Txn{
		Checks: []plat.Check{{Key: headKey, Version: version}},
		Puts:   []plat.Put{h, {Key: baseKey, Value: b}},
	}
	for _, e := range rows {
		txn.Puts = append(txn.Puts, plat.Put{Key: changeKey(e.Change.Revision), Value: e.Raw})
	}
	_, err = s.table.Commit(ctx, txn)
	return err
}
