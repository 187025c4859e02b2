// Package front implements the caller port of a host: the HTTP server that
// callers send their requests to.
//
// A lookup returns the hosts that a caller should use for a service. A request
// names its service in the path, or is matched by host name and path to a route
// of the configuration. The port checks the request and its limits, forwards it
// to the next stage and streams the response back. A refusal or failure is
// returned as a problem that carries a reason and the outcome, which is whether
// the request ran.
package front

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/hitchd/internal/pipe"
	"magnoliahitch/hitchd/internal/setup"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// ConfigSource provides the configuration in force.
type ConfigSource interface {
	Config() *config.Config
}

// Hosts provides the hosts that may receive requests, and the keeper of a
// cell, which is the host that holds its lease.
type Hosts interface {
	Live() []member.Host
	Self() member.Host
	Keeper(now time.Time, k place.Key) (member.Host, bool)
}

// Front serves the caller port.
type Front struct {
	view    ConfigSource
	members Hosts
	next    call.Doer
	log     hclog.Logger
	limits  setup.Caller
	blocks  Blocks
	tables  tableCache
	routing routing
	meters  meters
	// servable reports whether lookups may list this host.
	servable func(now time.Time) bool
}

// Option configures a caller port.
type Option func(*Front)

// WithLimits sets the limits of the port. Without it the defaults of the
// settings apply.
func WithLimits(l setup.Caller) Option { return func(f *Front) { f.limits = l } }

// WithBlocks sets the tables that map caller addresses to home regions. Without
// it the home region of every caller is that of this host.
func WithBlocks(b Blocks) Option { return func(f *Front) { f.blocks = b } }

// WithServable sets the function that reports whether lookups may list this
// host. Without it they always may.
func WithServable(f func(now time.Time) bool) Option { return func(o *Front) { o.servable = f } }

// New returns a caller port that forwards requests to next.
func New(v ConfigSource, m Hosts, next call.Doer, log hclog.Logger, options ...Option) *Front {
	f := &Front{view: v, members: m, next: next, log: log, limits: setup.Default().Caller, blocks: noBlocks{}}
	f.servable = func(time.Time) bool { return true }
	for _, o := range options {
		o(f)
	}
	return f
}

// methods lists the HTTP methods that requests for services may use.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions,
	http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// headerReadFactor is the multiple of the header limit up to which a header is
// still read, so that it is refused with a problem body. Beyond that net/http
// closes the connection with a plain 431 response.
const headerReadFactor = 4

// Server returns the HTTP server of the caller port.
func (f *Front) Server() *http.Server {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = f.handleError
	e.GET("/lookup/:service", f.lookup)
	e.Match(methods, "/service/:service", f.serve)
	e.Match(methods, "/service/:service/*", f.serve)
	e.Match(methods, "/*", f.serve)
	return &http.Server{
		Handler:           f.guard(e),
		ReadHeaderTimeout: f.limits.HeaderTimeout,
		IdleTimeout:       f.limits.IdleTimeout,
		MaxHeaderBytes:    headerReadFactor * int(f.limits.MaxHeader),
		ErrorLog:          f.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// Listen returns the listener through which the server accepts the connections of
// raw, and attaches the server to it.
func (f *Front) Listen(raw net.Listener, s *http.Server) *pipe.Listener {
	l := pipe.New(raw, pipe.WithConcurrent(isConcurrent), pipe.WithStall(f.limits.StallTimeout))
	l.Attach(s)
	return l
}

// isConcurrent reports whether a request may run beside others of its connection.
func isConcurrent(method, _, _ string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// serve forwards a request to the next stage and writes the response of the
// upstream.
func (f *Front) serve(c echo.Context) error {
	x := exchangeOf(c.Request())
	r, err := f.readRequest(c, x)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), r.Deadline.Sub(clock.Now()))
	defer cancel()
	x.forwarded = true
	a, err := f.next.Do(ctx, r)
	if err != nil {
		return x.withBodyReason(err)
	}
	defer a.Body.Close()
	x.outcome = result.Done
	f.writeResponse(c.Response(), x, a)
	return nil
}
