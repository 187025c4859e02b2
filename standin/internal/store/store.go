// Package store serves the platform stand-in over HTTP.
package store

import (
	"context"
	"io"
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

// maxObject bounds objects, in bytes.
const maxObject = 64 << 20

// Server is the platform. Faults are set over HTTP.
type Server struct {
	store *mem.Store

	mu    sync.Mutex
	saved *mem.Store
}

// New returns an empty platform.
func New() *Server { return &Server{store: mem.New()} }

// Handler returns the platform's HTTP handler.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.GET("/table/row", s.get)
	e.GET("/table/rows", s.list)
	e.POST("/table/txn", s.commit)
	e.GET("/object/:key", s.load)
	e.PUT("/object/:key", s.put)
	e.POST("/standin/fault", s.fault)
	e.POST("/standin/save", s.save)
	e.POST("/standin/restore", s.restore)
	e.GET("/standin/counts", s.counts)
	return e
}

type rowsAnswer struct {
	Rows []plat.Row `json:"rows"`
}

type commitAnswer struct {
	Version int64 `json:"version"`
}

// answer writes out, or the status of the store's failure. A lost answer
// cuts the connection.
func answer(c echo.Context, out any, err error) error {
	switch {
	case err == nil && out == nil:
		return c.NoContent(http.StatusNoContent)
	case err == nil:
		return c.JSON(http.StatusOK, out)
	case errors.Is(err, plat.ErrMissing):
		return echo.ErrNotFound
	case errors.Is(err, plat.ErrConflict):
		return echo.NewHTTPError(http.StatusConflict, err.Error())
	case errors.Is(err, plat.ErrUnknown):
		panic(http.ErrAbortHandler)
	}
	return echo.ErrServiceUnavailable
}

func (s *Server) get(c echo.Context) error {
	row, err := s.store.Get(c.Request().Context(), c.QueryParam("key"))
	return answer(c, row, err)
}

func (s *Server) list(c echo.Context) error {
	limit, err := strconv.Atoi(c.QueryParam("limit"))
	if err != nil || limit <= 0 {
		return echo.ErrBadRequest
	}
	rows, err := s.store.List(c.Request().Context(), c.QueryParam("prefix"), c.QueryParam("after"), limit)
	return answer(c, rowsAnswer{rows}, err)
}

// commit runs to its end also when the client gives up, as a real store does.
func (s *Server) commit(c echo.Context) error {
	var t plat.Txn
	if err := c.Bind(&t); err != nil {
		return err
	}
	version, err := s.store.Commit(context.WithoutCancel(c.Request().Context()), t)
	return answer(c, commitAnswer{version}, err)
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
}

func (s *Server) fault(c echo.Context) error {
	var in faultRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	s.store.SetFault(mem.Fault{
		Down:        in.Down,
		LoseCommits: in.LoseCommits,
		Delay:       time.Duration(in.DelayMs) * time.Millisecond,
	})
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
