// Package play replays a trace against a running deployment and records what the
// callers saw.
package play

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/standin/internal/serve"
	"magnoliahitch/standin/internal/trace"
)

// Limits and backoff of callers.
const (
	// maxAttempts is the largest number of attempts of one request.
	maxAttempts = 40
	// retryBackoff is the shortest backoff between two attempts.
	retryBackoff = 100 * time.Millisecond
	// maxRetryAfter is the longest wait for the Retry-After of a response.
	maxRetryAfter = 500 * time.Millisecond
	// lookupTimeout is the timeout of a lookup.
	lookupTimeout = time.Second
	// attemptShare is the share of the remaining time that one attempt may take.
	attemptShare = 0.5
	// minAttempt is the shortest timeout of an attempt.
	minAttempt = 500 * time.Millisecond
)

// Caller sends the requests of one region's callers. It caches lookup responses
// for their time to live. It is safe for concurrent use.
type Caller struct {
	region  string
	entries []string
	client  *http.Client

	mu    sync.Mutex
	cache map[string]cachedLookup
	// avoidUntil holds the hosts, and the pairs HOST/SERVICE, that failed recently,
	// with the time until which they are avoided.
	avoidUntil map[string]time.Time
}

type cachedLookup struct {
	hosts []string
	until time.Time
}

// avoidanceTime is how long a host that failed is avoided.
const avoidanceTime = 2 * time.Second

// NewCaller returns the callers of a region. They connect from the IP address and
// send lookups to the caller addresses of the entry hosts, in the given order.
func NewCaller(region, ip string, entries []string) *Caller {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return &Caller{
		region:     region,
		entries:    entries,
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: dialer.DialContext}},
		cache:      make(map[string]cachedLookup),
		avoidUntil: make(map[string]time.Time),
	}
}

