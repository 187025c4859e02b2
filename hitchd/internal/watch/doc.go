// Package watch replicates tables of the store in the host and derives the state
// in force from them: the operator's configuration, the evacuated failure
// domains, the servers' records and the rows of the other hosts.
//
// A table is first read completely and then updated from its feed of changes.
// Each replica has the version of the store at which it was read. A host can
// also update its replicas from those of another host, by an [Update], when it
// doesn't read the store itself. A replica never goes back to an older version.
package watch
