// Package gossip tells the hosts of each other over datagrams: who lives, who
// is about to stop, and how new each one's copy of the store's tables is.
//
// A host that is not heard counts as dead. Its datagrams go to every host that
// the store's table or an earlier datagram names, so that a host which just
// started becomes known at once. A host whose own reads of the store fail
// fetches the copy of a host that reports a newer one.
package gossip
