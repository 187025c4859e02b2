package peer

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// callPath is the path of forwarded requests.
const callPath = "/call"

// Headers that carry a forwarded request beside the caller's own.
const (
	headerCell   = "Hitch-Cell"
	headerMethod = "Hitch-Method"
	headerTarget = "Hitch-Path"
	headerQuery  = "Hitch-Query"
	headerClass  = "Hitch-Class"
	headerRetry  = "Hitch-Retry-Ms"
	headerStep   = "Hitch-Step"
	headerPeer   = "Hitch-Peer"
)

var ownHeaders = []string{headerCell, headerMethod, headerTarget, headerQuery, headerClass, headerRetry, headerStep, headerPeer}

// Forward sends the request to the host and returns its answer. The returned
// body yields an error when the answer is cut.
func (c *Client) Forward(ctx context.Context, to member.Host, r *call.Request) (*call.Answer, error) {
	var body io.Reader = http.NoBody
	if r.Body != nil {
		body = r.Body
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+to.PeerAddr+callPath, body)
	if err != nil {
		return nil, result.Refuse(result.ReasonBadRequest, "build forwarded request", to.Name)
	}
	setRequest(req, r)
	res, err := c.roundTrip(to, req)
	if err != nil {
		return nil, result.Lose(result.ReasonPeer, "forward request", to.Name, err)
	}
	if res.Header.Get(call.HeaderOutcome) != result.Done.String() {
		defer res.Body.Close()
		return nil, readError(res, to.Name)
	}
	server := res.Header.Get(call.HeaderServer)
	return &call.Answer{Status: res.StatusCode, Header: call.EndToEnd(res.Header), Body: res.Body, Server: server}, nil
}

func setRequest(req *http.Request, r *call.Request) {
	req.Header = call.EndToEnd(r.Header)
	for _, n := range ownHeaders {
		req.Header.Del(n)
	}
	req.Header.Set(headerCell, r.Cell.String())
	req.Header.Set(headerMethod, r.Method)
	req.Header.Set(headerTarget, r.Path)
	req.Header.Set(headerQuery, r.Query)
	req.Header.Set(headerClass, string(r.Class))
	req.Header.Set(call.HeaderBlock, r.Block)
	req.Header.Set(call.HeaderRequestID, r.ID)
	req.Header.Set(call.HeaderOperation, r.Operation)
	left := r.Deadline.Sub(clock.Now()).Milliseconds()
	req.Header.Set(call.HeaderDeadline, strconv.FormatInt(left, 10))
}

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
	if ms, err := strconv.Atoi(res.Header.Get(headerRetry)); err == nil {
		e.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return e
}

// HandleCalls passes forwarded requests on to next.
func (s *Server) HandleCalls(next call.Doer) {
	s.mux.HandleFunc("POST "+callPath, func(w http.ResponseWriter, req *http.Request) {
		r, ok := readRequest(req)
		if !ok {
			writeError(w, result.Refuse(result.ReasonBadRequest, "read forwarded request", req.RemoteAddr))
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
		writeAnswer(w, a)
	})
}

func readRequest(req *http.Request) (*call.Request, bool) {
	cell, ok := place.ParseCell(req.Header.Get(headerCell))
	if !ok {
		return nil, false
	}
	ms, err := strconv.Atoi(req.Header.Get(call.HeaderDeadline))
	if err != nil {
		return nil, false
	}
	r := &call.Request{
		ID:        req.Header.Get(call.HeaderRequestID),
		Cell:      cell,
		Method:    req.Header.Get(headerMethod),
		Path:      req.Header.Get(headerTarget),
		Query:     req.Header.Get(headerQuery),
		Class:     config.Class(req.Header.Get(headerClass)),
		Block:     req.Header.Get(call.HeaderBlock),
		Operation: req.Header.Get(call.HeaderOperation),
		Deadline:  clock.Now().Add(time.Duration(ms) * time.Millisecond),
		Header:    call.EndToEnd(req.Header),
		Body:      req.Body,
	}
	for _, n := range ownHeaders {
		r.Header.Del(n)
	}
	return r, true
}

func writeAnswer(w http.ResponseWriter, a *call.Answer) {
	for n, v := range a.Header {
		w.Header()[n] = v
	}
	w.Header().Set(call.HeaderOutcome, result.Done.String())
	w.Header().Set(call.HeaderServer, a.Server)
	w.WriteHeader(a.Status)
	if _, err := io.Copy(w, a.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func writeError(w http.ResponseWriter, err error) {
	e := result.From(err)
	h := w.Header()
	h.Set(call.HeaderOutcome, e.Outcome.String())
	h.Set(call.HeaderReason, string(e.Reason))
	h.Set(headerRetry, strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	h.Set(headerStep, e.Step)
	h.Set(headerPeer, e.Peer)
	w.WriteHeader(http.StatusServiceUnavailable)
}
