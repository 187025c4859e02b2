package call

import (
	"net/http"
	"strings"
)

// hopHeaders are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns the headers that go further than one connection.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for n := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range hopHeaders {
		out.Del(n)
	}
	return out
}
