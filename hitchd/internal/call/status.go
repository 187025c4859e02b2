package call

import "net/http"

// IsFinal reports whether a response with the status answers a request. RFC 9110, section 15,
// gives no meaning to numbers from 600 on, and to none below 100.
func IsFinal(status int) bool { return status >= 200 && status < 600 }

// IsInterim reports whether a response with the status and header precedes the one that answers
// the request. One with a body doesn't: the body would be read as the next response. Status 101
// answers an Upgrade header, which isn't passed on.
func IsInterim(status int, h http.Header) bool {
	if status < 100 || status >= 200 || status == http.StatusSwitchingProtocols {
		return false
	}
	length := h.Get("Content-Length")
	return h.Get("Transfer-Encoding") == "" && (length == "" || length == "0")
}
