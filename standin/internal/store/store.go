// Package store serves the platform stand-in over HTTP.
package store

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"magnoliahitch/links/mem"
	"magnoliahitch/links/plat"
)

// maxObject bounds objects, in bytes.
const maxObject = 64 << 20

// Server is the platform. Faults are set over HTTP.
type Server struct {
	store *mem.Store

	mu     sync.Mutex
	saved  *mem.Store
	faults Fault
	// calls counts those of the present second.
	calls  int
	second int64
}

// Fault is what is wrong with the platform. The zero value is a healthy one.
type Fault struct {
	mem.Fault
	// CallsPerSecond is the number of calls that are served in a second, 0 for all.
	CallsPerSecond int
	// TurnAway holds the status that each client of an IP address gets instead
	// of an answer, 0 for a cut connection.
	TurnAway map[string]int
}

// Set changes what is wrong with the platform.
func (s *Server) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.store.SetFault(f.Fault)
}

// Compact makes the store forget its history.
func (s *Server) Compact() { s.store.Compact() }

// Drop removes a row whatever is wrong with the store, as one that lapses.
func (s *Server) Drop(table, key string) { s.store.Drop(row{Table: table, Key: key}.id()) }

// New returns an empty platform.
func New() *Server { return &Server{store: mem.New()} }

// Handler returns the platform's HTTP handler.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	api := e.Group("/api", s.limit)
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

// answer writes out, or the status of the store's failure. A lost answer
// cuts the connection.
func answer(c echo.Context, out any, err error) error {
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

// limit refuses the calls over the rate.
func (s *Server) limit(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		ip, _, err := net.SplitHostPort(c.Request().RemoteAddr)
		if err != nil {
			return errors.Wrap(err, "address of the client")
		}
		status, turned := s.turnedAway(ip)
		switch {
		case turned && status == 0:
			panic(http.ErrAbortHandler)
		case turned:
			return c.NoContent(status)
		case !s.allow(time.Now()):
			return echo.ErrTooManyRequests
		}
		return next(c)
	}
}

func (s *Server) turnedAway(ip string) (status int, turned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, turned = s.faults.TurnAway[ip]
	return status, turned
}

// allow counts a call in the present second.
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
		return answer(c, nil, err)
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
	return answer(c, nil, s.store.Store(c.Request().Context(), key, data))
}

// faultRequest says what is wrong with the platform from now on.
type faultRequest struct {
	Down        bool `json:"down"`
	LoseCommits int  `json:"loseCommits"`
	// LateMs makes lost commits take effect so much later.
	LateMs  int `json:"lateMs"`
	DelayMs int `json:"delayMs"`
	// CallsPerS is the number of calls that are served in a second, 0 for all.
	CallsPerS int `json:"callsPerS"`
	// TurnAway holds a status for each client's IP address that isn't served,
	// 0 to cut its connections.
	TurnAway map[string]int `json:"turnAway"`
}

func (s *Server) fault(c echo.Context) error {
	var in faultRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	s.Set(Fault{
		Fault: mem.Fault{
			Down: in.Down, LoseCommits: in.LoseCommits, LateBy: time.Duration(in.LateMs) * time.Millisecond,
			Delay: time.Duration(in.DelayMs) * time.Millisecond,
		},
		CallsPerSecond: in.CallsPerS, TurnAway: in.TurnAway,
	})
	return c.NoContent(http.StatusNoContent)
}

// compact makes the store forget its history.
func (s *Server) compact(c echo.Context) error {
	s.store.Compact()
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) save(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = s.store.Copy()
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) restore(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.saved == nil {
		return echo.NewHTTPError(http.StatusConflict, "nothing was saved")
	}
	s.store.Restore(s.saved)
	return c.NoContent(http.StatusNoContent)
}

type countsAnswer struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

func (s *Server) counts(c echo.Context) error {
	reads, writes := s.store.Counts()
	return c.JSON(http.StatusOK, countsAnswer{reads, writes})
}
