// Package fresh decides whether a host may act by its replica of a table of the store.
//
// A host that knows a table only as it was before the bound may send requests to servers
// that have left, or by routes that were changed. While it can reach the store, that is
// due to the host itself, its source or its processor, and it refuses requests until it
// has read the table. While the store doesn't answer, what it knows is all there is, and
// it goes on. The load patterns are a host with more requests than it has processor time
// for, and an outage of the store.
package fresh
