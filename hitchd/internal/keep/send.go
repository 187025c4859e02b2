package keep

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/crash"
	"magnoliahitch/steer/result"
)

// Bounds of the connections that stand idle after use. A server's slots and
// the pool bound them further.
const (
	idlePerServer = 1024
	idleTime      = time.Minute
)

// headerRunning is the header in which a server reports the number of requests
// that it runs, the answered one included.
const headerRunning = "Hitch-Running"

// maxHeldBody is the largest request body that is held for a second attempt,
// in bytes.
const maxHeldBody = 64 << 10

// sender sends requests to upstream servers over HTTP.
type sender struct {
	pool   *pool
	client *http.Transport
}

func newSender() *sender {
	p := newPool()
	return &sender{pool: p, client: &http.Transport{
		DialContext:         p.dial,
		MaxIdleConnsPerHost: idlePerServer,
		IdleConnTimeout:     idleTime,
		DisableCompression:  true,
	}}
}

// send makes the attempt. When it returns an error it tells whether the
// server's connection died while the request ran.
func (s *sender) send(ctx context.Context, a *attempt, j *job, to config.Server) (*http.Response, bool, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if c, ok := i.Conn.(*conn); ok {
				c.attempt.Store(a)
			}
		},
	})
	req, err := j.upstreamRequest(ctx, to)
	if err != nil {
		return nil, false, result.Refuse(result.ReasonBadRequest, "build request", to.Name)
	}
	res, err := s.client.RoundTrip(req)
	if err != nil {
		e, died := a.conclude(ctx, err, to.Name)
		return nil, died, e
	}
	if refusedUnrun(res) {
		_ = res.Body.Close()
		return nil, false, result.Refuse(result.ReasonShed, "send request", to.Name).WithRetryAfter(retryAfter(res))
	}
	return res, false, nil
}

// refusedUnrun reports whether the upstream says that it did not run the
// request. A 503 alone doesn't say so: it may come from half-done work.
func refusedUnrun(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable &&
		res.Header.Get(call.HeaderOutcome) == result.NotRun.String()
}

// sheds reports whether the answer asks for less load.
func sheds(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get("Retry-After") != ""
}

func retryAfter(res *http.Response) time.Duration {
	s, err := strconv.Atoi(res.Header.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s) * time.Second
}

// job is a request with what is needed to send it more than once.
type job struct {
	*call.Request
	// held is the whole body, unless rest has the end of a longer one.
	held []byte
	rest io.Reader
	// print is the request's fingerprint.
	print crash.Print
}

// newJob reads the body as far as it is held.
func newJob(r *call.Request) (*job, error) {
	j := &job{Request: r}
	if r.Body != nil {
		held, err := io.ReadAll(io.LimitReader(r.Body, maxHeldBody+1))
		if err != nil {
			return nil, err
		}
		j.held = held
	}
	if len(j.held) > maxHeldBody {
		j.rest = r.Body
	}
	j.print = crash.Fingerprint(r.Cell.Service, r.Method, j.target(), j.identity())
	return j, nil
}

// repeatable reports whether the body can be sent again.
func (j *job) repeatable() bool { return j.rest == nil }

// identity is what the request's body contributes to its fingerprint.
func (j *job) identity() []byte {
	if j.rest != nil {
		return []byte(j.Operation)
	}
	return j.held
}

func (j *job) target() string {
	if j.Query == "" {
		return j.Path
	}
	return j.Path + "?" + j.Query
}

func (j *job) upstreamRequest(ctx context.Context, to config.Server) (*http.Request, error) {
	var body io.Reader
	switch {
	case j.rest != nil:
		body = io.MultiReader(bytes.NewReader(j.held), j.rest)
	case len(j.held) > 0:
		body = bytes.NewReader(j.held)
	}
	req, err := http.NewRequestWithContext(ctx, j.Method, "http://"+to.Addr+j.target(), body)
	if err != nil {
		return nil, err
	}
	// The transport must not send the request again by itself.
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
