package store

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"magnoliahitch/links/plat"
)

const (
	// pageRows is the largest number of rows in one answer.
	pageRows = 500
	// maxEntries is the largest number of entries in a transaction.
	maxEntries = 100
	// longestWait bounds how long a read waits for changes, and waitStep is the
	// time between two looks for them.
	longestWait = 30 * time.Second
	waitStep    = 10 * time.Millisecond
	// separator stands between the table, the part and the key of a row in the
	// keys of the store in memory.
	separator = "\x00"
)

// row is a row on the wire.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r row) id() string { return r.Table + separator + r.Part + separator + r.Key }

// wire returns the row of the store in memory.
func wire(r plat.Row) row {
	f := strings.SplitN(r.Key, separator, 3)
	return row{Table: f[0], Part: f[1], Key: f[2], Value: r.Value, Ver: r.Version}
}

// rowsAnswer answers reads and transactions.
type rowsAnswer struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"has_more"`
	Ver     int64 `json:"ver"`
}

func (s *Server) rows(c echo.Context) error {
	prefix := c.QueryParam("table") + separator + c.QueryParam("part") + separator
	limit := pageRows
	if n, err := strconv.Atoi(c.QueryParam("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	// The store lists what follows a key, the range includes its first one.
	after := ""
	if from := c.QueryParam("from"); from != "" {
		after = justBefore(prefix + from)
	}
	version := s.store.Version()
	list, err := s.store.List(c.Request().Context(), prefix, after, limit+1)
	if err != nil {
		return answer(c, nil, err)
	}
	out := rowsAnswer{Rows: []row{}, Ver: version}
	for _, r := range list {
		w := wire(r)
		if to := c.QueryParam("to"); to != "" && w.Key >= to {
			break
		}
		if len(out.Rows) == limit {
			out.HasMore = true
			break
		}
		out.Rows = append(out.Rows, w)
	}
	return answer(c, out, nil)
}

// justBefore returns a key that all keys from the given one on follow.
func justBefore(key string) string {
	last := key[len(key)-1]
	if last == 0 {
		return key[:len(key)-1]
	}
	return key[:len(key)-1] + string([]byte{last - 1}) + strings.Repeat("\xff", 8)
}

// feed answers as soon as something changed, or when the wait is over.
func (s *Server) feed(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil {
		return echo.ErrBadRequest
	}
	wait, err := strconv.Atoi(c.QueryParam("wait_ms"))
	if err != nil {
		return echo.ErrBadRequest
	}
	end := time.Now().Add(min(longestWait, time.Duration(wait)*time.Millisecond))
	for {
		changes, version, err := s.store.Since(c.Request().Context(), c.QueryParam("table")+separator, after)
		if err != nil {
			return answer(c, nil, err)
		}
		if len(changes) > 0 || !time.Now().Before(end) {
			return answer(c, rowsAnswer{Rows: wires(changes), Ver: version}, nil)
		}
		select {
		case <-c.Request().Context().Done():
			return c.Request().Context().Err()
		case <-time.After(waitStep):
		}
	}
}

func wires(changes []plat.Change) []row {
	out := make([]row, 0, len(changes))
	for _, x := range changes {
		w := wire(x.Row)
		w.Tombstone = x.Removed
		out = append(out, w)
	}
	return out
}

// txRequest is a transaction on the wire.
type txRequest struct {
	Expected []row `json:"expected"`
	Writes   []row `json:"writes"`
	Remove   []row `json:"remove"`
}

// transact runs to its end also when the client gives up, as a real store does.
func (s *Server) transact(c echo.Context) error {
	var in txRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	if len(in.Expected)+len(in.Writes)+len(in.Remove) > maxEntries {
		return echo.NewHTTPError(http.StatusBadRequest, "too many entries in a transaction")
	}
	var t plat.Txn
	for _, r := range in.Expected {
		t.Checks = append(t.Checks, plat.Check{Key: r.id(), Version: r.Ver})
	}
	for _, r := range in.Writes {
		t.Puts = append(t.Puts, plat.Put{Key: r.id(), Value: r.Value})
	}
	for _, r := range in.Remove {
		t.Deletes = append(t.Deletes, r.id())
	}
	version, err := s.store.Commit(context.WithoutCancel(c.Request().Context()), t)
	return answer(c, rowsAnswer{Rows: []row{}, Ver: version}, err)
}
