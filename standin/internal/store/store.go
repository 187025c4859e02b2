// Package store serves a stand-in for the platform over HTTP: a table and an object
// store in memory, with faults that can be injected.
package store

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"magnoliahitch/links/mem"
	"magnoliahitch/links/plat"
)

// maxObject is the largest size of an object, in bytes.
const maxObject = 64 << 20

// Server is the platform. Its faults are set over HTTP or by [Server.SetFault].
type Server struct {
	store *mem.Store

	mu       sync.Mutex
	snapshot *mem.Store
	faults   Fault
	// calls is the number of calls in the current second of Unix time.
	calls  int
	second int64
}

// Fault describes the faults of the platform. The zero value is a healthy platform.
type Fault struct {
	mem.Fault
	// CallsPerSecond is the number of calls that are served in a second; 0 is no
	// limit.
	CallsPerSecond int
	// RefusedClients holds the client IP addresses whose calls are refused, with the
	// status of the refusal; 0 closes the connection without a response.
	RefusedClients map[string]int
}

// SetFault replaces the faults of the platform.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.store.SetFault(f.Fault)
}

// Save takes a snapshot of the store, which [Server.Restore] brings back.
func (s *Server) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = s.store.Snapshot()
}

// Restore brings back the snapshot and begins a new era. It reports false without a
// snapshot.
func (s *Server) Restore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == nil {
		return false
	}
	s.store.Restore(s.snapshot)
	return true
}

// Compact discards the store's record of removed rows.
func (s *Server) Compact() { s.store.Compact() }

// Drop removes a row regardless of faults, as when the row expires.
func (s *Server) Drop(table, key string) { s.store.Drop(row{Table: table, Key: key}.storeKey()) }

// New returns an empty platform.
func New() *Server { return &Server{store: mem.New()} }

// Handler returns the platform's HTTP handler.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	api := e.Group("/api", s.tellEra, s.limitCalls)
	api.GET("/rows-get", s.rows)
	api.GET("/rows-feed", s.feed)
	api.POST("/rows-tx", s.transact)
	api.GET("/blob-get/:key", s.load)
	api.PUT("/blob-put/:key", s.put)
	e.POST("/standin/fault", s.fault)
	e.POST("/standin/compact", s.compact)
	e.POST("/standin/save", s.save)
	e.POST("/standin/restore", s.restore)
	e.GET("/standin/counts", s.counts)
	return e
}

// respond writes out as JSON, or the status for an error of the store. When the
// outcome of a commit is unknown it closes the connection without a response.
func respond(c echo.Context, out any, err error) error {
	switch {
	case err == nil && out == nil:
		return c.NoContent(http.StatusOK)
	case err == nil:
		return c.JSON(http.StatusOK, out)
	case errors.Is(err, plat.ErrMissing):
		return echo.ErrNotFound
	case errors.Is(err, plat.ErrConflict):
		return echo.NewHTTPError(http.StatusPreconditionFailed, err.Error())
	case errors.Is(err, plat.ErrCompacted):
		return echo.NewHTTPError(http.StatusGone, err.Error())
	case errors.Is(err, plat.ErrUnknown):
		panic(http.ErrAbortHandler)
	}
	return echo.ErrServiceUnavailable
}

// headerEra is the header of each response with the era of the store.
const headerEra = "Store-Era"

// tellEra sets the header with the era in which the store responds.
func (s *Server) tellEra(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			c.Response().Header().Set(headerEra, strconv.FormatInt(s.store.At().Era, 10))
		})
		return next(c)
	}
}

// limitCalls refuses the calls of clients in RefusedClients and those that exceed the rate.
func (s *Server) limitCalls(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		ip, _, err := net.SplitHostPort(c.Request().RemoteAddr)
		if err != nil {
			return errors.Wrap(err, "parse client address")
		}
		status, refused := s.refusalStatus(ip)
		switch {
		case refused && status == 0:
			panic(http.ErrAbortHandler)
		case refused:
			return c.NoContent(status)
		case !s.allow(time.Now()):
			return echo.ErrTooManyRequests
		}
		return next(c)
	}
}

// refusalStatus reports whether the calls of the client are refused, and with which
// status.
func (s *Server) refusalStatus(ip string) (status int, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, refused = s.faults.RefusedClients[ip]
	return status, refused
}

// allow counts a call in the current second and reports whether it is within the
// rate.
func (s *Server) allow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := now.Unix(); n != s.second {
		s.second, s.calls = n, 0
	}
	s.calls++
	return s.faults.CallsPerSecond == 0 || s.calls <= s.faults.CallsPerSecond
}

func (s *Server) load(c echo.Context) error {
	key, err := url.PathUnescape(c.Param("key"))
	if err != nil {
		return echo.ErrBadRequest
	}
	data, err := s.store.Load(c.Request().Context(), key)
	if err != nil {
		return respond(c, nil, err)
	}
	return c.Blob(http.StatusOK, "application/octet-stream", data)
}

func (s *Server) put(c echo.Context) error {
	key, err := url.PathUnescape(c.Param("key"))
	if err != nil {
		return echo.ErrBadRequest
	}
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, maxObject))
	if err != nil {
		return err
	}
	return respond(c, nil, s.store.Store(c.Request().Context(), key, data))
}

// faultRequest replaces the faults of the platform. Fields that are left out are
// reset.
type faultRequest struct {
	Down        bool `json:"down"`
	LoseCommits int  `json:"loseCommits"`
	// LateMs delays the effect of lost commits, in milliseconds.
	LateMs  int `json:"lateMs"`
	DelayMs int `json:"delayMs"`
	// CallsPerS is the number of calls that are served in a second; 0 is no limit.
	CallsPerS int `json:"callsPerS"`
	// RefusedClients holds the client IP addresses whose calls are refused, with the status
	// of the refusal; 0 closes their connections.
	RefusedClients map[string]int `json:"turnAway"`
}

func (s *Server) fault(c echo.Context) error {
	var in faultRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	s.SetFault(Fault{
		Fault: mem.Fault{
			Down: in.Down, LoseCommits: in.LoseCommits, LateBy: time.Duration(in.LateMs) * time.Millisecond,
			Delay: time.Duration(in.DelayMs) * time.Millisecond,
		},
		CallsPerSecond: in.CallsPerS, RefusedClients: in.RefusedClients,
	})
	return c.NoContent(http.StatusNoContent)
}

// compact discards the store's record of removed rows.
func (s *Server) compact(c echo.Context) error {
	s.store.Compact()
	return c.NoContent(http.StatusNoContent)
}

// save takes a snapshot of the store, which restore brings back.
func (s *Server) save(c echo.Context) error {
	s.Save()
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) restore(c echo.Context) error {
	if !s.Restore() {
		return echo.NewHTTPError(http.StatusConflict, "no snapshot to restore")
	}
	return c.NoContent(http.StatusNoContent)
}

type countsResponse struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

func (s *Server) counts(c echo.Context) error {
	reads, writes := s.store.Counts()
	return c.JSON(http.StatusOK, countsResponse{reads, writes})
}
