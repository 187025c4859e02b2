package front

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/steer/result"
)

// problem is an error body as in RFC 9457.
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// handleError responds with the status, outcome and reason of the error, unless
// the response has started.
func (f *Front) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	x := exchangeOf(c.Request())
	var he *echo.HTTPError
	if errors.As(err, &he) {
		f.sendProblem(c.Response(), x, he.Code, result.NewNotRun(result.ReasonBadRequest, "route request, "+strings.ToLower(http.StatusText(he.Code))+",", "caller port"))
		return
	}
	e := result.From(err)
	f.sendProblem(c.Response(), x, statusOf(e), e)
}

// sendProblem logs the error, writes it as a problem, and sets the outcome
// under which the request is counted.
func (f *Front) sendProblem(w http.ResponseWriter, x *exchange, code int, e *result.Error) {
	x.outcome, x.reason = e.Outcome, e.Reason
	f.log.Info("request failed", "request", x.id, "service", x.service, "status", code, "outcome", e.Outcome, "reason", e.Reason, "error", e)
	writeProblem(w, code, e)
}

// statusOf returns the HTTP status of the error. Without a status for the
// reason it is 503 when the request did not run and 504 when its outcome is
// unknown.
func statusOf(e *result.Error) int {
	switch e.Reason {
	case result.ReasonNoOperationID, result.ReasonBadRequest:
		return http.StatusBadRequest
	case result.ReasonNoService:
		return http.StatusNotFound
	case result.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case result.ReasonOperationMismatch:
		return http.StatusUnprocessableEntity
	case result.ReasonOperationInProgress:
		return http.StatusConflict
	case result.ReasonOperationDone:
		return http.StatusGone
	case result.ReasonSlowCaller:
		return http.StatusRequestTimeout
	case result.ReasonInternal:
		return http.StatusInternalServerError
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

// retrySeconds returns d in seconds, rounded up and at least 1.
func retrySeconds(d time.Duration) int {
	return max(1, int((d+time.Second-1)/time.Second))
}
