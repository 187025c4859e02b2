// Package edge is a reverse proxy that forwards callers' requests directly to
// upstream servers. For each request it finds the route (package routes),
// rejects requests that crash servers (crash), selects a server (pick), sends
// the request and retries it within a budget (retry).
//
// A request with a route and a valid body ends in one of three ways unless its
// caller cancels it. A response of a server is passed on unchanged; if its body
// breaks off, the connection to the caller is closed. A request that certainly has
// not run is refused with status 503 and a Retry-After header. Every other failure
// gets status 502 or 504, after which the request may or may not have run.
package edge
