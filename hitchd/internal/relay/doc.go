// Package relay distributes what one host reads from the store to the other
// hosts of its failure domain, and maintains the list of live hosts.
//
// # Source
//
// The hosts of a failure domain have a fixed order, largest capacity first. Each
// host polls the first host before it that responds, which is its source; the
// first live host reads the store. A response holds the changes since the
// polling host's versions and the age of the data. The ages along the way are
// added, so a host always has the age of its replicas. A host whose replicas
// get too old reads the store itself until its source is current again.
//
// A host that starts while the store is down has no addresses of other hosts. It
// polls the seeds of its settings until one of them has sent it the hosts'
// table.
//
// # Members
//
// A poll serves as the heartbeat of the host that sends it. The first host of a
// domain lists the hosts that poll it, and the first hosts of a region's domains
// poll each other for their lists. A host that is about to stop reports that in
// a last poll.
//
// # Crash reports
//
// Polls also carry reports of requests during which servers crashed, in both directions. Since
// such a request is repeated at any host, the first hosts of the domains exchange reports with the
// other regions as well. Each message has the changes since the revision that the other host has;
// a change that a host makes or receives is sent on at once.
package relay
