package admin

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"magnoliahitch/hitchd/internal/spread"
	"magnoliahitch/steer/config"
)

// commitTimeout bounds a commit, also when the operator has gone.
const commitTimeout = 8 * time.Second

// Bounds of the history.
const (
	defaultHistory = 20
	maxHistory     = 1000
)

type configAnswer struct {
	Revision uint64         `json:"revision"`
	Digest   string         `json:"digest"`
	Records  config.Records `json:"records"`
}

func (a *Admin) config(c echo.Context) error {
	conf := a.view.Config()
	return c.JSON(http.StatusOK, configAnswer{conf.Revision, conf.Digest, conf.Records()})
}

// changeRequest asks for a change to the base revision.
type changeRequest struct {
	Base uint64 `json:"base"`
	// WriteID names the change, so that a repeated request is recognised.
	WriteID string         `json:"writeId"`
	Author  string         `json:"author"`
	Reason  string         `json:"reason"`
	Puts    config.Records `json:"puts"`
	Deletes []config.Ref   `json:"deletes"`
	// DryRun asks only what the change would do.
	DryRun bool `json:"dryRun"`
}

type changeAnswer struct {
	// Revision is the accepted one, or the base of a dry run.
	Revision uint64 `json:"revision"`
	WriteID  string `json:"writeId"`
	// Repeated is set when the change had been accepted before.
	Repeated    bool                `json:"repeated,omitempty"`
	Differences []config.Difference `json:"differences,omitempty"`
}

func (a *Admin) change(c echo.Context) error {
	var in changeRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	ch := config.Change{
		Revision: in.Base + 1,
		WriteID:  in.WriteID,
		Author:   strings.TrimSpace(in.Author),
		Reason:   strings.TrimSpace(in.Reason),
		At:       time.Now().UTC(),
		Puts:     in.Puts,
		Deletes:  in.Deletes,
	}
	if ch.WriteID == "" {
		ch.WriteID = uuid.NewString()
	}
	if ch.Author == "" || ch.Reason == "" {
		return &problem{Status: http.StatusBadRequest, Reason: reasonRequest, Detail: "author and reason: want a text"}
	}
	if old, ok := a.commit.Accepted(ch.WriteID); ok {
		return c.JSON(http.StatusOK, changeAnswer{Revision: old.Revision, WriteID: ch.WriteID, Repeated: true})
	}
	// A commit goes on when the operator's connection breaks.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), commitTimeout)
	defer cancel()
	out, err := a.accept(ctx, ch, in.DryRun)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, out)
}

// accept validates the change against the greatest accepted revision and
// commits it, unless it is a dry run.
func (a *Admin) accept(ctx context.Context, ch config.Change, dryRun bool) (changeAnswer, error) {
	if err := a.commit.Pull(ctx); err != nil {
		return changeAnswer{}, err
	}
	if old, ok := a.commit.Accepted(ch.WriteID); ok {
		return changeAnswer{Revision: old.Revision, WriteID: ch.WriteID, Repeated: true}, nil
	}
	conf := a.view.Config()
	if ch.Revision != conf.Revision+1 {
		return changeAnswer{}, a.conflict(ctx, conf.Revision)
	}
	next, err := conf.WithChange(ch)
	if err != nil {
		return changeAnswer{}, err
	}
	if faults := a.faults(conf, next, ch); len(faults) > 0 {
		return changeAnswer{}, &problem{Status: http.StatusUnprocessableEntity, Reason: reasonFaults, Detail: "the configuration would have faults; nothing was changed", Faults: faults}
	}
	out := changeAnswer{Revision: conf.Revision, WriteID: ch.WriteID, Differences: config.Diff(conf, next)}
	if dryRun {
		return out, nil
	}
	e, err := a.commit.Commit(ctx, ch)
	if err != nil {
		return changeAnswer{}, err
	}
	out.Revision = e.Change.Revision
	a.log.Info("change accepted", "revision", out.Revision, "author", ch.Author, "reason", ch.Reason, "writeId", ch.WriteID)
	return out, nil
}

func (a *Admin) conflict(ctx context.Context, current uint64) error {
	var last config.Change
	if h := a.commit.History(ctx, 1); len(h) > 0 {
		last = h[0]
	}
	return conflictOf(current, last)
}

// faults returns every reason against the change.
func (a *Admin) faults(conf, next *config.Config, ch config.Change) []config.Fault {
	out := conf.MissingDeletes(ch)
	out = append(out, next.Faults()...)
	for _, f := range a.checks {
		out = append(out, f(next)...)
	}
	// Checks may find the same fault; one of its kind is enough.
	seen := make(map[config.Fault]bool)
	return slices.DeleteFunc(out, func(f config.Fault) bool {
		key := config.Fault{Kind: f.Kind, Name: f.Name, Key: f.Key, Value: f.Value}
		had := seen[key]
		seen[key] = true
		return had
	})
}

type historyAnswer struct {
	Changes []config.Change `json:"changes"`
}

func (a *Admin) history(c echo.Context) error {
	limit := defaultHistory
	if v := c.QueryParam("limit"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > maxHistory {
			return &problem{Status: http.StatusBadRequest, Reason: reasonRequest, Detail: "limit = " + v + ": want 1 to 1000"}
		}
		limit = n
	}
	return c.JSON(http.StatusOK, historyAnswer{a.commit.History(c.Request().Context(), limit)})
}

// overrideRequest asks to write this host's history over the table's.
type overrideRequest struct {
	Author string `json:"author"`
	Reason string `json:"reason"`
}

func (a *Admin) override(c echo.Context) error {
	var in overrideRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	if in.Author == "" || in.Reason == "" {
		return &problem{Status: http.StatusBadRequest, Reason: reasonRequest, Detail: "author and reason: want a text"}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), commitTimeout)
	defer cancel()
	e, err := a.commit.Override(ctx, in.Author, in.Reason)
	if errors.Is(err, spread.ErrNoFork) || errors.Is(err, spread.ErrTooFar) {
		return &problem{Status: http.StatusUnprocessableEntity, Reason: reasonFork, Detail: err.Error() + "; nothing was changed"}
	}
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, changeAnswer{Revision: e.Change.Revision, WriteID: e.Change.WriteID})
}
