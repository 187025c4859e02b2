package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/pick"
	"magnoliahitch/steer/result"
)

const (
	// leastLeft is the time below which no further attempt is made.
	leastLeft = 20 * time.Millisecond
	// maxDials bounds the connections that are tried for one request.
	maxDials = 4
)

// run sends the request until it has an answer or must not be sent again.
func (e *Edge) run(ctx context.Context, w http.ResponseWriter, x *exchange) {
	s := e.service(x.service)
	var answer *conns.Answer
	for dials := 0; ; dials++ {
		now := clock.Now()
		if ctx.Err() != nil || x.request.Deadline.Sub(now) < leastLeft && x.attempts > 0 {
			e.expire(ctx, w, x)
			return
		}
		c := s.picker.Choose(now, e.state().Fleet, pick.Request{Service: x.service, Object: x.object, Regions: x.route.Regions, Tried: x.tried})
		e.check(ctx, s, c.Check)
		if c.Reason != pick.Chosen {
			break
		}
		a, outcome, sent := e.attempt(ctx, s, x, c)
		x.ran = x.ran || outcome == result.Unknown
		if ctx.Err() != nil && (a == nil || outcome == result.NotRun) {
			e.expire(ctx, w, x)
			return
		}
		if a != nil && outcome == result.Done {
			answer = a
			if a.Status < http.StatusInternalServerError || !x.route.Idempotent {
				break
			}
		}
		if !e.again(s, x, outcome, sent, dials) {
			break
		}
		if answer != nil && answer.Stream != nil {
			_ = answer.Stream.Close()
		}
	}
	if answer != nil {
		e.deliver(w, x, answer)
		return
	}
	e.fail(w, x)
}

// again reports whether the request may be sent to another server.
func (e *Edge) again(s *service, x *exchange, outcome result.Outcome, sent bool, dials int) bool {
	switch {
	case x.request.Rest != nil && sent:
		return false
	case !x.route.Idempotent && outcome != result.NotRun:
		return false
	case !sent:
		return dials < maxDials
	case x.attempts >= x.route.MaxAttempts:
		return false
	}
	return s.allow(clock.Now())
}

// attempt sends the request to the chosen server. Sent tells that the server
// may have seen it.
func (e *Edge) attempt(ctx context.Context, s *service, x *exchange, c pick.Choice) (a *conns.Answer, outcome result.Outcome, sent bool) {
	began := clock.Now()
	x.choice = c
	a, outcome, err := e.pool.Send(ctx, &x.request, c.Server.ID, c.Server.Addr)
	now := clock.Now()
	took := now.Sub(began)
	x.failure = err
	x.tried = append(x.tried, c.Server.ID)
	sent = a != nil || outcome != result.NotRun
	if sent {
		x.attempts++
	}
	var report pick.Report
	if a != nil && a.Closed {
		s.picker.Doubt(began, c.Server.ID)
	}
	if a != nil {
		report.Running, report.Waiting, report.Known = e.dialect.Load(a.Header)
	}
	res := judge(ctx, a, outcome)
	s.picker.Done(now, c.Server.ID, res, took, report)
	if res == pick.Broken {
		go e.deaths.Lost(context.WithoutCancel(ctx), x.print, c.Server.ID, c.Server.Addr)
	}
	attempts(x.service, res).Inc()
	if res != pick.Answered {
		e.log.Info("attempt failed", "request", x.id, "server", c.Server.ID, "address", c.Server.Addr, "result", res.String(),
			"outcome", outcome.String(), "tookMs", ms(took), "rank", c.Rank, "load", c.Load, "usable", c.Usable, "error", err)
	}
	return a, outcome, sent
}

// judge says what the attempt tells about the server.
func judge(ctx context.Context, a *conns.Answer, outcome result.Outcome) pick.Result {
	switch {
	case a == nil && ctx.Err() != nil:
		return pick.Abandoned
	case a == nil && outcome == result.NotRun:
		return pick.Refused
	case a == nil:
		return pick.Broken
	case a.Status == http.StatusMisdirectedRequest:
		return pick.Misdirected
	case outcome == result.NotRun:
		return pick.Shed
	case a.Status >= http.StatusInternalServerError:
		return pick.Failed
	}
	return pick.Answered
}

// expire ends a request whose time is up or whose caller left.
func (e *Edge) expire(ctx context.Context, w http.ResponseWriter, x *exchange) {
	if errors.Is(ctx.Err(), context.Canceled) {
		e.end(x, 0, result.ReasonCanceled)
		panic(http.ErrAbortHandler)
	}
	if !x.ran && x.attempts == 0 {
		e.refuse(w, x, result.ReasonDeadline)
		return
	}
	e.end(x, http.StatusGatewayTimeout, result.ReasonDeadline)
	http.Error(w, "no server answered in time", http.StatusGatewayTimeout)
}

// fail answers a request that no server answered.
func (e *Edge) fail(w http.ResponseWriter, x *exchange) {
	if !x.ran {
		reason := result.ReasonNoServer
		if x.attempts > 0 {
			reason = result.ReasonShed
		}
		e.refuse(w, x, reason)
		return
	}
	e.end(x, http.StatusBadGateway, result.ReasonUpstream)
	http.Error(w, "the server's answer was lost", http.StatusBadGateway)
}
