// Package pick selects the upstream server that a host sends a request to.
//
// # Affinity
//
// A server that recently handled an object responds to further requests for it
// in a fraction of the usual time, as if the object were cached. Rendezvous
// hashing gives every object a fixed order of the servers, and requests for the
// object go to the first ones of that order. This keeps an object on few servers,
// and when servers are added or removed only the objects of these servers move.
// A later server in the order is selected when it has the lower estimated cost,
// because waiting for an earlier one would take longer than a cache miss.
//
// # Spillover
//
// Servers of the host's own region are preferred. When they can't handle the
// load of the region's callers, a share of the objects is assigned to servers
// of remote regions. The share changes at a bounded rate.
//
// # Limits
//
// A server that warms up gets requests only from hosts that are its sponsors,
// at a rate that keeps the total of all hosts within what the server can handle.
// So does a server that may be warming up without this host's knowledge: one that
// may have restarted, or whose failure domain was evacuated. It counts as suspected
// until evidence from after the event shows that it is warm: a record written, or a
// health check sent, later.
// A server on which attempts fail is ejected for a limited time, but only a
// bounded share of a service's servers is ejected at once.
package pick
