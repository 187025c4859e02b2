package edge

import (
	"io"
	"net/http"
	"strings"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/quota"
	"magnoliahitch/steer/result"
)

// HeadLimit returns the length of the longest allowed head of a request in bytes, 0 for no limit.
func (e *Edge) HeadLimit() int {
	if t := e.state().Table; t != nil {
		return t.Limits.HeaderBytes
	}
	return 0
}

// HeadQuota returns the quota of requests and responses.
func (e *Edge) HeadQuota() *quota.Quota { return e.quota }

// RefuseHead returns the response to a request whose head is longer than the limit, or else got
// no bytes of the quota.
func (e *Edge) RefuseHead(tooLong bool) *http.Response {
	x := &exchange{start: clock.Now()}
	if tooLong {
		e.record(x, http.StatusRequestHeaderFieldsTooLarge, result.ReasonTooLarge)
		return closing(http.StatusRequestHeaderFieldsTooLarge, "header is longer than the configured limit\n")
	}
	e.record(x, http.StatusServiceUnavailable, result.ReasonMemory)
	res := closing(http.StatusServiceUnavailable, "request was not run: "+string(result.ReasonMemory)+"\n")
	res.Header.Set("Retry-After", e.retryAfter(minRetryAfter))
	return res
}

// closing returns a response that closes its connection.
func closing(status int, text string) *http.Response {
	return &http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true, ContentLength: int64(len(text)),
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}}, Body: io.NopCloser(strings.NewReader(text)),
	}
}
