// Package relay passes what one host reads from the store on to the other
// hosts of its failure domain, and keeps the list of the hosts that live.
//
// # Source
//
// The hosts of a failure domain have an order. Each one polls the first live
// host before it, its source; the first one of all reads the store. An answer
// holds what changed since the asking host's versions, with its age, so that
// ages add up along the way and a host always knows how old its copy is. A
// host whose copy gets too old reads the store itself until the source is
// good again.
//
// A host that starts while the store is down knows no other one. It asks the
// seeds of its settings until one of them has told it the hosts' table.
//
// # Members
//
// A poll shows that the host which sends it lives. The source lists the hosts
// that poll it; the first hosts of the domains of a region poll each other for
// their lists. A host that is about to stop says so in a last poll.
package relay
