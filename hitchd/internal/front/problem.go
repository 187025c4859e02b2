package front

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/steer/result"
)

// problem is an error body after RFC 9457.
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// writeHTTPError answers with the error's outcome and reason.
func writeHTTPError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var he *echo.HTTPError
	if errors.As(err, &he) {
		e := result.Refuse(result.ReasonBadRequest, http.StatusText(he.Code), "caller port")
		writeProblem(c.Response(), he.Code, e)
		return
	}
	e := result.From(err)
	writeProblem(c.Response(), statusOf(e), e)
}

// statusOf returns the HTTP status of the error.
func statusOf(e *result.Error) int {
	switch e.Reason {
	case result.ReasonNoOperation, result.ReasonBadRequest:
		return http.StatusBadRequest
	case result.ReasonNoService:
		return http.StatusNotFound
	case result.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case result.ReasonMismatch:
		return http.StatusUnprocessableEntity
	case result.ReasonInProgress:
		return http.StatusConflict
	case result.ReasonGone:
		return http.StatusGone
	}
	if e.Outcome == result.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

func writeProblem(w http.ResponseWriter, code int, e *result.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(call.HeaderOutcome, e.Outcome.String())
	h.Set(call.HeaderReason, string(e.Reason))
	if code == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.Itoa(retrySeconds(e.RetryAfter)))
	}
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(problem{
		Type:    "urn:magnoliahitch:" + string(e.Reason),
		Title:   http.StatusText(code),
		Status:  code,
		Detail:  e.Error(),
		Outcome: e.Outcome.String(),
		Reason:  string(e.Reason),
	})
}

// retrySeconds rounds up to whole seconds, at least one.
func retrySeconds(d time.Duration) int {
	return max(1, int((d+time.Second-1)/time.Second))
}
