package keep

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/result"
)

// idlePerServer is the number of idle connections kept to a server.
const idlePerServer = 8

// sender sends requests to upstream servers over HTTP.
type sender struct {
	client *http.Transport
}

func newSender() *sender {
	return &sender{client: &http.Transport{
		MaxIdleConnsPerHost: idlePerServer,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

// send makes one attempt. The request is not run when no connection was
// handed to it; from then on its outcome is unknown until the answer is whole.
func (s *sender) send(ctx context.Context, r *call.Request, to config.Server) (*call.Answer, error) {
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { written.Store(true) },
	})
	req, err := newRequest(ctx, r, to)
	if err != nil {
		return nil, result.Refuse(result.ReasonBadRequest, "build request", to.Name)
	}
	res, err := s.client.RoundTrip(req)
	if err != nil {
		e := result.Lose(result.ReasonUpstream, "send request", to.Name, err)
		if !written.Load() {
			e.Outcome = result.NotRun
		}
		return nil, e
	}
	return &call.Answer{
		Status: res.StatusCode,
		Header: call.EndToEnd(res.Header),
		Body:   res.Body,
		Server: to.Name,
	}, nil
}

func newRequest(ctx context.Context, r *call.Request, to config.Server) (*http.Request, error) {
	url := "http://" + to.Addr + r.Path
	if r.Query != "" {
		url += "?" + r.Query
	}
	// A body without GetBody keeps net/http from sending the request again by
	// itself, which it does for any request with an Idempotency-Key.
	body := r.Body
	if body == nil && !r.Idempotent() {
		body = io.MultiReader()
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, url, body)
	if err != nil {
		return nil, err
	}
	req.Header = call.EndToEnd(r.Header)
	req.Header.Set(call.HeaderRequestID, r.ID)
	if r.Operation != "" {
		req.Header.Set(call.HeaderOperation, r.Operation)
	}
	left := r.Deadline.Sub(clock.Now()).Milliseconds()
	req.Header.Set(call.HeaderDeadline, strconv.FormatInt(left, 10))
	return req, nil
}

// endingBody calls end once, when the answer was read to its end or closed.
type endingBody struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close closes the answer and frees the slot.
func (b *endingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.end)
	return err
}
