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

// maxSends bounds the hosts that a request is sent to.
const maxSends = 4

// journey is a request on its way through the options of its plan.
type journey struct {
	*Router
	state   *state
	request *call.Request
	body    []byte
	plan    shift.Plan

	sends int
	// granted is set when the retry budget allowed to send work of unknown
	// outcome again, lost when such work is to be sent, resent when it was.
	granted, lost, resent bool
	last                  error
	// unknown is the error of a send that may have run.
	unknown error
}

// readBody takes in the whole body, so that it can be sent again when nothing ran.
func readBody(r *call.Request, self string) ([]byte, error) {
	body, err := r.ReadBody()
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, result.Refuse(result.ReasonTooLarge, "read request", self)
	}
	if err != nil {
		return nil, result.Refuse(result.ReasonBadRequest, "read request", self)
	}
	return body, nil
}

// do returns the answer, or the error of the send that may have run when there
// was one: a later refusal doesn't make the request not run.
func (j *journey) do(ctx context.Context) (*call.Answer, error) {
	a, err := j.run(ctx)
	if err != nil && j.unknown != nil {
		return nil, j.unknown
	}
	return a, err
}

// run tries the options in order. It goes on to the next one after a proof
// that nothing ran, and once more for idempotent work that a peer lost.
func (j *journey) run(ctx context.Context) (*call.Answer, error) {
	for _, o := range j.plan.Options {
		if o.Cause == shift.CauseOverflow && !j.overflows() {
			break
		}
		a, err := j.take(ctx, o)
		if err == nil {
			return a, nil
		}
		j.last = err
		if !j.goesOn(ctx, err) {
			return nil, err
		}
	}
	if j.last == nil {
		j.logRefused(j.plan.Reason())
		return nil, j.refuse(j.plan.Reason())
	}
	j.logRefused(result.From(j.last).Reason)
	return nil, j.last
}

// overflows reports whether the home cell's refusal lets the request leave.
func (j *journey) overflows() bool {
	switch result.From(j.last).Reason {
	case result.ReasonQueueFull, result.ReasonNoServer, result.ReasonNoKeeper, result.ReasonPeer,
		result.ReasonNotKeeper, result.ReasonFenced, result.ReasonStopping, result.ReasonLinkBudget, result.ReasonShed:
		return true
	}
	return false
}

// goesOn reports whether another option may be tried after the error.
func (j *journey) goesOn(ctx context.Context, err error) bool {
	e := result.From(err)
	if ctx.Err() != nil || j.sends >= maxSends {
		return false
	}
	if e.Outcome == result.NotRun {
		switch e.Reason {
		case result.ReasonBadRequest, result.ReasonTooLarge, result.ReasonMismatch, result.ReasonInProgress,
			result.ReasonSuspect, result.ReasonDeadline, result.ReasonCanceled, result.ReasonNoOperation:
			return false
		}
		return true
	}
	return j.retriesLost(e)
}

// retriesLost reports whether work that a peer lost may be sent once more.
func (j *journey) retriesLost(e *result.Error) bool {
	j.lost = e.Outcome == result.Unknown && e.Reason == result.ReasonPeer && !j.resent && j.mayRetry()
	return j.lost
}

// mayRetry takes a retry of idempotent work from the budget, once.
func (j *journey) mayRetry() bool {
	if !j.request.Idempotent() {
		return false
	}
	j.retryMu.Lock()
	defer j.retryMu.Unlock()
	if j.granted {
		return true
	}
	b := j.state.retries[j.request.Cell.Service]
	j.granted = b.RetryBudget != nil && b.Take(clock.Now())
	return j.granted
}

func (j *journey) countRequest(now time.Time) {
	j.retryMu.Lock()
	defer j.retryMu.Unlock()
	if b := j.state.retries[j.request.Cell.Service]; b.RetryBudget != nil {
		b.Request(now)
	}
}

// attempt returns a copy of the request for one send.
func (j *journey) attempt(o shift.Option) *call.Request {
	r := *j.request
	r.Cell = o.Cell
	if j.body != nil {
		r.Body = bytes.NewReader(j.body)
	}
	return &r
}

func (j *journey) logRefused(reason result.Reason) {
	j.log.Info("route", "request", j.request.ID, "service", j.request.Cell.Service, "class", j.request.Class,
		"origin", j.request.Origin, "choice", "refused", "reason", reason, "ruledOut", j.ruledOut())
	refusedRequests(reason).Inc()
}
