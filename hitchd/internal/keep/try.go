package keep

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/clock"
	"magnoliahitch/links/head"
	"magnoliahitch/steer/result"
	"magnoliahitch/steer/slots"
)

// try is one run of a request in a slot of a server: the attempt, then the reading
// of its response.
type try struct {
	keeper     *Keeper
	cell       *cell
	job        *job
	assignment slots.Assignment
	started    time.Time
	// trial is set when the try is the trial of a suspect request.
	trial  bool
	ctx    context.Context
	cancel context.CancelFunc
	// parent is the caller's context, without the try's deadline.
	parent context.Context
}

// newTry returns a try whose context ends at the request's deadline.
func (k *Keeper) newTry(ctx context.Context, c *cell, j *job, s slots.Assignment) *try {
	t := &try{keeper: k, cell: c, job: j, assignment: s, started: clock.Now(), parent: ctx}
	t.ctx, t.cancel = context.WithTimeout(ctx, j.Deadline.Sub(t.started))
	return t
}

// do sends the request. The slot is freed before do returns an error, and
// otherwise when the response's body ends.
func (t *try) do() roundResult {
	key := t.job.Cell.Key()
	a := &attempt{fence: func() bool { return t.keeper.holder.Holds(clock.Now(), key) }}
	res, crashed, err := t.keeper.sender.send(t.ctx, a, t.job, t.assignment.Server)
	name := t.assignment.Server.Name
	if err != nil {
		e := result.From(err)
		t.finish(slots.Completion{Outcome: e.Outcome, Reason: e.Reason, HoldOff: e.RetryAfter}, crashed)
		return roundResult{err: e, server: name}
	}
	t.cell.observe(clock.Now().Sub(t.started))
	if n, err := strconv.Atoi(res.Header.Get(headerRunning)); err == nil {
		t.cell.report(clock.Now(), name, n)
	}
	body := newTrackedBody(t.ctx, head.Body(res), func(err error) { t.finishBody(res, err) })
	return roundResult{server: name, response: &call.Response{
		Status: res.StatusCode,
		Header: call.EndToEnd(res.Header),
		Body:   body,
		Server: name,
	}}
}

// finishBody finishes the try after its response ended with err, nil for a
// complete response.
func (t *try) finishBody(res *http.Response, err error) {
	e := slots.Completion{Outcome: result.Unknown, Reason: result.ReasonUpstream}
	crashed := false
	switch {
	case err == nil:
		e = slots.Completion{Outcome: result.Done}
		if overloaded(res) {
			e.Reason, e.HoldOff = result.ReasonShed, retryAfter(res)
		}
	case errors.Is(t.ctx.Err(), context.DeadlineExceeded):
		e.Reason = result.ReasonDeadline
	case t.ctx.Err() != nil || errors.Is(err, errClosedEarly):
		e.Reason = result.ReasonCanceled
	default:
		crashed = !errors.Is(err, head.ErrInvalid)
	}
	t.finish(e, crashed)
}

// finish frees the slot, counts the attempt and records a crash of the server or a
// success of the request.
func (t *try) finish(e slots.Completion, crashed bool) {
	t.cancel()
	e.ID = t.assignment.ID
	t.cell.finish(clock.Now(), e)
	t.cell.meter.countAttempt(e)
	switch {
	case crashed:
		t.keeper.crashes.recordCrash(t.parent, t.job, t.assignment.Server.Name)
	case e.Outcome == result.Done:
		t.keeper.crashes.recordSuccess(t.parent, t.job)
	}
	if t.trial {
		t.keeper.crashes.endTrial(t.job)
	}
}

// doHedged does the try, and a second one on another server (a hedge) when the
// response headers don't arrive within the hedge delay. The first response is
// returned and the other try is cancelled. A trial, a non-idempotent request and
// one whose body can't be repeated get no hedge.
func (t *try) doHedged() roundResult {
	if t.trial || !t.job.Idempotent() || !t.job.repeatable() {
		return t.do()
	}
	after, ok := t.cell.hedgeAfter()
	if !ok {
		return t.do()
	}
	r := hedgedTries{results: make(chan tryResult, 2)}
	r.launch(t)
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case f := <-r.results:
		return f.roundResult
	case <-timer.C:
	}
	s, ok := t.cell.hedge(clock.Now(), slots.Request{Class: t.job.Class, Deadline: t.job.Deadline, Object: t.job.Object, Avoid: t.assignment.Server.Name})
	if !ok {
		return (<-r.results).roundResult
	}
	t.keeper.logPlacement(t.job, choice{assignment: s, reason: "hedge"})
	r.launch(t.keeper.newTry(t.parent, t.cell, t.job, s))
	return r.first()
}

// hedgedTries are the tries that run concurrently.
type hedgedTries struct {
	results chan tryResult
	tries   []*try
}

// tryResult is the result of a try that ran concurrently with another.
type tryResult struct {
	roundResult
	try *try
}

// launch starts the try in a goroutine.
func (r *hedgedTries) launch(t *try) {
	r.tries = append(r.tries, t)
	go func() { r.results <- tryResult{t.do(), t} }()
}

// first returns the first response and cancels the other try. If both fail, it
// returns an error with unknown outcome rather than one with not run.
func (r *hedgedTries) first() roundResult {
	f := <-r.results
	f.hedged = true
	if f.err != nil {
		g := <-r.results
		g.hedged = true
		if g.err != nil && f.err.Outcome == result.Unknown {
			return f.roundResult
		}
		return g.roundResult
	}
	for _, t := range r.tries {
		if t != f.try {
			t.cancel()
		}
	}
	go func() {
		if g := <-r.results; g.response != nil {
			_ = g.response.Body.Close()
		}
	}()
	return f.roundResult
}
