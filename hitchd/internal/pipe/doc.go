// Package pipe lets an [http.Server] serve pipelined requests.
//
// A caller may send further requests on a connection before the first one has
// been answered. net/http reads the next request only after it has responded to
// the previous one, and it no longer notices that the caller closes the
// connection once a byte of a further request has arrived.
//
// A [Listener] reads each connection ahead, up to a bound, and finds where
// requests begin and end. The http.Server sees one or more lanes for each
// connection. The main lane gets all bytes in order, one request at a time. A
// request that may run beside those before it gets a lane of its own and is
// served at once. All others wait for the main lane. Responses are written in
// the order of the requests; one that is ready early is held.
//
// # Ends of connections
//
// When the caller closes its connection, the contexts of all its requests end.
// When a response closes the connection, requests behind it are dropped: those
// that wait were never handed to the server. In a planned stop a connection is
// closed by the response to the last request that was accepted on it.
//
//	l := pipe.New(raw, pipe.WithConcurrent(isSafe))
//	l.Attach(server)
//	err := server.Serve(l)
package pipe
