// Package routes holds the routing table that an operator's configuration
// yields: which request goes to which service, and under which limits.
//
// A [Table] is immutable and carries the version of the configuration that it
// was made from. [Table.Find] selects the route of a request by the host name
// and the longest matching prefix of the path. [Splitter] distributes the
// requests of a route over its weighted parts.
package routes
