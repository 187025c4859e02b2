// Package pick decides on which upstream server a request runs.
//
// # Affinity
//
// A server that handled an object lately answers in a fraction of the usual
// time. Requests of one object therefore go to the first servers in the
// object's order by rendezvous hashing, which keeps each object on few servers
// and moves only the objects of the servers that change. A later server in the
// order is chosen when waiting for an earlier one costs more than running on a
// server that is not used to the object.
//
// # Bounds
//
// A server that warms up gets requests from its sponsors alone, at a rate that
// keeps the sum over all hosts within what it tolerates. A server that fails
// attempts is ejected for a while, but never more than a share of a service.
package pick
