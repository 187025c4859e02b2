// Package spread commits changes of the configuration to the platform's table
// and brings accepted changes into force on this host.
package spread

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/view"
	"magnoliahitch/links/plat"
	"magnoliahitch/steer/config"
)

// Keys of the configuration in the table. The head row holds the greatest
// accepted revision, and each change has a row of its own.
const (
	headKey   = "config/head"
	logPrefix = "config/log/"
)

// changesLimit bounds the changes read at once.
const changesLimit = 200

// ErrConflict reports that another operator's change was accepted first.
var ErrConflict = errors.New("another change was accepted first")

// head is the value of the head row.
type head struct {
	Revision uint64 `json:"revision"`
	WriteID  string `json:"writeId"`
}

// Spread keeps this host's view up to date.
type Spread struct {
	table plat.Table
	view  *view.View
	log   hclog.Logger
}

// New returns a spread that advances the view.
func New(table plat.Table, v *view.View, log hclog.Logger) *Spread {
	return &Spread{table: table, view: v, log: log}
}

func changeKey(revision uint64) string { return fmt.Sprintf("%s%020d", logPrefix, revision) }

// Commit accepts the change when its revision follows the greatest accepted
// one, or returns [ErrConflict].
func (s *Spread) Commit(ctx context.Context, ch config.Change) error {
	h, version, err := s.head(ctx)
	if err != nil {
		return errors.Wrap(err, "read head")
	}
	if ch.Revision != h.Revision+1 {
		return errors.Wrapf(ErrConflict, "commit revision %d after %d", ch.Revision, h.Revision)
	}
	headValue, err := json.Marshal(head{Revision: ch.Revision, WriteID: ch.WriteID})
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	changeValue, err := json.Marshal(ch)
	if err != nil {
		return errors.Wrap(err, "encode change")
	}
	_, err = s.table.Commit(ctx, plat.Txn{
		Checks: []plat.Check{{Key: headKey, Version: version}},
		Puts: []plat.Put{
			{Key: headKey, Value: headValue},
			{Key: changeKey(ch.Revision), Value: changeValue},
		},
	})
	if errors.Is(err, plat.ErrConflict) {
		return errors.Wrapf(ErrConflict, "commit revision %d", ch.Revision)
	}
	return err
}

func (s *Spread) head(ctx context.Context) (head, int64, error) {
	row, err := s.table.Get(ctx, headKey)
	if errors.Is(err, plat.ErrMissing) {
		return head{}, 0, nil
	}
	if err != nil {
		return head{}, 0, err
	}
	var h head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return head{}, 0, errors.Wrap(err, "decode head")
	}
	return h, row.Version, nil
}

// Run reads accepted changes at each interval until the context ends.
func (s *Spread) Run(ctx context.Context, interval time.Duration) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		if err := s.Pull(ctx); err != nil && ctx.Err() == nil {
			s.log.Warn("read configuration", "error", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// Pull brings every accepted change into force.
func (s *Spread) Pull(ctx context.Context) error {
	h, _, err := s.head(ctx)
	if err != nil {
		return err
	}
	for c := s.view.Config(); c.Revision < h.Revision; {
		rows, err := s.table.List(ctx, logPrefix, changeKey(c.Revision), changesLimit)
		if err != nil {
			return err
		}
		if len(rows) == 0 {
			return errors.Errorf("change %d is missing from the table", c.Revision+1)
		}
		if c, err = apply(c, rows); err != nil {
			return err
		}
		if s.view.Advance(c) {
			s.log.Info("configuration in force", "revision", c.Revision)
		}
	}
	return nil
}

func apply(c *config.Config, rows []plat.Row) (*config.Config, error) {
	for _, r := range rows {
		var ch config.Change
		if err := json.Unmarshal(r.Value, &ch); err != nil {
			return nil, errors.Wrapf(err, "decode row %s", r.Key)
		}
		var err error
		if c, err = c.WithChange(ch); err != nil {
			return nil, errors.Wrapf(err, "row %s", r.Key)
		}
	}
	return c, nil
}
