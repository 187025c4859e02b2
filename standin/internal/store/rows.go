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
	// pageRows is the largest number of rows in one response.
	pageRows = 500
	// maxEntries is the largest number of entries in a transaction.
	maxEntries = 100
	// maxFeedWait is the longest time that a read waits for changes, feedPollInterval
	// the time between two checks for them.
	maxFeedWait      = 30 * time.Second
	feedPollInterval = 10 * time.Millisecond
	// separator separates the table, the part and the key of a row in the keys of the
	// in-memory store.
	separator = "\x00"
)

// row is the wire format of a row.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r row) storeKey() string { return r.Table + separator + r.Part + separator + r.Key }

// wireRow converts a row of the in-memory store to its wire format.
func wireRow(r plat.Row) row {
	f := strings.SplitN(r.Key, separator, 3)
	return row{Table: f[0], Part: f[1], Key: f[2], Value: r.Value, Ver: r.At.Version}
}

// rowsResponse is the response to reads and transactions.
type rowsResponse struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"has_more"`
	Ver     int64 `json:"ver"`
	// NowS is the reading of the store's steady clock in seconds.
	NowS float64 `json:"now_s"`
}

// began is the zero of the store's clock.
var began = time.Now()

// reading returns the reading of the store's clock in seconds.
func reading() float64 { return time.Since(began).Seconds() }

// rows responds with a page of the rows of a part, from the key from up to, but not
// including, the key to.
func (s *Server) rows(c echo.Context) error {
	prefix := c.QueryParam("table") + separator + c.QueryParam("part") + separator
	limit := pageRows
	if n, err := strconv.Atoi(c.QueryParam("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	// The store lists the rows after a key, whereas the range includes its first key.
	after := ""
	if from := c.QueryParam("from"); from != "" {
		after = keyBefore(prefix + from)
	}
	now, at := reading(), s.store.At()
	list, err := s.store.List(c.Request().Context(), prefix, after, limit+1)
	if err != nil {
		return respond(c, nil, err)
	}
	out := rowsResponse{Rows: []row{}, Ver: at.Version, NowS: now}
	for _, r := range list {
		w := wireRow(r)
		if to := c.QueryParam("to"); to != "" && w.Key >= to {
			break
		}
		if len(out.Rows) == limit {
			out.HasMore = true
			break
		}
		out.Rows = append(out.Rows, w)
	}
	return respond(c, out, nil)
}

// keyBefore returns a key that sorts directly before the given one: no stored key lies
// between them, since keys are UTF-8, which has no byte 0xff.
func keyBefore(key string) string {
	last := key[len(key)-1]
	if last == 0 {
		return key[:len(key)-1]
	}
	return key[:len(key)-1] + string([]byte{last - 1}) + strings.Repeat("\xff", 8)
}

// feed responds as soon as rows of the table have changed after the given version,
// or without rows once the wait has passed.
func (s *Server) feed(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil {
		return echo.ErrBadRequest
	}
	wait, err := strconv.Atoi(c.QueryParam("wait_ms"))
	if err != nil {
		return echo.ErrBadRequest
	}
	era := s.store.At().Era
	end := time.Now().Add(min(maxFeedWait, time.Duration(wait)*time.Millisecond))
	for {
		now := reading()
		changes, at, err := s.store.Changes(c.Request().Context(), c.QueryParam("table")+separator, after)
		if err == nil && at.Era != era {
			// The store was restored during the wait.
			err = plat.ErrCompacted
		}
		if err != nil {
			return respond(c, nil, err)
		}
		if len(changes) > 0 || !time.Now().Before(end) {
			return respond(c, rowsResponse{Rows: wireChanges(changes), Ver: at.Version, NowS: now}, nil)
		}
		select {
		case <-c.Request().Context().Done():
			return c.Request().Context().Err()
		case <-time.After(feedPollInterval):
		}
	}
}

// wireChanges converts changes to their wire format. A removed row is a tombstone.
func wireChanges(changes []plat.Change) []row {
	out := make([]row, 0, len(changes))
	for _, x := range changes {
		w := wireRow(x.Row)
		w.Tombstone = x.Removed
		out = append(out, w)
	}
	return out
}

// txRequest is the wire format of a transaction. Versions and values must not be left out.
type txRequest struct {
	Expected []struct {
		row
		Ver *int64 `json:"ver"`
	} `json:"expected"`
	Writes []struct {
		row
		Value *[]byte `json:"value"`
	} `json:"writes"`
	Remove []row `json:"remove"`
}

// errIncomplete refuses a transaction with an incomplete entry.
var errIncomplete = echo.NewHTTPError(http.StatusBadRequest, "a table, key, version or value is missing")

// transact commits a transaction. It completes even if the client cancels the
// request, as in a real store.
func (s *Server) transact(c echo.Context) error {
	var in txRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	if len(in.Expected)+len(in.Writes)+len(in.Remove) > maxEntries {
		return echo.NewHTTPError(http.StatusBadRequest, "too many entries in a transaction")
	}
	var t plat.Txn
	era := s.store.At().Era
	for _, r := range in.Expected {
		if r.Ver == nil || r.Table == "" || r.Key == "" {
			return errIncomplete
		}
		check := plat.Check{Key: r.storeKey()}
		if *r.Ver != 0 {
			check.At = plat.Position{Era: era, Version: *r.Ver}
		}
		t.Checks = append(t.Checks, check)
	}
	for _, r := range in.Writes {
		if r.Value == nil || r.Table == "" || r.Key == "" {
			return errIncomplete
		}
		t.Puts = append(t.Puts, plat.Put{Key: r.storeKey(), Value: *r.Value})
	}
	for _, r := range in.Remove {
		t.Deletes = append(t.Deletes, r.storeKey())
	}
	at, err := s.store.Commit(context.WithoutCancel(c.Request().Context()), t)
	return respond(c, rowsResponse{Rows: []row{}, Ver: at.Version, NowS: reading()}, err)
}
