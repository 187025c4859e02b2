// Package routes holds the routing table that is built from an operator's
// configuration: which service handles a request, and under which limits.
//
// A [Table] is immutable and carries the version of the configuration that it
// was built from. [Table.Find] selects the route of a request by the host name
// and the longest matching path prefix. A [Splitter] distributes the requests
// of a route over its parts in proportion to their weights. Shares are a promise about
// all hosts: whatever one host sends to a part beyond its share is independent of the
// other hosts, or a part of what they may send beyond it together.
package routes
