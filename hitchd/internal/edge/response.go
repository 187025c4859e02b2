package edge

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/delay"
	"magnoliahitch/steer/pick"
	"magnoliahitch/steer/result"
)

// Bounds of the delay in Retry-After. It is random, so that callers that were
// refused at the same time don't retry at the same time.
const (
	minRetryAfter    = 150 * time.Millisecond
	retryAfterSpread = 300 * time.Millisecond
)

// writeResponse passes the server's response on unchanged, without the headers
// that concern only the connection to the server.
func (e *Edge) writeResponse(ctx context.Context, w http.ResponseWriter, s *service, x *exchange, a received) {
	h := w.Header()
	perConnection := conns.ConnectionHeaders(a.Header)
	for name, values := range a.Header {
		if !conns.IsHopByHop(name) && !perConnection[name] {
			h[name] = values
		}
	}
	// A nil value keeps net/http from adding a Content-Type that the server's
	// response doesn't have.
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if a.Length >= 0 && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", fmt.Sprint(a.Length))
	}
	w.WriteHeader(a.Status)
	p := &progress{begin: clock.Now()}
	err := p.write(w, a.Body)
	a.FreeBody()
	var broken error
	if err == nil && a.Stream != nil {
		if a.Narrow {
			unbuffered(x.service).Inc()
		}
		broken, err = passOn(w, a.Response, p)
		if err == nil {
			e.crashes.Succeeded(clock.Now(), x.fingerprints)
			if a.Status < http.StatusInternalServerError {
				s.picker.RecordWhole(a.server.ID)
			}
		}
	}
	a.Close()
	if err != nil {
		x.lastErr = err
		switch {
		case broken == nil:
		case e.isUnfinished(ctx, x, a, p):
			s.picker.RecordUnfinished(clock.Now(), a.server.ID)
		case ctx.Err() == nil && clock.Now().Before(x.request.Deadline):
			// The context ends with the caller, and closes the server's connection.
			s.picker.RecordBroken(clock.Now(), a.server.ID)
			go e.crashes.ConnectionLost(context.WithoutCancel(ctx), x.attemptAt(a.server))
		}
		e.record(x, a.Status, result.ReasonUpstream)
		// Aborts the connection, so that the caller doesn't take a truncated body
		// for a complete one.
		panic(http.ErrAbortHandler)
	}
	e.record(x, a.Status, "")
}

// slowCaller is the number of bytes a second from which a caller isn't slow, although writes to
// it take longer than reads from a server that sends faster still.
const slowCaller = 256 << 10

// isUnfinished reports whether the server is to blame for a response that ended with the
// deadline: neither a caller that was slow to send or to read, nor this host.
func (e *Edge) isUnfinished(ctx context.Context, x *exchange, a received, p *progress) bool {
	now := clock.Now()
	took := now.Sub(p.begin)
	slow := 2*p.writing > took && float64(p.written) < slowCaller*took.Seconds()
	return errors.Is(ctx.Err(), context.DeadlineExceeded) && a.Status < http.StatusInternalServerError && x.request.Stream == nil &&
		!slow && !a.Narrow && delay.Conclusive(e.delays, now, p.begin)
}

// progress is how far a response has been passed on.
type progress struct {
	begin time.Time
	// written is the number of bytes of the body that were written to the caller, and writing
	// the time that it took.
	written int64
	writing time.Duration
}

// write writes a part of the body.
func (p *progress) write(w io.Writer, b []byte) error {
	begin := time.Now()
	n, err := w.Write(b)
	p.written += int64(n)
	p.writing += time.Since(begin)
	return err
}

// passOn writes the rest of the server's body, part by part. Broken is the error that broke
// the body off, nil if the caller's connection did.
func passOn(w io.Writer, a *conns.Response, p *progress) (broken, err error) {
	part := make([]byte, a.PartSize())
	for {
		n, broken := a.Stream.Read(part)
		if n > 0 {
			if err := p.write(w, part[:n]); err != nil {
				return nil, err
			}
		}
		if broken == io.EOF {
			return nil, nil
		}
		if broken != nil {
			return broken, broken
		}
	}
}

