// Package call defines a caller's request and the upstream's response as they
// pass through the stages of a host, and the interface [Doer] that each stage
// implements. It also defines the headers between callers, hosts and upstreams
// and removes the hop-by-hop headers.
package call

import (
	"context"
	"io"
	"net/http"
	"time"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/place"
)

// Headers between callers, hosts and upstreams.
const (
	// HeaderRequestID carries the request's id.
	HeaderRequestID = "X-Request-Id"
	// HeaderOperation carries the operation id of a non-idempotent request.
	HeaderOperation = "Idempotency-Key"
	// HeaderDeadline carries the time left until the deadline, in milliseconds.
	HeaderDeadline = "Hitch-Deadline-Ms"
	// HeaderOutcome carries the outcome of the request.
	HeaderOutcome = "Hitch-Outcome"
	// HeaderReason carries the reason of a refusal or failure.
	HeaderReason = "Hitch-Reason"
	// HeaderServer names the upstream server that sent the response.
	HeaderServer = "Hitch-Server"
	// HeaderBlock names the caller's address block.
	HeaderBlock = "Hitch-Block"
)

// Request is a caller's request on its way to an upstream.
type Request struct {
	ID string
	// Cell is the capacity cell (region and service) that admits the request.
	Cell   place.Cell
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   io.Reader
	Class  config.Class
	// Block is the caller's address block.
	Block string
	// Object identifies the object that the request concerns, "" when unknown.
	Object string
	// Regions lists the regions that may serve the request; empty means all.
	Regions []string
	// Operation is the operation id of a non-idempotent request.
	Operation string
	// Scope is the namespace of the operation id: the host name of the route, so
	// that the id stays valid when the route is changed to another service, or ""
	// for the service.
	Scope string
	// Deadline is a time of package clock.
	Deadline time.Time
	// Origin is the caller's home region. It differs from the cell's region
	// when the request was shifted.
	Origin string
	// Entry is the region of the host that received the request from the caller.
	Entry string
}

// Idempotent reports whether the request may run more than once: whether its
// method is GET, HEAD or OPTIONS.
func (r *Request) Idempotent() bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// Response is an upstream's response. Reading Body fails when the response is
// truncated. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Server is the name of the upstream server that sent the response.
	Server string
}

// Doer is a stage on the path of a request. Do returns the response of the
// later stages; its error is a result.Error.
type Doer interface {
	Do(ctx context.Context, r *Request) (*Response, error)
}

// DoerFunc is a function that implements [Doer].
type DoerFunc func(ctx context.Context, r *Request) (*Response, error)

// Do calls f.
func (f DoerFunc) Do(ctx context.Context, r *Request) (*Response, error) { return f(ctx, r) }
