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

// commitTimeout is the maximum time of a commit, also after the operator's
// connection has closed.
const commitTimeout = 8 * time.Second

// Default and maximum number of changes in a history response.
const (
	defaultHistory = 20
	maxHistory     = 1000
)

type configResponse struct {
	Revision uint64         `json:"revision"`
	Digest   string         `json:"digest"`
	Records  config.Records `json:"records"`
}

// config responds with the configuration in force on this host.
func (a *Admin) config(c echo.Context) error {
	conf := a.view.Config()
	return c.JSON(http.StatusOK, configResponse{conf.Revision, conf.Digest, conf.Records()})
}

// changeRequest requests a change of the configuration at revision Base.
type changeRequest struct {
	Base uint64 `json:"base"`
	// WriteID identifies the change, so that a repeated request is recognised.
	WriteID string         `json:"writeId"`
	Author  string         `json:"author"`
	Reason  string         `json:"reason"`
	Puts    config.Records `json:"puts"`
	Deletes []config.Ref   `json:"deletes"`
	// DryRun requests the effects of the change without making it.
	DryRun bool `json:"dryRun"`
}

type changeResponse struct {
	// Revision is that of the accepted change, or the base of a dry run.
	Revision uint64 `json:"revision"`
	WriteID  string `json:"writeId"`
	// Repeated is set when an earlier request with the write id was accepted.
	Repeated    bool                `json:"repeated,omitempty"`
	Differences []config.Difference `json:"differences,omitempty"`
}

// change accepts a change of the configuration. A change whose write id was
// accepted before is not accepted again.
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
		return &problem{Status: http.StatusBadRequest, Reason: reasonRequest, Detail: "author and reason: want non-empty texts"}
	}
	if old, ok := a.commit.Accepted(ch.WriteID); ok {
		return c.JSON(http.StatusOK, changeResponse{Revision: old.Revision, WriteID: ch.WriteID, Repeated: true})
	}
	// The commit continues when the operator's connection breaks.
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
func (a *Admin) accept(ctx context.Context, ch config.Change, dryRun bool) (changeResponse, error) {
	if err := a.commit.Pull(ctx); err != nil {
		return changeResponse{}, err
	}
	if old, ok := a.commit.Accepted(ch.WriteID); ok {
		return changeResponse{Revision: old.Revision, WriteID: ch.WriteID, Repeated: true}, nil
	}
	conf := a.view.Config()
	if ch.Revision != conf.Revision+1 {
		return changeResponse{}, a.conflict(ctx, conf.Revision)
	}
	next, err := conf.WithChange(ch)
	if err != nil {
		return changeResponse{}, err
	}
	if faults := a.faults(conf, next, ch); len(faults) > 0 {
		return changeResponse{}, &problem{Status: http.StatusUnprocessableEntity, Reason: reasonFaults, Detail: "the configuration would have faults; nothing was changed", Faults: faults}
	}
	out := changeResponse{Revision: conf.Revision, WriteID: ch.WriteID, Differences: config.Diff(conf, next)}
	if dryRun {
		return out, nil
	}
	e, err := a.commit.Commit(ctx, ch)
	if err != nil {
		return changeResponse{}, err
	}
	out.Revision = e.Change.Revision
	a.log.Info("change accepted", "revision", out.Revision, "author", ch.Author, "reason", ch.Reason, "writeId", ch.WriteID)
	return out, nil
}

// conflict returns the problem of a change whose base is not the current
// revision. It names the change that was accepted last.
func (a *Admin) conflict(ctx context.Context, current uint64) error {
	var last config.Change
	if h := a.commit.History(ctx, 1); len(h) > 0 {
		last = h[0]
	}
	return conflictProblem(current, last)
}

// faults returns every fault in the change and in the configuration that it
// leads to.
func (a *Admin) faults(conf, next *config.Config, ch config.Change) []config.Fault {
	out := conf.DeleteFaults(ch)
	out = append(out, next.Faults()...)
	for _, f := range a.checks {
		out = append(out, f(next)...)
	}
	// Several checks may report the same value; the first fault is kept.
	seen := make(map[config.Fault]bool)
	return slices.DeleteFunc(out, func(f config.Fault) bool {
		key := config.Fault{Kind: f.Kind, Name: f.Name, Key: f.Key, Value: f.Value}
		duplicate := seen[key]
		seen[key] = true
		return duplicate
	})
}

type historyResponse struct {
	Changes []config.Change `json:"changes"`
}

// history responds with the accepted changes, newest first.
func (a *Admin) history(c echo.Context) error {
	limit := defaultHistory
	if v := c.QueryParam("limit"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > maxHistory {
			return &problem{Status: http.StatusBadRequest, Reason: reasonRequest, Detail: "limit = " + v + ": want 1 to 1000"}
		}
		limit = n
	}
	return c.JSON(http.StatusOK, historyResponse{a.commit.History(c.Request().Context(), limit)})
}

// overrideRequest requests to overwrite the history in the table with that of
// this host.
type overrideRequest struct {
	Author string `json:"author"`
	Reason string `json:"reason"`
}

// override resolves a fork of the configuration by writing the history of this
// host over the one in the table.
func (a *Admin) override(c echo.Context) error {
	var in overrideRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	if in.Author == "" || in.Reason == "" {
		return &problem{Status: http.StatusBadRequest, Reason: reasonRequest, Detail: "author and reason: want non-empty texts"}
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
	return c.JSON(http.StatusOK, changeResponse{Revision: e.Change.Revision, WriteID: e.Change.WriteID})
}