// refuse responds with status 503 and Retry-After to a request that has not run.
func (e *Edge) refuse(w http.ResponseWriter, x *exchange, reason result.Reason) {
	e.refuseFor(w, x, reason, minRetryAfter)
}

// refuseFor is like refuse for a request that will be refused for the given time.
func (e *Edge) refuseFor(w http.ResponseWriter, x *exchange, reason result.Reason, d time.Duration) {
	w.Header().Set("Retry-After", e.retryAfter(d))
	e.record(x, http.StatusServiceUnavailable, reason)
	http.Error(w, "request was not run: "+string(reason), http.StatusServiceUnavailable)
}

// retryAfter returns the value of a Retry-After header for about the given time.
func (e *Edge) retryAfter(d time.Duration) string {
	return e.codec.RetryAfter(d + rand.N(retryAfterSpread))
}

// record logs and counts the result of the request. Reason is "" for a response
// that was passed on completely.
func (e *Edge) record(x *exchange, status int, reason result.Reason) {
	took := clock.Now().Sub(x.start)
	name, kind := "", "unrouted"
	if x.route != nil {
		name, kind = x.route.Name, x.service
	}
	requests(kind, status, reason).Inc()
	seconds(kind).Update(took.Seconds())
	c := x.lastChoice
	args := []any{
		"request", x.id, "route", name, "service", x.service, "object", x.object, "status", status, "tookMs", ms(took),
		"attempts", x.attempts, "server", c.Server.ID, "region", c.Server.Region, "rank", c.Rank, "load", c.Load, "expectedMs", ms(c.Cost), "phase", string(c.Phase),
		"usable", c.Usable, "abroadShare", c.SpilloverShare, "version", x.version,
	}
	if x.isSplit() {
		args = append(args, "partShare", x.part.Share, "partAtObject", x.part.AtObject)
	}
	if reason != "" {
		now, st := clock.Now(), e.state()
		args = append(args, "reason", string(reason), "mayHaveRun", x.mayHaveRun, "serversAgeMs", ms(now.Sub(st.ServersRead)),
			"operatorAgeMs", ms(now.Sub(st.OperatorRead)), "delayMs", ms(e.delays.Worst(now, x.start)), "error", x.lastErr)
	}
	e.log.Info("request ended", args...)
}

// ms returns the duration in milliseconds, rounded to a tenth.
func ms(d time.Duration) float64 { return math.Round(float64(d)/float64(time.Millisecond/10)) / 10 }

func requests(service string, status int, reason result.Reason) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_edge_requests_total{service=%q,status="%d",reason=%q}`, service, status, reason))
}

// partRequests counts the requests to each part of a route that has several.
func partRequests(route, service string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_edge_part_requests_total{route=%q,service=%q}`, route, service))
}

// notices counts what servers announced in their responses.
func notices(service, kind string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_edge_server_notices_total{service=%q,kind=%q}`, service, kind))
}

// unbuffered counts the responses that were passed on with little in memory, since the quota was full.
func unbuffered(service string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_edge_unbuffered_responses_total{service=%q}`, service))
}

func seconds(service string) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf(`hitch_edge_request_seconds{service=%q}`, service))
}

func attemptResults(service string, r pick.Result) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_edge_attempts_total{service=%q,result=%q}`, service, r))
}

// readLate counts the requests that arrived while this host ran late by lateRead or more.
func readLate(route string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_edge_requests_read_late_total{route=%q}`, route))
}

// retries counts the decisions of the retry budget.
func retries(service string, allowed bool) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_edge_retries_total{service=%q,allowed="%t"}`, service, allowed))
}

// attemptPhases counts attempts by the phase in which the server was selected.
func attemptPhases(service string, p pick.Phase) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_edge_attempt_phases_total{service=%q,phase=%q}`, service, string(p)))
}
