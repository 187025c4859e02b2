// Package front answers callers: the look-up of hosts for a service, and the
// services themselves.
package front

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// Bounds of the caller port.
const (
	// maxBody is the largest request body, in bytes.
	maxBody = 1 << 20
	// maxHeader is the largest request header, in bytes.
	maxHeader = 16 << 10
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds the time that a connection stands idle.
	idleTimeout = 2 * time.Minute
	// lookupHosts is the number of hosts in a look-up answer.
	lookupHosts = 3
	// defaultLookupTTL is the time to live of look-up answers.
	defaultLookupTTL = 5 * time.Second
)

// Viewer gives the configuration in force.
type Viewer interface {
	Config() *config.Config
}

// Members gives the hosts that may be given work.
type Members interface {
	Live() []member.Host
	Self() member.Host
}

// Front is the caller port.
type Front struct {
	view    Viewer
	members Members
	next    call.Doer
	log     hclog.Logger
}

// New returns a caller port that passes requests on to next.
func New(v Viewer, m Members, next call.Doer, log hclog.Logger) *Front {
	return &Front{view: v, members: m, next: next, log: log}
}

// Server returns the HTTP server of the caller port.
func (f *Front) Server() *http.Server {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = writeHTTPError
	e.GET("/lookup/:service", f.lookup)
	e.Any("/service/:service", f.serve)
	e.Any("/service/:service/*", f.serve)
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}

// lookupAnswer tells a caller which hosts to use, best first.
type lookupAnswer struct {
	Service string       `json:"service"`
	Hosts   []lookupHost `json:"hosts"`
	TTLMs   int64        `json:"ttlMs"`
}

type lookupHost struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

func (f *Front) lookup(c echo.Context) error {
	service := c.Param("service")
	conf := f.view.Config()
	s, ok := conf.Services[service]
	if !ok {
		return unknownService(conf, service, f.members.Self().Name)
	}
	cell := place.Cell{Region: f.members.Self().Region, Service: service}
	ranked := place.Rank(cell.String(), place.InRegion(f.members.Live(), cell.Region))
	a := lookupAnswer{Service: service, TTLMs: defaultLookupTTL.Milliseconds()}
	if ms := conf.Profiles[s.Profile].LookupTTLMs; ms > 0 {
		a.TTLMs = int64(ms)
	}
	for _, h := range ranked[:min(lookupHosts, len(ranked))] {
		a.Hosts = append(a.Hosts, lookupHost{Name: h.Name, Addr: h.CallerAddr})
	}
	return c.JSON(http.StatusOK, a)
}

func unknownService(c *config.Config, name, self string) error {
	if c.Revision == 0 {
		return result.Refuse(result.ReasonNoConfig, "find service "+name, self)
	}
	return result.Refuse(result.ReasonNoService, "find service "+name, self)
}

func (f *Front) serve(c echo.Context) error {
	r, err := f.request(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), r.Deadline.Sub(clock.Now()))
	defer cancel()
	c.Response().Header().Set(call.HeaderRequestID, r.ID)
	a, err := f.next.Do(ctx, r)
	if err != nil {
		f.log.Info("request failed", "request", r.ID, "error", err)
		return err
	}
	defer a.Body.Close()
	return writeAnswer(c.Response(), a)
}

func (f *Front) request(c echo.Context) (*call.Request, error) {
	req := c.Request()
	service := c.Param("service")
	conf := f.view.Config()
	s, ok := conf.Services[service]
	if !ok {
		return nil, unknownService(conf, service, f.members.Self().Name)
	}
	r := &call.Request{
		ID:        req.Header.Get(call.HeaderRequestID),
		Cell:      place.Cell{Region: f.members.Self().Region, Service: service},
		Method:    req.Method,
		Path:      "/" + strings.TrimPrefix(c.Param("*"), "/"),
		Query:     req.URL.RawQuery,
		Header:    call.EndToEnd(req.Header),
		Class:     s.Class,
		Block:     req.Header.Get(call.HeaderBlock),
		Operation: req.Header.Get(call.HeaderOperation),
	}
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	if req.ContentLength != 0 {
		r.Body = http.MaxBytesReader(c.Response(), req.Body, maxBody)
	}
	if !r.Idempotent() && r.Operation == "" {
		return nil, result.Refuse(result.ReasonNoOperation, "read request", f.members.Self().Name)
	}
	deadline, err := f.deadline(req, s)
	r.Deadline = deadline
	return r, err
}

func (f *Front) deadline(req *http.Request, s config.Service) (time.Time, error) {
	ms := s.DeadlineMs
	if v := req.Header.Get(call.HeaderDeadline); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n <= 0 {
			return time.Time{}, result.Refuse(result.ReasonBadRequest, "read "+call.HeaderDeadline, f.members.Self().Name)
		}
		ms = min(ms, n)
	}
	return clock.Now().Add(time.Duration(ms) * time.Millisecond), nil
}

func writeAnswer(w *echo.Response, a *call.Answer) error {
	for n, v := range a.Header {
		w.Header()[n] = v
	}
	w.Header().Set(call.HeaderOutcome, result.Done.String())
	w.Header().Set(call.HeaderServer, a.Server)
	w.WriteHeader(a.Status)
	if _, err := io.Copy(w, a.Body); err != nil {
		// Ends the connection, so that a cut answer can't pass as whole.
		panic(http.ErrAbortHandler)
	}
	return nil
}
