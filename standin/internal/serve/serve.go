// Package serve is the stand-in for an upstream server. It counts runs by
// operation id, and so judges whether work ran more than once.
package serve

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
)

// maxBody bounds request bodies, in bytes.
const maxBody = 64 << 20

// Upstream is one upstream server.
type Upstream struct {
	name  string
	slots int
	work  time.Duration

	busy atomic.Int64
	peak atomic.Int64
	mu   sync.Mutex
	runs map[string]int
}

// New returns an upstream server that runs the number of slots at once and
// takes the work time for each request.
func New(name string, slots int, work time.Duration) *Upstream {
	return &Upstream{name: name, slots: slots, work: work, runs: make(map[string]int)}
}

// report is what the server tells of itself.
type report struct {
	Server string `json:"server"`
	Busy   int64  `json:"busy"`
	Peak   int64  `json:"peak"`
	// Runs counts runs by operation id.
	Runs map[string]int `json:"runs"`
}

// Handler returns the server's HTTP handler.
func (u *Upstream) Handler() http.Handler {
	e := echo.New()
	e.GET("/standin/report", u.report)
	e.Any("/*", u.run)
	return e
}

func (u *Upstream) report(c echo.Context) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return c.JSON(http.StatusOK, report{Server: u.name, Busy: u.busy.Load(), Peak: u.peak.Load(), Runs: u.runs})
}

// run answers with the request's own identity, so that a caller can check
// that the answer is its own, and with as many bytes as the query asks for.
func (u *Upstream) run(c echo.Context) error {
	busy := u.busy.Add(1)
	defer u.busy.Add(-1)
	u.raisePeak(busy)
	req := c.Request()
	if _, err := io.Copy(io.Discard, io.LimitReader(req.Body, maxBody)); err != nil {
		return err
	}
	if op := req.Header.Get("Idempotency-Key"); op != "" {
		u.mu.Lock()
		u.runs[op]++
		u.mu.Unlock()
	}
	select {
	case <-time.After(u.work):
	case <-req.Context().Done():
		return req.Context().Err()
	}
	size, _ := strconv.Atoi(c.QueryParam("size"))
	c.Response().Header().Set("Standin-Request", req.Header.Get("X-Request-Id"))
	return c.Blob(http.StatusOK, "application/octet-stream", make([]byte, size))
}

func (u *Upstream) raisePeak(busy int64) {
	for {
		p := u.peak.Load()
		if busy <= p || u.peak.CompareAndSwap(p, busy) {
			return
		}
	}
}
