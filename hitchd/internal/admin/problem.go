package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"magnoliahitch/hitchd/internal/spread"
	"magnoliahitch/steer/config"
)

// Reasons of refused and failed operator calls.
const (
	reasonToken    = "token"
	reasonRequest  = "badRequest"
	reasonConflict = "conflict"
	reasonFaults   = "faults"
	reasonFork     = "fork"
	reasonUnknown  = "outcomeUnknown"
	reasonPlatform = "platformDown"
)

// problem is an error body as in RFC 9457.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Reason string `json:"reason"`
	// Current is the greatest accepted revision after a conflict, and Winner
	// the change that led to it.
	Current uint64         `json:"current,omitempty"`
	Winner  *winner        `json:"winner,omitempty"`
	Faults  []config.Fault `json:"faults,omitempty"`
}

// winner describes the change that was accepted instead of a conflicting one.
type winner struct {
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	At       time.Time `json:"at"`
}

// Error returns the detail.
func (p *problem) Error() string { return p.Detail }

// conflictProblem returns the problem of a change that conflicts with the
// accepted change w. Current is the greatest accepted revision; w may be the
// zero value when it is unknown.
func conflictProblem(current uint64, w config.Change) *problem {
	p := &problem{Status: http.StatusConflict, Reason: reasonConflict, Current: current}
	p.Detail = "another change was accepted first; look at the current configuration, then repeat the command"
	if w.Revision > 0 {
		p.Winner = &winner{w.Revision, w.Author, w.Reason, w.At}
	}
	return p
}

// problemOf returns the problem that describes the error. An error of no known
// kind is taken for a failure of the platform before anything was changed.
func problemOf(err error) *problem {
	var p *problem
	var conflict *spread.Conflict
	var tooLarge *http.MaxBytesError
	var httpError *echo.HTTPError
	switch {
	case errors.As(err, &p):
		return p
	case errors.As(err, &conflict):
		return conflictProblem(conflict.Current, conflict.Winner)
	case errors.As(err, &tooLarge):
		return &problem{Status: http.StatusRequestEntityTooLarge, Reason: reasonRequest, Detail: fmt.Sprintf("body: want at most %d bytes", tooLarge.Limit)}
	case errors.As(err, &httpError):
		return &problem{Status: httpError.Code, Reason: reasonRequest, Detail: err.Error()}
	case errors.Is(err, config.ErrFork), errors.Is(err, spread.ErrLost):
		return &problem{Status: http.StatusServiceUnavailable, Reason: reasonFork, Detail: err.Error()}
	case errors.Is(err, spread.ErrUnknown):
		return &problem{Status: http.StatusGatewayTimeout, Reason: reasonUnknown, Detail: err.Error() + "; repeat the command with the same write id"}
	}
	return &problem{Status: http.StatusServiceUnavailable, Reason: reasonPlatform, Detail: err.Error() + "; nothing was changed"}
}

// writeError responds with the problem that describes the error, unless the
// response has started.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	p := *problemOf(err)
	p.Type, p.Title = "urn:magnoliahitch:"+p.Reason, http.StatusText(p.Status)
	c.Response().Header().Set("Content-Type", "application/problem+json")
	c.Response().WriteHeader(p.Status)
	_ = json.NewEncoder(c.Response()).Encode(p)
}
