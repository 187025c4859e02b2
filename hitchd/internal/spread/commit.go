package spread

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/plat"
	"magnoliahitch/steer/config"
)

// Errors of a commit.
var (
	// ErrConflict reports that another operator's change was accepted first.
	ErrConflict = errors.New("another change was accepted first")
	// ErrUnknown reports that the table didn't confirm whether the change was
	// accepted. The same change with the same write id may be sent again.
	ErrUnknown = errors.New("not known whether the change was accepted")
)

// Conflict is the error of a commit that another change preceded. It unwraps to
// [ErrConflict].
type Conflict struct {
	// Current is the greatest accepted revision.
	Current uint64
	// Winner is the change of that revision.
	Winner config.Change
}

// Error describes the accepted change.
func (c *Conflict) Error() string {
	return fmt.Sprintf("revision %d is in force, made by %s at %s: %s", c.Current, c.Winner.Author, c.Winner.At.Format(time.RFC3339), c.Winner.Reason)
}

// Unwrap returns [ErrConflict].
func (c *Conflict) Unwrap() error { return ErrConflict }

// Backoff between attempts of a commit whose outcome is unknown.
const (
	commitRetryDelay    = 50 * time.Millisecond
	maxCommitRetryDelay = time.Second
)

// Commit accepts the change if its revision follows the greatest accepted one,
// and brings it into force on this host. It returns a [Conflict] if another
// change was accepted first, and [ErrUnknown] if the context ended before the
// outcome was known. If this host holds an accepted change with the same write
// id, Commit returns that entry.
func (s *Spread) Commit(ctx context.Context, ch config.Change) (config.Entry, error) {
	s.catchUpWithPeers(ctx)
	if err := s.Pull(ctx); err != nil {
		return config.Entry{}, err
	}
	held := s.heldChanges()
	if e, ok := held.ByWriteID(ch.WriteID); ok && ch.WriteID != "" {
		return e, nil
	}
	if ch.Revision != held.End().Revision+1 {
		return config.Entry{}, s.conflict(ctx, held)
	}
	h, version, err := s.head(ctx)
	if err != nil {
		return config.Entry{}, errors.Wrap(err, "read head")
	}
	if h.Position != held.End() {
		return config.Entry{}, s.conflict(ctx, held)
	}
	ch.Prev = h.Digest
	e, err := config.Encode(ch)
	if err != nil {
		return config.Entry{}, err
	}
	if err := s.commitEntry(ctx, e, version); err != nil {
		return config.Entry{}, err
	}
	_, err = s.apply("operator", toAll, []config.Entry{e})
	return e, err
}

// commitEntry sends the transaction until its outcome is known. Every attempt
// requires the same version of the head row, so at most one takes effect.
func (s *Spread) commitEntry(ctx context.Context, e config.Entry, version plat.Position) error {
	unknown := false
	for delay := commitRetryDelay; ; delay = min(2*delay, maxCommitRetryDelay) {
		_, err := s.putEntries(ctx, []config.Entry{e}, version)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, plat.ErrConflict):
			err = s.readBack(ctx, e)
			if err == nil || errors.Is(err, ErrConflict) || !unknown {
				return err
			}
		case errors.Is(err, plat.ErrUnknown):
			unknown = true
		case !unknown:
			// No attempt so far can have taken effect.
			return errors.Wrapf(err, "commit revision %d", e.Change.Revision)
		}
		s.log.Warn("outcome of the commit not known yet", "revision", e.Change.Revision, "error", err)
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrUnknown, "commit revision %d", e.Change.Revision)
		case <-time.After(delay):
		}
	}
}

// readBack reads the row of the change's revision. It returns nil if the row
// holds the change, and a [Conflict] if it holds another one.
func (s *Spread) readBack(ctx context.Context, e config.Entry) error {
	row, err := s.table.Get(ctx, changeKey(e.Change.Revision))
	if err != nil {
		return errors.Wrapf(err, "read change %d back", e.Change.Revision)
	}
	found, err := config.Decode(row.Value)
	if err != nil {
		return err
	}
	if found.Position() == e.Position() {
		return nil
	}
	return &Conflict{Current: found.Change.Revision, Winner: found.Change}
}

// conflict returns a [Conflict] with the change in force, after a pull if the
// table responds.
func (s *Spread) conflict(ctx context.Context, held config.Log) error {
	if err := s.Pull(ctx); err == nil {
		held = s.heldChanges()
	}
	c := &Conflict{Current: held.End().Revision}
	if e, ok := held.At(c.Current); ok {
		c.Winner = e.Change
	}
	return c
}

// History returns at most limit accepted changes, newest first. Changes that
// this host doesn't hold are read from the table; if that fails, only those
// that the host holds are returned.
func (s *Spread) History(ctx context.Context, limit int) []config.Change {
	held := s.heldChanges()
	var out []config.Change
	for r := held.End().Revision; r > held.Base().Revision && len(out) < limit; r-- {
		e, _ := held.At(r)
		out = append(out, e.Change)
	}
	base := held.Base().Revision
	if len(out) == limit || base == 0 {
		return out
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	count := uint64(min(limit-len(out), maxChanges))
	rows, err := s.table.List(ctx, logPrefix, changeKey(base-min(base, count)), int(count))
	if err != nil {
		s.log.Warn("read history", "error", err)
		return out
	}
	for i := len(rows) - 1; i >= 0; i-- {
		if e, err := config.Decode(rows[i].Value); err == nil && e.Change.Revision <= base {
			out = append(out, e.Change)
		}
	}
	return out
}

// Accepted returns the change with the write id. It reports whether this host
// holds it.
func (s *Spread) Accepted(writeID string) (config.Change, bool) {
	e, ok := s.heldChanges().ByWriteID(writeID)
	return e.Change, ok
}
