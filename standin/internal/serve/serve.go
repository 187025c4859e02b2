// Package serve implements a stand-in for an upstream server. It records the start
// and the end of each run, in the demo in a file that outlives the process. From
// the records package judge finds out whether an operation ran more than once.
package serve

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// maxBody is the number of bytes of a request body that are read.
const maxBody = 64 << 20

// HeaderOrigin is the header with the caller's home region. It is not part of the
// URL, so that the same request from two regions has the same fingerprint.
const HeaderOrigin = "Standin-Origin"

// HeaderObject is the header with the object of a request, the key for affinity.
const HeaderObject = "Standin-Object"

// crashCode is the exit code after a request that crashes the server.
const crashCode = 7

// Run is a record of the execution of a request. Each run has one record at its
// start, and one at its end unless the server crashed or was killed.
type Run struct {
	At        time.Time `json:"at"`
	Server    string    `json:"server"`
	Request   string    `json:"request"`
	Operation string    `json:"operation,omitempty"`
	// Origin is the caller's home region.
	Origin string `json:"origin,omitempty"`
	// Object is the object of the request, the key for affinity.
	Object string `json:"object,omitempty"`
	// Size is the length of the response body, in bytes.
	Size int `json:"size"`
	// End marks the record of a run's end.
	End bool `json:"end,omitempty"`
	// Crash marks a run that crashes the server.
	Crash bool `json:"crash,omitempty"`
}

// Upstream is one upstream server.
type Upstream struct {
	name string
	work time.Duration

	mu   sync.Mutex
	runs *json.Encoder
}

// New returns an upstream server that writes its records to runs. The service time
// of a request that states no cost is work.
func New(name string, work time.Duration, runs io.Writer) *Upstream {
	return &Upstream{name: name, work: work, runs: json.NewEncoder(runs)}
}

// Handler returns the server's HTTP handler.
func (u *Upstream) Handler() http.Handler {
	e := echo.New()
	e.Any("/*", u.run)
	return e
}

// record writes a record with the current time.
func (u *Upstream) record(r Run) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	r.At = time.Now()
	return u.runs.Encode(r)
}

// run executes a request: it waits for the service time and responds with a body
// that repeats the operation id or request id, so that the caller can check that the
// response is its own and complete. A path that begins with /crash exits the process.
func (u *Upstream) run(c echo.Context) error {
	req := c.Request()
	if _, err := io.Copy(io.Discard, io.LimitReader(req.Body, maxBody)); err != nil {
		return err
	}
	size, _ := strconv.Atoi(c.QueryParam("size"))
	r := Run{
		Server:    u.name,
		Request:   req.Header.Get("X-Request-Id"),
		Operation: req.Header.Get("Idempotency-Key"),
		Origin:    req.Header.Get(HeaderOrigin),
		Object:    req.Header.Get(HeaderObject),
		Size:      size,
		Crash:     strings.HasPrefix(req.URL.Path, "/crash"),
	}
	if err := u.record(r); err != nil {
		return err
	}
	if r.Crash {
		os.Exit(crashCode)
	}
	defer func() {
		r.End = true
		_ = u.record(r)
	}()
	select {
	case <-time.After(u.cost(c)):
	case <-req.Context().Done():
		return req.Context().Err()
	}
	return c.Blob(http.StatusOK, "application/octet-stream", Body(r.Operation, r.Request, size))
}

// cost returns the service time that the request states, or the default.
func (u *Upstream) cost(c echo.Context) time.Duration {
	ms, err := strconv.Atoi(c.QueryParam("costMs"))
	if err != nil {
		return u.work
	}
	return time.Duration(ms) * time.Millisecond
}

// Body returns the response body of an operation, or of a request if operation is
// empty. It has the given size in bytes.
func Body(operation, request string, size int) []byte {
	id := operation
	if id == "" {
		id = request
	}
	if id == "" {
		id = "-"
	}
	return bytes.Repeat([]byte(id+"\n"), size/(len(id)+1)+1)[:size]
}
