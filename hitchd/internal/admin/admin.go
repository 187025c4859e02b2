// Package admin is the operator port: configuration, status and metrics.
package admin

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"magnoliahitch/hitchd/internal/spread"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
)

// maxChange is the largest accepted change, in the notation of echo.
const maxChange = "16M"

// headerTimeout bounds the time to read a request's header.
const headerTimeout = 5 * time.Second

// Committer accepts changes.
type Committer interface {
	Commit(ctx context.Context, ch config.Change) error
	Pull(ctx context.Context) error
}

// Viewer gives the configuration in force.
type Viewer interface {
	Config() *config.Config
}

// Members gives the hosts that may be given work.
type Members interface {
	Live() []member.Host
	Self() member.Host
}

// Admin is the operator port.
type Admin struct {
	token   func() string
	view    Viewer
	members Members
	commit  Committer
	log     hclog.Logger
}

// New returns an operator port that demands the bearer token in force.
func New(token func() string, v Viewer, m Members, c Committer, log hclog.Logger) *Admin {
	return &Admin{token: token, view: v, members: m, commit: c, log: log}
}

// Server returns the HTTP server of the operator port.
func (a *Admin) Server() *http.Server {
	e := echo.New()
	e.HideBanner = true
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/metrics", func(c echo.Context) error {
		metrics.WritePrometheus(c.Response(), true)
		return nil
	})
	g := e.Group("/v1", a.authenticate)
	g.GET("/config", a.config)
	g.POST("/changes", a.change)
	g.GET("/status", a.status)
	return &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout}
}

func (a *Admin) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		got := strings.TrimPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(got), []byte(a.token())) != 1 {
			return echo.NewHTTPError(http.StatusUnauthorized, "operator token missing or wrong")
		}
		return next(c)
	}
}

type configAnswer struct {
	Revision uint64         `json:"revision"`
	Records  config.Records `json:"records"`
}

func (a *Admin) config(c echo.Context) error {
	conf := a.view.Config()
	return c.JSON(http.StatusOK, configAnswer{Revision: conf.Revision, Records: conf.Records()})
}

// changeRequest asks for a change to the base revision.
type changeRequest struct {
	Base    uint64         `json:"base"`
	Author  string         `json:"author"`
	Reason  string         `json:"reason"`
	Puts    config.Records `json:"puts"`
	Deletes []config.Ref   `json:"deletes"`
}

type changeAnswer struct {
	Revision uint64         `json:"revision"`
	Error    string         `json:"error,omitempty"`
	Faults   []config.Fault `json:"faults,omitempty"`
}

func (a *Admin) change(c echo.Context) error {
	var in changeRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	ctx := c.Request().Context()
	if err := a.commit.Pull(ctx); err != nil {
		return c.JSON(http.StatusServiceUnavailable, changeAnswer{Error: err.Error()})
	}
	conf := a.view.Config()
	if in.Base != conf.Revision {
		return c.JSON(http.StatusConflict, changeAnswer{Revision: conf.Revision, Error: "base is not the current revision"})
	}
	ch := config.Change{
		Revision: in.Base + 1,
		WriteID:  uuid.NewString(),
		Author:   in.Author,
		Reason:   in.Reason,
		At:       time.Now().UTC(),
		Puts:     in.Puts,
		Deletes:  in.Deletes,
	}
	next, err := conf.WithChange(ch)
	if err != nil {
		return c.JSON(http.StatusConflict, changeAnswer{Revision: conf.Revision, Error: err.Error()})
	}
	if faults := next.Faults(); len(faults) > 0 {
		return c.JSON(http.StatusUnprocessableEntity, changeAnswer{Revision: conf.Revision, Error: "configuration has faults", Faults: faults})
	}
	if err := a.commit.Commit(ctx, ch); err != nil {
		return c.JSON(commitStatus(err), changeAnswer{Revision: conf.Revision, Error: err.Error()})
	}
	a.log.Info("change accepted", "revision", ch.Revision, "author", ch.Author, "reason", ch.Reason)
	return c.JSON(http.StatusOK, changeAnswer{Revision: ch.Revision})
}

func commitStatus(err error) int {
	if errors.Is(err, spread.ErrConflict) {
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

type statusAnswer struct {
	Host     string        `json:"host"`
	Revision uint64        `json:"revision"`
	Hosts    []member.Host `json:"hosts"`
}

func (a *Admin) status(c echo.Context) error {
	return c.JSON(http.StatusOK, statusAnswer{
		Host:     a.members.Self().Name,
		Revision: a.view.Config().Revision,
		Hosts:    a.members.Live(),
	})
}
