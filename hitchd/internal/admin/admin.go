// Package admin is the operator port: configuration, status and metrics.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"magnoliahitch/hitchd/internal/spread"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

// Bounds of the operator port.
const (
	// maxBody is the largest request body, in bytes.
	maxBody = 16 << 20
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 5 * time.Second
	// readTimeout bounds the time to read a request.
	readTimeout = 30 * time.Second
)

// Committer accepts changes and knows how far the host is current.
type Committer interface {
	Commit(ctx context.Context, ch config.Change) (config.Entry, error)
	Pull(ctx context.Context) error
	Accepted(writeID string) (config.Change, bool)
	History(ctx context.Context, limit int) []config.Change
	Revisions(ctx context.Context) map[string]uint64
	State(now time.Time) spread.State
	Override(ctx context.Context, author, reason string) (config.Entry, error)
}

// Viewer gives the configuration in force.
type Viewer interface {
	Config() *config.Config
}

// Members gives the hosts that may be given work.
type Members interface {
	Live() []member.Host
	Self() member.Host
	Keeper(now time.Time, k place.Key) (member.Host, bool)
}

// Explainer tells why a request would go where it goes.
type Explainer interface {
	// Explain returns one line for each decision on the way, in order.
	Explain(now time.Time, cell place.Cell, block string) []string
}

// Shift is what is lent of a shift's cap, and how far the shift has gone.
type Shift struct {
	Name     string  `json:"name"`
	LentRate float64 `json:"lentRate"`
	CapRate  float64 `json:"capRate"`
	LentMbps float64 `json:"lentMbps"`
	CapMbps  float64 `json:"capMbps"`
	// Share is the part that has moved, Goal the part that shall move.
	Share float64 `json:"share"`
	Goal  float64 `json:"goal"`
}

// Reporter collects what the live hosts count themselves.
type Reporter interface {
	Report(ctx context.Context) Report
}

// Report is what the live hosts count themselves.
type Report struct {
	// Missing names the hosts that didn't answer.
	Missing []string
	// Busy counts the requests on a server, by its name. Servers whose keeper
	// didn't answer are missing.
	Busy map[string]int
	// Shifts are those whose keepers answered.
	Shifts []Shift
}

// Admin is the operator port.
type Admin struct {
	token   func() string
	view    Viewer
	members Members
	commit  Committer
	log     hclog.Logger

	checks  []func(*config.Config) []config.Fault
	explain Explainer
	report  Reporter
}

// Option changes an operator port.
type Option func(*Admin)

// WithChecks adds checks of a configuration before it is accepted.
func WithChecks(checks ...func(*config.Config) []config.Fault) Option {
	return func(a *Admin) { a.checks = append(a.checks, checks...) }
}

// WithExplainer adds the decisions on a request's way to explanations.
func WithExplainer(e Explainer) Option {
	return func(a *Admin) { a.explain = e }
}

// WithReporter sets the source of what hosts count themselves. Without it the
// state of drains and the use of caps are unknown.
func WithReporter(r Reporter) Option {
	return func(a *Admin) { a.report = r }
}

// New returns an operator port that demands the bearer token in force. With an
// empty token every call is refused.
func New(token func() string, v Viewer, m Members, c Committer, log hclog.Logger, options ...Option) *Admin {
	a := &Admin{token: token, view: v, members: m, commit: c, log: log}
	for _, o := range options {
		o(a)
	}
	return a
}

// Server returns the HTTP server of the operator port.
func (a *Admin) Server() *http.Server {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = writeError
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/metrics", func(c echo.Context) error {
		metrics.WritePrometheus(c.Response(), true)
		return nil
	})
	g := e.Group("/v1", a.count, a.authenticate, limitBody)
	g.GET("/config", a.config)
	g.POST("/changes", a.change)
	g.POST("/override", a.override)
	g.GET("/history", a.history)
	g.GET("/status", a.status)
	g.GET("/revisions", a.revisions)
	g.GET("/explain", a.explainRequest)
	g.PUT("/log", a.setLevel)
	return &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout}
}

// authenticate compares digests, so that neither the token's text nor its
// length can be learned from the time that a refusal takes.
func (a *Admin) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		text, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		token := a.token()
		got, want := sha256.Sum256([]byte(text)), sha256.Sum256([]byte(token))
		same := subtle.ConstantTimeCompare(got[:], want[:]) == 1
		if !ok || token == "" || text == "" || !same {
			a.log.Warn("operator call refused", "from", c.RealIP(), "path", c.Path())
			return &problem{Status: http.StatusUnauthorized, Reason: reasonToken, Detail: "operator token missing or wrong"}
		}
		return next(c)
	}
}

// limitBody cuts request bodies at the bound.
func limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		r.Body = http.MaxBytesReader(c.Response(), r.Body, maxBody)
		return next(c)
	}
}

// count counts calls by their status.
func (a *Admin) count(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		err := next(c)
		code := c.Response().Status
		if err != nil {
			code = problemOf(err).Status
		}
		metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_operator_calls_total{call=%q,status="%d"}`, c.Request().Method+" "+c.Path(), code)).Inc()
		return err
	}
}

type levelRequest struct {
	Level string `json:"level"`
}

// setLevel changes the log level of the whole host.
func (a *Admin) setLevel(c echo.Context) error {
	var in levelRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	level := hclog.LevelFromString(in.Level)
	if level == hclog.NoLevel {
		return &problem{Status: http.StatusUnprocessableEntity, Reason: reasonFaults, Detail: "level = " + in.Level + ": want trace, debug, info, warn, error or off"}
	}
	a.log.SetLevel(level)
	a.log.Warn("log level changed", "level", level)
	return c.JSON(http.StatusOK, levelRequest{level.String()})
}
