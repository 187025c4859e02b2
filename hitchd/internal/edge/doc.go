// Package edge serves callers' requests by sending them straight to upstream
// servers. It is a loop round the decisions of packages routes, pick, retry
// and crash: route, place, send, and send again or answer.
//
// Each request ends in one of three ways. An answer that a server made is
// passed on as it is. A request that provably has not run is refused with 503
// and the time to come back. Everything else is 502 or 504, which promise
// nothing.
package edge
