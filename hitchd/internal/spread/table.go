package spread

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	"magnoliahitch/links/plat"
	"magnoliahitch/steer/config"
)

// Keys of the configuration in the table. The head row holds the mark of the
// greatest accepted revision, the base row the revision after which every
// change has a row of its own.
const (
	headKey   = "config/head"
	baseKey   = "config/base"
	logPrefix = "config/log/"
)

// changesLimit bounds the changes read or written at once.
const changesLimit = 200

// head is the value of the head row.
type head struct {
	config.Mark
	WriteID string `json:"writeId"`
}

// ErrLost reports that the table was restored from a copy so old that this
// host can't write the lost changes back.
var ErrLost = errors.New("table has lost more changes than this host holds")

// base is the value of the base row.
type base struct {
	Revision uint64 `json:"revision"`
}

// errGap reports that the table no longer holds the change that follows.
var errGap = errors.New("change is missing from the table")

func changeKey(revision uint64) string { return fmt.Sprintf("%s%020d", logPrefix, revision) }

// head returns the head row's value and version.
func (s *Spread) head(ctx context.Context) (head, int64, error) {
	var h head
	version, err := s.row(ctx, headKey, &h)
	return h, version, err
}

// row decodes a row into out and returns its version, 0 when there is none.
func (s *Spread) row(ctx context.Context, key string, out any) (int64, error) {
	row, err := s.table.Get(ctx, key)
	if errors.Is(err, plat.ErrMissing) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(row.Value, out); err != nil {
		return 0, errors.Wrapf(err, "decode row %s", key)
	}
	return row.Version, nil
}

func putHead(e config.Entry) (plat.Put, error) {
	value, err := json.Marshal(head{e.Mark(), e.Change.WriteID})
	if err != nil {
		return plat.Put{}, errors.Wrap(err, "encode head")
	}
	return plat.Put{Key: headKey, Value: value}, nil
}

// pollTurn polls the table when it is this host's part.
func (s *Spread) pollTurn(ctx context.Context) {
	defer s.report()
	polls := s.polls()
	s.mu.Lock()
	s.tableSeen = polls
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

// start learns the greatest revision that the table or other hosts hold.
func (s *Spread) start(ctx context.Context) {
	s.askMany(ctx)
	if err := s.Pull(ctx); err != nil && ctx.Err() == nil {
		s.log.Warn("read table at start", "error", err)
		s.recover(ctx)
	}
	if s.view.Config().Revision == 0 {
		s.log.Warn("no configuration: this host serves no one")
	}
}

// recover finds a configuration while the table can't be read: the greatest
// of the hosts that answer, or else the snapshot in the object store.
func (s *Spread) recover(ctx context.Context) {
	s.askMany(ctx)
	if s.view.Config().Revision > 0 {
		return
	}
	if err := s.loadSnapshot(ctx); err != nil && ctx.Err() == nil {
		s.log.Warn("load snapshot", "error", err)
	}
}

// Pull compares this host with the table. It brings every accepted change into
// force, and writes changes that the table has lost back to it.
func (s *Spread) Pull(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	sent := s.now()
	s.meters.polls.Inc()
	// Looked at before the table, so that a change accepted in between isn't
	// taken for one that the table has lost.
	held := s.held()
	h, version, err := s.head(ctx)
	s.storeAnswered(sent, err)
	if err != nil {
		s.meters.pollFailures.Inc()
		return errors.Wrap(err, "read head")
	}
	switch config.Decide(held, h.Mark, 0) {
	case config.StepChanges:
		err = s.pullRows(ctx, h.Mark)
	case config.StepOffer:
		err = s.repair(ctx, held, h.Mark, version)
	case config.StepFork:
		err = errors.Wrapf(config.ErrFork, "compare with the table at revision %d", h.Revision)
	}
	if err != nil {
		s.setFork(err)
		return err
	}
	s.confirm(sent)
	return nil
}

// pullRows reads the changes up to the mark from the table.
func (s *Spread) pullRows(ctx context.Context, to config.Mark) error {
	var b base
	if _, err := s.row(ctx, baseKey, &b); err != nil {
		return errors.Wrap(err, "read base")
	}
	if c := s.view.Config(); c.Revision < b.Revision {
		if err := s.fill(ctx, b.Revision); err != nil {
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
		if _, err := s.adopt("table", toDomain, entries); err != nil {
			return errors.Wrap(err, "apply changes of the table")
		}
	}
}

// rows reads changes that follow the revision.
func (s *Spread) rows(ctx context.Context, after uint64) ([]config.Entry, error) {
	rows, err := s.table.List(ctx, logPrefix, changeKey(after), changesLimit)
	if err != nil {
		return nil, errors.Wrap(err, "read changes")
	}
	out := make([]config.Entry, 0, len(rows))
	for _, r := range rows {
		e, err := config.Decode(r.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "read row %s", r.Key)
		}
		out = append(out, e)
	}
	if len(out) == 0 || out[0].Change.Revision != after+1 {
		return nil, errors.Wrapf(errGap, "change %d", after+1)
	}
	return out, nil
}

// fill brings a configuration into force that reaches to the revision, from
// another host or the object store.
func (s *Spread) fill(ctx context.Context, revision uint64) error {
	s.askMany(ctx)
	if s.view.Config().Revision >= revision {
		return nil
	}
	if err := s.loadSnapshot(ctx); err != nil {
		return err
	}
	if s.view.Config().Revision >= revision {
		return nil
	}
	return errors.Wrapf(errGap, "no snapshot reaches revision %d, change %d", revision, revision)
}

// repair writes the changes that a table restored from an old copy has lost
// back to it. It returns [ErrLost] when this host no longer holds them.
func (s *Spread) repair(ctx context.Context, held config.Log, at config.Mark, version int64) error {
	for at != held.End() {
		entries, ok := held.After(at.Revision, config.MaxLogBytes)
		if !ok {
			return errors.Wrapf(ErrLost, "table at revision %d, changes from %d", at.Revision, held.Base().Revision+1)
		}
		entries = entries[:min(changesLimit, len(entries))]
		last := entries[len(entries)-1]
		var err error
		if version, err = s.putEntries(ctx, entries, version); err != nil {
			return errors.Wrapf(err, "write changes after %d back to the table", at.Revision)
		}
		s.meters.repairs.Inc()
		s.log.Warn("table had lost accepted changes, written back", "from", at.Revision+1, "to", last.Change.Revision)
		at = last.Mark()
	}
	return nil
}

// putEntries writes the rows of entries and moves the head to the last one,
// when the head row stands at the version.
func (s *Spread) putEntries(ctx context.Context, entries []config.Entry, version int64) (int64, error) {
	h, err := putHead(entries[len(entries)-1])
	if err != nil {
		return 0, err
	}
	txn := plat.Txn{Checks: []plat.Check{{Key: headKey, Version: version}}, Puts: []plat.Put{h}}
	for _, e := range entries {
		txn.Puts = append(txn.Puts, plat.Put{Key: changeKey(e.Change.Revision), Value: e.Raw})
	}
	return s.table.Commit(ctx, txn)
}
