package peer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// callPath is the path to which requests are forwarded.
const callPath = "/call"

// Headers of a forwarded request and its response, which are added to those of
// the caller and the upstream.
const (
	headerCell       = "Hitch-Cell"
	headerMethod     = "Hitch-Method"
	headerPath       = "Hitch-Path"
	headerQuery      = "Hitch-Query"
	headerClass      = "Hitch-Class"
	headerOrigin     = "Hitch-Origin"
	headerEntry      = "Hitch-Entry"
	headerObject     = "Hitch-Object"
	headerScope      = "Hitch-Scope"
	headerRetryAfter = "Hitch-Retry-Ms"
	headerStep       = "Hitch-Step"
	headerPeer       = "Hitch-Peer"
	// headerResponseTo holds the id of the request to which a response belongs.
	headerResponseTo = "Hitch-Answer-To"
)

// internalHeaders are used between hosts only. They are removed from the headers
// of callers and upstreams.
var internalHeaders = []string{
	headerCell, headerMethod, headerPath, headerQuery, headerClass, headerOrigin, headerEntry, headerObject, headerScope,
	headerRetryAfter, headerStep, headerPeer, headerResponseTo, headerDigest,
}

// Forward sends the request to the host and returns the response. Reading the
// response's body fails if it was truncated or altered. The error is a
// [result.Error]: its outcome is NotRun if the request can't be built or no
// connection was made, the one that the host reports if it sends an error, and
// Unknown otherwise.
func (c *Client) Forward(ctx context.Context, to member.Host, r *call.Request) (*call.Response, error) {
	body, err := r.ReadBody()
	if err != nil {
		return nil, result.NewNotRun(result.ReasonBadRequest, "read request body", to.Name)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+to.PeerAddr+callPath, bytes.NewReader(body))
	if err != nil {
		return nil, result.NewNotRun(result.ReasonBadRequest, "build forwarded request", to.Name)
	}
	setRequest(req, r)
	// A request's body is complete here, so its digest is sent in a header. A
	// response is streamed, so its digest follows in a trailer.
	digest := newBodyDigest()
	_, _ = digest.Write(body)
	req.Header.Set(headerDigest, digest.String())
	res, err := c.roundTrip(to, req)
	if err != nil {
		return nil, forwardError(err, to, connected.Load())
	}
	if id := res.Header.Get(headerResponseTo); id != r.ID {
		defer res.Body.Close()
		return nil, result.NewUnknown(result.ReasonPeer, "match response", to.Name, errors.Errorf("response to request %q, want %q", id, r.ID))
	}
	if res.Header.Get(call.HeaderOutcome) != result.Done.String() {
		defer res.Body.Close()
		return nil, readError(res, to.Name)
	}
	return readResponse(res), nil
}

// forwardError returns the error of a request without a response. Its outcome is
// NotRun if no connection to the host was made, otherwise Unknown.
func forwardError(err error, to member.Host, connected bool) error {
	e := result.NewUnknown(result.ReasonPeer, "forward request", to.Name, err)
	var dial *dialError
	if !connected || errors.As(err, &dial) {
		e.Outcome = result.NotRun
	}
	return e
}

// readResponse returns the upstream's response, without internal headers and
// with a body that is verified at its end.
func readResponse(res *http.Response) *call.Response {
	a := &call.Response{
		Status: res.StatusCode,
		Header: call.EndToEnd(res.Header),
		Body:   &checkedBody{ReadCloser: res.Body, computed: newBodyDigest(), expected: func() string { return res.Trailer.Get(headerDigest) }},
		Server: res.Header.Get(call.HeaderServer),
	}
	for _, n := range internalHeaders {
		a.Header.Del(n)
	}
	return a
}

// setRequest sets the headers of req to those of the forwarded request r. The
// deadline is sent as the remaining time, since hosts share no clock.
func setRequest(req *http.Request, r *call.Request) {
	req.Header = call.EndToEnd(r.Header)
	for _, n := range internalHeaders {
		req.Header.Del(n)
	}
	req.Header.Set(headerCell, r.Cell.String())
	req.Header.Set(headerMethod, r.Method)
	req.Header.Set(headerPath, r.Path)
	setNonEmpty(req.Header, headerQuery, r.Query)
	setNonEmpty(req.Header, headerClass, string(r.Class))
	setNonEmpty(req.Header, headerOrigin, r.Origin)
	setNonEmpty(req.Header, headerEntry, r.Entry)
	setNonEmpty(req.Header, headerObject, r.Object)
	setNonEmpty(req.Header, headerScope, r.Scope)
	setNonEmpty(req.Header, call.HeaderBlock, r.Block)
	req.Header.Set(call.HeaderRequestID, r.ID)
	setNonEmpty(req.Header, call.HeaderOperation, r.Operation)
	left := r.Deadline.Sub(clock.Now()).Milliseconds()
	req.Header.Set(call.HeaderDeadline, strconv.FormatInt(left, 10))
}

