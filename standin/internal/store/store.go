// Package store is the stand-in for the platform: a transactional table and
// an object store in memory.
package store

import (
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/labstack/echo/v4"

	"magnoliahitch/links/plat"
)

// maxObject bounds objects, in bytes.
const maxObject = 64 << 20

// Store is the platform.
type Store struct {
	mu      sync.Mutex
	version int64
	rows    map[string]plat.Row
	objects map[string][]byte
}

// New returns an empty platform.
func New() *Store {
	return &Store{rows: make(map[string]plat.Row), objects: make(map[string][]byte)}
}

// Handler returns the platform's HTTP handler.
func (s *Store) Handler() http.Handler {
	e := echo.New()
	e.GET("/table/row", s.get)
	e.GET("/table/rows", s.list)
	e.POST("/table/txn", s.commit)
	e.GET("/object/:key", s.load)
	e.PUT("/object/:key", s.store)
	return e
}

type rowsAnswer struct {
	Rows []plat.Row `json:"rows"`
}

type commitAnswer struct {
	Version int64 `json:"version"`
}

func (s *Store) get(c echo.Context) error {
	s.mu.Lock()
	row, ok := s.rows[c.QueryParam("key")]
	s.mu.Unlock()
	if !ok {
		return echo.ErrNotFound
	}
	return c.JSON(http.StatusOK, row)
}

func (s *Store) list(c echo.Context) error {
	limit, err := strconv.Atoi(c.QueryParam("limit"))
	if err != nil || limit <= 0 {
		return echo.ErrBadRequest
	}
	return c.JSON(http.StatusOK, rowsAnswer{s.List(c.QueryParam("prefix"), c.QueryParam("after"), limit)})
}

// List returns at most limit rows under the prefix that follow the key after.
func (s *Store) List(prefix, after string, limit int) []plat.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	rows := make([]plat.Row, 0, min(limit, len(keys)))
	for _, k := range keys[:min(limit, len(keys))] {
		rows = append(rows, s.rows[k])
	}
	return rows
}

func (s *Store) commit(c echo.Context) error {
	var t plat.Txn
	if err := c.Bind(&t); err != nil {
		return err
	}
	version, err := s.Commit(t)
	if err != nil {
		return echo.NewHTTPError(http.StatusConflict, err.Error())
	}
	return c.JSON(http.StatusOK, commitAnswer{version})
}

// Commit runs the transaction, or returns [plat.ErrConflict].
func (s *Store) Commit(t plat.Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range t.Checks {
		if s.rows[k.Key].Version != k.Version {
			return 0, plat.ErrConflict
		}
	}
	s.version++
	for _, p := range t.Puts {
		s.rows[p.Key] = plat.Row{Key: p.Key, Version: s.version, Value: p.Value}
	}
	for _, k := range t.Deletes {
		delete(s.rows, k)
	}
	return s.version, nil
}

func (s *Store) load(c echo.Context) error {
	key, err := url.PathUnescape(c.Param("key"))
	if err != nil {
		return echo.ErrBadRequest
	}
	s.mu.Lock()
	data, ok := s.objects[key]
	s.mu.Unlock()
	if !ok {
		return echo.ErrNotFound
	}
	return c.Blob(http.StatusOK, "application/octet-stream", data)
}

func (s *Store) store(c echo.Context) error {
	key, err := url.PathUnescape(c.Param("key"))
	if err != nil {
		return echo.ErrBadRequest
	}
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, maxObject))
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.objects[key] = data
	s.mu.Unlock()
	return c.NoContent(http.StatusNoContent)
}
