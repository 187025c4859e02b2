// Package admin implements the operator port of a host, an HTTP server.
// Operators read and change the configuration, read the status of the
// deployment, and request explanations of routing decisions. The port also
// serves the health check and the metrics.
//
// Calls below /v1 require the operators' bearer token. Errors are returned as
// problems as in RFC 9457.
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

// Limits of the operator port.
const (
	// maxBody is the largest request body, in bytes.
	maxBody = 16 << 20
	// headerTimeout is the maximum time to read the header of a request.
	headerTimeout = 5 * time.Second
	// readTimeout is the maximum time to read a complete request.
	readTimeout = 30 * time.Second
)

// ConfigLog accepts changes of the configuration and reports how current this
// host is.
type ConfigLog interface {
	Commit(ctx context.Context, ch config.Change) (config.Entry, error)
	Pull(ctx context.Context) error
	Accepted(writeID string) (config.Change, bool)
	History(ctx context.Context, limit int) []config.Change
	Revisions(ctx context.Context) map[string]uint64
	State(now time.Time) spread.State
	Override(ctx context.Context, author, reason string) (config.Entry, error)
}

// ConfigSource provides the configuration in force.
type ConfigSource interface {
	Config() *config.Config
}

// Hosts provides the live hosts, this host, and the keeper of a cell, which
// is the host that holds its lease.
type Hosts interface {
	Live() []member.Host
	Self() member.Host
	Keeper(now time.Time, k place.Key) (member.Host, bool)
}

// Explainer explains how a request would be routed.
type Explainer interface {
	// Explain returns one line for each cell that was considered, in order.
	Explain(now time.Time, cell place.Cell, block string) []string
}

// Shift is the use of a shift's cap, and the progress of the shift. LentRate
// and LentMbps are the parts of the cap that are leased to hosts, in requests/s
// and Mbit/s.
type Shift struct {
	Name     string  `json:"name"`
	LentRate float64 `json:"lentRate"`
	CapRate  float64 `json:"capRate"`
	LentMbps float64 `json:"lentMbps"`
	CapMbps  float64 `json:"capMbps"`
	// Share is the part of the traffic that has moved so far, Goal the part
	// that is to move.
	Share float64 `json:"share"`
	Goal  float64 `json:"goal"`
}

// Reporter collects the counts that each live host keeps for itself.
type Reporter interface {
	Report(ctx context.Context) Report
}

// Report holds the counts of the live hosts.
type Report struct {
	// Unreachable names the hosts that did not respond.
	Unreachable []string
	// InFlight counts the requests in flight on each server, by the name of the
	// server. Servers whose keeper did not respond are missing.
	InFlight map[string]int
	// Shifts are those whose keeper responded.
	Shifts []Shift
}

// Admin serves the operator port.
type Admin struct {
	token   func() string
	view    ConfigSource
	members Hosts
	commit  ConfigLog
	log     hclog.Logger

	checks  []func(*config.Config) []config.Fault
	explain Explainer
	report  Reporter
}

// Option configures an operator port.
type Option func(*Admin)

// WithChecks adds checks that a configuration must pass before it is accepted.
func WithChecks(checks ...func(*config.Config) []config.Fault) Option {
	return func(a *Admin) { a.checks = append(a.checks, checks...) }
}

// WithExplainer adds routing decisions to explanations. Without it they are
// unknown.
func WithExplainer(e Explainer) Option {
	return func(a *Admin) { a.explain = e }
}

// WithReporter sets the source of the counts of the live hosts. Without it the
// state of drains and the use of caps are unknown.
func WithReporter(r Reporter) Option {
	return func(a *Admin) { a.report = r }
}

// New returns an operator port that requires the bearer token which the
// function token returns. While that is empty, every call that needs a token is
// refused.
func New(token func() string, v ConfigSource, m Hosts, c ConfigLog, log hclog.Logger, options ...Option) *Admin {
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
	g := e.Group("/v1", a.countCalls, a.authenticate, limitBody)
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

// authenticate refuses calls without the token. It compares digests in constant
// time, so that the response time reveals neither the text nor the length of
// the token.
func (a *Admin) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		text, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		token := a.token()
		got, want := sha256.Sum256([]byte(text)), sha256.Sum256([]byte(token))
		equal := subtle.ConstantTimeCompare(got[:], want[:]) == 1
		if !ok || token == "" || text == "" || !equal {
			a.log.Warn("operator call refused", "from", c.RealIP(), "path", c.Path())
			return &problem{Status: http.StatusUnauthorized, Reason: reasonToken, Detail: "operator token missing or wrong"}
		}
		return next(c)
	}
}

// limitBody limits request bodies to maxBody.
func limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		r.Body = http.MaxBytesReader(c.Response(), r.Body, maxBody)
		return next(c)
	}
}

// countCalls counts calls by method, path and status.
func (a *Admin) countCalls(next echo.HandlerFunc) echo.HandlerFunc {
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

// setLevel changes the log level of all loggers of the host.
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
