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

// Reasons of refused operator calls.
const (
	reasonToken    = "token"
	reasonRequest  = "badRequest"
	reasonConflict = "conflict"
	reasonFaults   = "faults"
	reasonFork     = "fork"
	reasonUnknown  = "outcomeUnknown"
	reasonPlatform = "platformDown"
)

// problem is an error body after RFC 9457.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Reason string `json:"reason"`
	// Current is the greatest accepted revision after a conflict, and Winner
	// the change that made it.
	Current uint64         `json:"current,omitempty"`
	Winner  *winner        `json:"winner,omitempty"`
	Faults  []config.Fault `json:"faults,omitempty"`
}

// winner tells who made the change that was accepted instead.
type winner struct {
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	At       time.Time `json:"at"`
}

// Error returns the detail.
func (p *problem) Error() string { return p.Detail }

func conflictOf(current uint64, w config.Change) *problem {
	p := &problem{Status: http.StatusConflict, Reason: reasonConflict, Current: current}
	p.Detail = "another change was accepted first; look at the current configuration, then repeat the command"
	if w.Revision > 0 {
		p.Winner = &winner{w.Revision, w.Author, w.Reason, w.At}
	}
	return p
}

// problemOf returns the problem that describes an error.
func problemOf(err error) *problem {
	var p *problem
	var lost *spread.Conflict
	var large *http.MaxBytesError
	var he *echo.HTTPError
	switch {
	case errors.As(err, &p):
		return p
	case errors.As(err, &lost):
		return conflictOf(lost.Current, lost.Winner)
	case errors.As(err, &large):
		return &problem{Status: http.StatusRequestEntityTooLarge, Reason: reasonRequest, Detail: fmt.Sprintf("body: want at most %d bytes", large.Limit)}
	case errors.As(err, &he):
		return &problem{Status: he.Code, Reason: reasonRequest, Detail: err.Error()}
	case errors.Is(err, config.ErrFork), errors.Is(err, spread.ErrLost):
		return &problem{Status: http.StatusServiceUnavailable, Reason: reasonFork, Detail: err.Error()}
	case errors.Is(err, spread.ErrUnknown):
		return &problem{Status: http.StatusGatewayTimeout, Reason: reasonUnknown, Detail: err.Error() + "; repeat the command with the same write id"}
	}
	return &problem{Status: http.StatusServiceUnavailable, Reason: reasonPlatform, Detail: err.Error() + "; nothing was changed"}
}

// writeError answers with the problem that describes the error.
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
