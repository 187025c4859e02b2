// Package fleet keeps a host's view of the upstream servers: the records that
// the servers register in the store, and the failure domains that are
// evacuated.
//
// A [Fleet] merges records as they are read from the store and produces an
// immutable [View]. A record that disappears from the store normally means
// that its server no longer runs. After a long outage of the store it may also have
// expired while its server was running, because the server could not write
// heartbeats. Such a record therefore stays valid until the servers had time to
// register again.
//
// A view also tells the last evacuation of each failure domain, because a server that
// wasn't used for a while may have become cold.
package fleet