// Send sends the request, with retries, until it gets a complete response, an
// attempt is final or the deadline has passed, and returns what the caller saw.
func (c *Caller) Send(ctx context.Context, id string, r *trace.Request) Record {
	rec := Record{Service: r.Service, Operation: r.Operation, Region: c.region, Allowed: r.Allowed, Start: time.Now()}
	deadline := rec.Start.Add(time.Duration(r.DeadlineMs) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for n := 0; n < maxAttempts && ctx.Err() == nil; n++ {
		host, err := c.host(ctx, cmp.Or(r.Host, r.Service))
		if err == nil {
			a, pause := c.attempt(ctx, fmt.Sprintf("%s.%d", id, n), host, deadline, r)
			rec.Attempts = append(rec.Attempts, a)
			if a.Outcome == "done" && !a.Cut {
				rec.Answered = !a.Wrong && a.Status == http.StatusOK
				break
			}
			if isFinal(a, r) {
				break
			}
			sleep(ctx, max(retryBackoff, min(pause, maxRetryAfter)))
			continue
		}
		sleep(ctx, retryBackoff)
	}
	rec.Latency = time.Since(rec.Start)
	return rec
}

// isFinal reports whether a well-behaved caller makes no further attempt: after a
// refusal that a retry can't change, or when a non-idempotent request without an
// operation id may have run.
func isFinal(a Attempt, r *trace.Request) bool {
	if a.Outcome == "notRun" {
		return a.Status == http.StatusBadRequest || a.Status == http.StatusUnprocessableEntity
	}
	// A request with an operation id may be retried, since the id prevents a second
	// run.
	return r.Operation == "" && r.Method != http.MethodGet
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// attempt sends the request to the host once. It returns what the caller saw and
// the wait that its Retry-After header requests.
func (c *Caller) attempt(ctx context.Context, id, host string, deadline time.Time, r *trace.Request) (Attempt, time.Duration) {
	a := Attempt{ID: id, Host: host}
	limit := max(minAttempt, time.Duration(float64(time.Until(deadline))*attemptShare))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := c.request(ctx, id, host, min(limit, time.Until(deadline)), r)
	if err != nil {
		a.Failed = err.Error()
		return a, 0
	}
	res, err := c.client.Do(req)
	if err != nil {
		c.avoid(avoidanceKey(host, r.Service, err))
		a.Failed = err.Error()
		a.Cut = !strings.Contains(a.Failed, "connection refused")
		return a, 0
	}
	defer res.Body.Close()
	a.Status = res.StatusCode
	a.Outcome = res.Header.Get("Hitch-Outcome")
	a.Reason = res.Header.Get("Hitch-Reason")
	body, err := io.ReadAll(res.Body)
	switch {
	case err != nil:
		a.Cut = true
		a.Failed = err.Error()
	case a.Outcome == "done" && a.Status == http.StatusOK:
		a.Wrong = !bytes.Equal(body, serve.Body(r.Operation, id, r.Size))
	}
	seconds, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	if a.Reason == "stopping" {
		c.avoid(host)
	}
	return a, time.Duration(seconds) * time.Second
}

// request builds the request of one attempt. The host gets the remaining time as
// its deadline.
func (c *Caller) request(ctx context.Context, id, host string, remaining time.Duration, r *trace.Request) (*http.Request, error) {
	path := "/service/" + r.Service + r.Path
	if r.Host != "" {
		path = r.Path
	}
	url := fmt.Sprintf("http://%s%s?costMs=%d&size=%d", host, path, r.CostMs, r.Size)
	// A body without GetBody prevents net/http from retrying a request by itself,
	// under the same request id.
	body := io.MultiReader()
	if r.Operation != "" {
		body = io.MultiReader(strings.NewReader("operation " + r.Operation))
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, url, body)
	if err != nil {
		return nil, err
	}
	if r.Host != "" {
		req.Host = r.Host
	}
	if r.Object != "" {
		req.Header.Set(serve.HeaderObject, r.Object)
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set(serve.HeaderOrigin, c.region)
	req.Header.Set("Hitch-Deadline-Ms", strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if r.Operation != "" {
		req.Header.Set("Idempotency-Key", r.Operation)
	}
	return req, nil
}

// avoidanceKey returns what to avoid after a failure: after a timeout the host for
// this service only, otherwise the host.
func avoidanceKey(host, service string, err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return host + "/" + service
	}
	return host
}

// avoid excludes a host, or a host with a service, for the avoidance time.
func (c *Caller) avoid(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[key] = time.Now().Add(avoidanceTime)
}

// host returns the first host of the lookup response that didn't fail recently.
// If all of them did, it discards the response and returns an error.
func (c *Caller) host(ctx context.Context, service string) (string, error) {
	now := time.Now()
	c.mu.Lock()
	l, ok := c.cache[service]
	c.mu.Unlock()
	if !ok || now.After(l.until) {
		var err error
		if l, err = c.lookup(ctx, service); err != nil {
			return "", err
		}
		c.mu.Lock()
		c.cache[service] = l
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range l.hosts {
		if now.After(c.avoidUntil[h]) && now.After(c.avoidUntil[h+"/"+service]) {
			return h, nil
		}
	}
	delete(c.cache, service)
	return "", errors.Errorf("look up %s: every host in the response failed recently", service)
}

// lookupResponse is the response of an entry host to a lookup.
type lookupResponse struct {
	Hosts []struct {
		Addr string `json:"addr"`
	} `json:"hosts"`
	TTLMs int64 `json:"ttlMs"`
}

// lookup sends a lookup to the entry hosts in turn, except those to avoid, until one
// responds with hosts.
func (c *Caller) lookup(ctx context.Context, service string) (cachedLookup, error) {
	var last error
	for _, e := range c.entries {
		c.mu.Lock()
		avoid := time.Now().Before(c.avoidUntil[e])
		c.mu.Unlock()
		if avoid {
			continue
		}
		l, err := c.lookupAt(ctx, e, service)
		if err == nil {
			return l, nil
		}
		if ctx.Err() != nil {
			return cachedLookup{}, err
		}
		c.avoid(e)
		last = err
	}
	return cachedLookup{}, errors.Errorf("look up %s: no entry host responded with hosts: %v", service, last)
}

// lookupAt sends a lookup to one entry host. A response without hosts is an error.
func (c *Caller) lookupAt(ctx context.Context, entry, service string) (cachedLookup, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/lookup/"+service, nil)
	if err != nil {
		return cachedLookup{}, err
	}
	res, err := c.client.Do(req)
	if err != nil {
		return cachedLookup{}, errors.Wrapf(err, "look up at host %s", entry)
	}
	defer res.Body.Close()
	var a lookupResponse
	if err := json.NewDecoder(res.Body).Decode(&a); err != nil {
		return cachedLookup{}, errors.Wrapf(err, "look up at host %s", entry)
	}
	l := cachedLookup{until: time.Now().Add(time.Duration(a.TTLMs) * time.Millisecond)}
	for _, h := range a.Hosts {
		l.hosts = append(l.hosts, h.Addr)
	}
	if len(l.hosts) == 0 {
		return cachedLookup{}, errors.Errorf("look up at host %s: status %d, no hosts", entry, res.StatusCode)
	}
	return l, nil
}
