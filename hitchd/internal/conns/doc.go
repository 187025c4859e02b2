// Package conns sends requests to upstream servers over kept HTTP/1.1
// connections.
//
// One call of [Pool.Send] is one attempt on one connection: nothing is ever
// repeated here, and the outcome says whether the server can have run the
// request. A connection is kept only if the exchange on it was clean: whole
// answer, no byte after it, no word from the server that it will close.
package conns
