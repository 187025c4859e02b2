// Package conns is an HTTP/1.1 client with a pool of persistent connections to
// upstream servers.
//
// One call of [Pool.Send] is one attempt on one connection. The package never
// retries a request; the outcome reports whether the server can have run it. A
// connection returns to the pool only after a complete request and a complete
// response of known length, with no byte after it and no Connection: close.
package conns