// setNonEmpty sets the header if the value isn't empty.
func setNonEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// readError returns the error that the host reports. Its peer is the host itself
// unless the response names another one.
func readError(res *http.Response, peer string) error {
	e := &result.Error{
		Outcome: result.ParseOutcome(res.Header.Get(call.HeaderOutcome)),
		Reason:  result.Reason(res.Header.Get(call.HeaderReason)),
		Step:    res.Header.Get(headerStep),
		Peer:    res.Header.Get(headerPeer),
	}
	if e.Peer == "" {
		e.Peer = peer
	}
	if ms, err := strconv.Atoi(res.Header.Get(headerRetryAfter)); err == nil {
		e.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return e
}

// HandleCalls registers next as the handler of forwarded requests. Malformed
// requests are refused. The context of next ends at the request's deadline.
func (s *Server) HandleCalls(next call.Doer) {
	s.mux.HandleFunc("POST "+callPath, func(w http.ResponseWriter, req *http.Request) {
		r, ok := readRequest(req)
		w.Header().Set(headerResponseTo, req.Header.Get(call.HeaderRequestID))
		if !ok {
			writeError(w, result.NewNotRun(result.ReasonBadRequest, "read forwarded request", req.RemoteAddr))
			return
		}
		ctx, cancel := context.WithTimeout(req.Context(), r.Deadline.Sub(clock.Now()))
		defer cancel()
		a, err := next.Do(ctx, r)
		if err != nil {
			writeError(w, err)
			return
		}
		defer a.Body.Close()
		writeResponse(w, a)
	})
}

// maxDeadline bounds the remaining time of a forwarded request.
const maxDeadline = time.Hour

// readRequest decodes a forwarded request. It reports false if the request is
// malformed: the cell isn't valid, the remaining time is missing or exceeds
// [maxDeadline], the method or the path isn't valid, or a non-idempotent request
// has no operation id.
func readRequest(req *http.Request) (*call.Request, bool) {
	h := req.Header
	cell, ok := place.ParseCell(h.Get(headerCell))
	ms, err := strconv.Atoi(h.Get(call.HeaderDeadline))
	if !ok || err != nil || int64(ms) > maxDeadline.Milliseconds() {
		return nil, false
	}
	r := &call.Request{
		ID:        h.Get(call.HeaderRequestID),
		Cell:      cell,
		Method:    h.Get(headerMethod),
		Path:      h.Get(headerPath),
		Query:     h.Get(headerQuery),
		Class:     config.Class(h.Get(headerClass)),
		Block:     h.Get(call.HeaderBlock),
		Operation: h.Get(call.HeaderOperation),
		Origin:    h.Get(headerOrigin),
		Entry:     h.Get(headerEntry),
		Object:    h.Get(headerObject),
		Scope:     h.Get(headerScope),
		Deadline:  clock.Now().Add(time.Duration(ms) * time.Millisecond),
		Header:    call.EndToEnd(h),
	}
	if !strings.HasPrefix(r.Path, "/") || !r.Idempotent() && r.Operation == "" {
		return nil, false
	}
	if _, err := http.NewRequest(r.Method, "http://"+cell.Service+r.Path, nil); err != nil {
		return nil, false
	}
	for _, n := range internalHeaders {
		r.Header.Del(n)
	}
	r.Body = &checkedBody{ReadCloser: req.Body, computed: newBodyDigest(), expected: func() string { return req.Header.Get(headerDigest) }}
	return r, true
}

// writeResponse sends the upstream's response, followed by the digest of its
// body in a trailer.
func writeResponse(w http.ResponseWriter, a *call.Response) {
	for n, v := range a.Header {
		w.Header()[n] = v
	}
	w.Header().Set(call.HeaderOutcome, result.Done.String())
	w.Header().Set(call.HeaderServer, a.Server)
	w.Header().Set("Trailer", headerDigest)
	w.WriteHeader(a.Status)
	digest := newBodyDigest()
	if _, err := io.Copy(io.MultiWriter(w, digest), a.Body); err != nil {
		// This resets the stream, so that a truncated response isn't taken as complete.
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerDigest, digest.String())
}

// writeError reports the error in the headers of a response with status 503. The
// error's cause isn't sent.
func writeError(w http.ResponseWriter, err error) {
	e := result.From(err)
	h := w.Header()
	h.Set(call.HeaderOutcome, e.Outcome.String())
	h.Set(call.HeaderReason, string(e.Reason))
	h.Set(headerRetryAfter, strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	h.Set(headerStep, e.Step)
	h.Set(headerPeer, e.Peer)
	w.WriteHeader(http.StatusServiceUnavailable)
}
