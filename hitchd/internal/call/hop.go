package call

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the headers that apply to a single connection and are not
// forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of h without the hop-by-hop headers and without the
// headers that a Connection header names. It returns nil when h is nil.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for n := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range hopByHopHeaders {
		out.Del(n)
	}
	return out
}
