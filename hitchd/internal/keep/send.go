package keep

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/clock"
	"magnoliahitch/links/head"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/crash"
	"magnoliahitch/steer/result"
)

// Limits of the used connections that the transport keeps idle. A server's slots
// and the pool's budget limit their number further.
const (
	maxIdlePerServer = 1024
	idleTimeout      = time.Minute
)

// headerRunning is the response header in which a server reports the number of
// requests that it runs, including the one of the response.
const headerRunning = "Hitch-Running"

// maxBufferedBody is the largest request body that is buffered for a second
// attempt, in bytes.
const maxBufferedBody = 64 << 10

// sender sends requests to upstream servers over HTTP.
type sender struct {
	pool      *pool
	transport *http.Transport
}

func newSender() *sender {
	p := newPool()
	return &sender{pool: p, transport: &http.Transport{
		DialContext:         p.dial,
		MaxIdleConnsPerHost: maxIdlePerServer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// send sends the request to the server as the attempt and waits for the response
// headers. With an error it also reports whether the server's connection failed
// while the request may have run.
func (s *sender) send(ctx context.Context, a *attempt, j *job, to config.Server) (*http.Response, bool, error) {
	for {
		req, err := j.upstreamRequest(ctx, to)
		if err != nil {
			return nil, false, result.NewNotRun(result.ReasonBadRequest, "build request", to.Name)
		}
		res, err := s.roundTrip(req, a)
		switch {
		case err == nil && refusedBeforeRun(res):
			return nil, false, result.NewNotRun(result.ReasonShed, "send request", to.Name).WithRetryAfter(retryAfter(res))
		case err == nil:
			return res, false, nil
		case a.turnedAway.Swap(false) && a.state.Load() == pending && j.repeatable() && ctx.Err() == nil:
			// The connection is closed, and there are finitely many of its kind.
			continue
		}
		e, crashed := a.classify(ctx, err, to.Name)
		return nil, crashed && !errors.Is(err, errInvalidStatus) && !errors.Is(err, head.ErrInvalid), e
	}
}

// errInvalidStatus is the error of a response that has no status of a response to a request.
var errInvalidStatus = errors.New("response has no valid status")

// roundTrip sends the request as the attempt, which owns the connection until the
// response's headers were looked at. The body of a refusal is closed.
func (s *sender) roundTrip(req *http.Request, a *attempt) (*http.Response, error) {
	trace := &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if c, ok := i.Conn.(*conn); ok {
				a.use(c)
			}
		},
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
			if !call.IsInterim(status, http.Header(h)) {
				return errors.Wrapf(errInvalidStatus, "informational response with status %d", status)
			}
			return nil
		},
	}
	res, err := s.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if invalid := a.invalidHeader(); err != nil && invalid != nil {
		// The transport may have another error for the line that was cut off.
		err = errors.Wrap(invalid, "read response")
	}
	invalid := err == nil && !call.IsFinal(res.StatusCode)
	refused := err == nil && !invalid && refusedBeforeRun(res)
	if refused || invalid {
		_ = res.Body.Close()
	}
	if invalid {
		err = errors.Wrapf(errInvalidStatus, "status %q", res.Status)
	}
	a.release(err == nil, refused || invalid)
	return res, err
}

// refusedBeforeRun reports whether the upstream indicates that it did not run the
// request. A 503 alone is not enough, because it may be sent after a part of the
// work was done.
func refusedBeforeRun(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable &&
		res.Header.Get(call.HeaderOutcome) == result.NotRun.String()
}

// overloaded reports whether the server indicates overload: a 503 with Retry-After.
func overloaded(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get("Retry-After") != ""
}

// maxRetryAfter bounds the time for which a server can keep requests away by one response.
const maxRetryAfter = time.Minute

// retryAfter returns the time in the Retry-After header, at most maxRetryAfter, or 0 when it
// isn't a number of seconds. It may have fractions.
func retryAfter(res *http.Response) time.Duration {
	s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if err != nil || !(s > 0) {
		return 0
	}
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}

// job is a request with its buffered body and its fingerprint, so that it can be
// sent more than once.
type job struct {
	*call.Request
	// buffered is the body or, of one above maxBufferedBody, its beginning; then rest
	// reads the remainder.
	buffered []byte
	rest     io.Reader
	// fingerprint identifies equal requests, for the tracking of crashes, and path those that are equal but
	// for the query.
	fingerprint, path crash.Fingerprint
}

// anyQuery follows the service in a fingerprint without the query, which keeps it apart from that of a
// request without a query.
const anyQuery = "\x00anyQuery"

// newJob buffers the body, up to one byte above maxBufferedBody, and computes the
// fingerprints.
func newJob(r *call.Request) (*job, error) {
	j := &job{Request: r}
	if r.Body != nil {
		buffered, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBody+1))
		if err != nil {
			return nil, err
		}
		j.buffered = buffered
	}
	if len(j.buffered) > maxBufferedBody {
		j.rest = r.Body
	}
	j.fingerprint = crash.FingerprintOf(r.Cell.Service, r.Method, j.target(), j.bodyIdentity())
	j.path = crash.FingerprintOf(r.Cell.Service+anyQuery, r.Method, r.Path, j.bodyIdentity())
	return j, nil
}

// repeatable reports whether the body can be sent again, that is, was buffered
// completely.
func (j *job) repeatable() bool { return j.rest == nil }

// bodyIdentity returns what the body contributes to the fingerprint: its content
// or, when that is not buffered completely, the operation id.
func (j *job) bodyIdentity() []byte {
	if j.rest != nil {
		return []byte(j.Operation)
	}
	return j.buffered
}

// target returns the path with the query.
func (j *job) target() string {
	if j.Query == "" {
		return j.Path
	}
	return j.Path + "?" + j.Query
}

// upstreamRequest builds the HTTP request to the server.
func (j *job) upstreamRequest(ctx context.Context, to config.Server) (*http.Request, error) {
	var body io.Reader
	switch {
	case j.rest != nil:
		body = io.MultiReader(bytes.NewReader(j.buffered), j.rest)
	case len(j.buffered) > 0:
		body = bytes.NewReader(j.buffered)
	}
	req, err := http.NewRequestWithContext(ctx, j.Method, "http://"+to.Addr+j.target(), body)
	if err != nil {
		return nil, err
	}
	// With GetBody the transport could resend the request on its own.
	req.GetBody = nil
	req.Header = call.EndToEnd(j.Header)
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	req.Header.Set(call.HeaderRequestID, j.ID)
	if j.Operation != "" {
		req.Header.Set(call.HeaderOperation, j.Operation)
	}
	left := j.Deadline.Sub(clock.Now()).Milliseconds()
	req.Header.Set(call.HeaderDeadline, strconv.FormatInt(left, 10))
	return req, nil
}
