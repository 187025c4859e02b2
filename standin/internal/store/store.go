// Package store serves the platform stand-in over HTTP.
package store

import (
	"io"
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

	mu    sync.Mutex
	saved *mem.Store
	// rate is the number of calls that are served in a second, 0 for all.
	rate, calls int
	second      int64
}

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
		if !s.allow(time.Now()) {
			return echo.ErrTooManyRequests
		}
		return next(c)
	}
}

// allow counts a call in the present second.
func (s *Server) allow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := now.Unix(); n != s.second {
		s.second, s.calls = n, 0
	}
	s.calls++
	return s.rate == 0 || s.calls <= s.rate
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
	DelayMs     int  `json:"delayMs"`
	// CallsPerS is the number of calls that are served in a second, 0 for all.
	CallsPerS int `json:"callsPerS"`
}

func (s *Server) fault(c echo.Context) error {
	var in faultRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	s.mu.Lock()
	s.rate = in.CallsPerS
	s.mu.Unlock()
	s.store.SetFault(mem.Fault{
		Down:        in.Down,
		LoseCommits: in.LoseCommits,
		Delay:       time.Duration(in.DelayMs) * time.Millisecond,
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
