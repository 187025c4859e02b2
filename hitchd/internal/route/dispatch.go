package route

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/result"
	"magnoliahitch/steer/shift"
)

// maxSends is the maximum number of times that one request is sent to a host.
const maxSends = 4

// dispatch carries out the plan of one request.
type dispatch struct {
	*Router
	state   *routingState
	request *call.Request
	body    []byte
	plan    shift.Plan

	sends int
	// retryGranted is set once the retry budget has granted the one resend of a
	// lost request. resendDue is set when the next send is that resend, resent
	// once it was sent.
	retryGranted, resendDue, resent bool
	lastErr                         error
	// unknownErr is the error of the last send after which the request may have
	// run.
	unknownErr error
}

// readBody reads the complete body, so that it can be sent again if the request
// did not run. It refuses the request if the body can't be read.
func readBody(r *call.Request, self string) ([]byte, error) {
	body, err := r.ReadBody()
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, result.NewNotRun(result.ReasonTooLarge, "read request body", self)
	}
	if err != nil {
		return nil, result.NewNotRun(result.ReasonBadRequest, "read request body", self)
	}
	return body, nil
}

// do returns the response or an error. If the request may have run in any send,
// that error is returned, because a refusal by a later host would wrongly
// report it as not run.
func (d *dispatch) do(ctx context.Context) (*call.Response, error) {
	a, err := d.tryOptions(ctx)
	if err != nil && d.unknownErr != nil {
		return nil, d.unknownErr
	}
	return a, err
}

// tryOptions tries the options in order. It continues after an error that
// proves that the request did not run, and once for an idempotent request that
// a host lost.
func (d *dispatch) tryOptions(ctx context.Context) (*call.Response, error) {
	for _, o := range d.plan.Options {
		if o.Cause == shift.CauseOverflow && !d.mayOverflow() {
			break
		}
		a, err := d.tryOption(ctx, o)
		if err == nil {
			return a, nil
		}
		d.lastErr = err
		if !d.mayTryNext(ctx, err) {
			return nil, err
		}
	}
	if d.lastErr == nil {
		d.logRefused(d.plan.Reason())
		return nil, d.refuse(d.plan.Reason())
	}
	d.logRefused(result.From(d.lastErr).Reason)
	return nil, d.lastErr
}

// mayOverflow reports whether the last error allows the request to spill over
// from its home cell to another region.
func (d *dispatch) mayOverflow() bool {
	switch result.From(d.lastErr).Reason {
	case result.ReasonQueueFull, result.ReasonNoServer, result.ReasonNoKeeper, result.ReasonPeer,
		result.ReasonNotKeeper, result.ReasonFenced, result.ReasonStopping, result.ReasonLinkBudget, result.ReasonShed:
		return true
	}
	return false
}

// mayTryNext reports whether another option may be tried after the error. A
// refusal that any other cell would repeat, such as that of an invalid request,
// is final.
func (d *dispatch) mayTryNext(ctx context.Context, err error) bool {
	e := result.From(err)
	if ctx.Err() != nil || d.sends >= maxSends {
		return false
	}
	if e.Outcome == result.NotRun {
		switch e.Reason {
		case result.ReasonBadRequest, result.ReasonTooLarge, result.ReasonOperationMismatch, result.ReasonOperationInProgress,
			result.ReasonSuspect, result.ReasonDeadline, result.ReasonCanceled, result.ReasonNoOperationID:
			return false
		}
		return true
	}
	return d.mayResend(e)
}

// mayResend reports whether the request may be sent once more after a host lost
// it, and stores that in resendDue.
func (d *dispatch) mayResend(e *result.Error) bool {
	d.resendDue = e.Outcome == result.Unknown && e.Reason == result.ReasonPeer && !d.resent && d.takeRetry()
	return d.resendDue
}

// takeRetry reports whether the request is idempotent and the retry budget of
// its service allows a retry. The budget is charged once per request at most.
func (d *dispatch) takeRetry() bool {
	if !d.request.Idempotent() {
		return false
	}
	d.budgetMu.Lock()
	defer d.budgetMu.Unlock()
	if d.retryGranted {
		return true
	}
	b := d.state.budgets[d.request.Cell.Service]
	d.retryGranted = b != nil && b.Take(clock.Now())
	return d.retryGranted
}

// countRequest counts the request in the retry budget of its service.
func (d *dispatch) countRequest(now time.Time) {
	d.budgetMu.Lock()
	defer d.budgetMu.Unlock()
	if b := d.state.budgets[d.request.Cell.Service]; b != nil {
		b.CountRequest(now)
	}
}

// copyRequest returns a copy of the request for one send to the cell of the
// option.
func (d *dispatch) copyRequest(o shift.Option) *call.Request {
	r := *d.request
	r.Cell = o.Cell
	if d.body != nil {
		r.Body = bytes.NewReader(d.body)
	}
	return &r
}

// logRefused logs and counts a request that no cell served.
func (d *dispatch) logRefused(reason result.Reason) {
	d.log.Info("route", "request", d.request.ID, "service", d.request.Cell.Service, "class", d.request.Class,
		"origin", d.request.Origin, "choice", "refused", "reason", reason, "ruledOut", d.refusals())
	refusedRequests(reason).Inc()
}
