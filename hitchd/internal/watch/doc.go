// Package watch replicates tables of the store in the host and derives the state
// in force from them: the operator's configuration, the evacuated failure
// domains, the servers' records and the rows of the other hosts.
//
// A table is first read completely and then updated from its feed of changes.
// Each replica has the position of the store at which it was read. A host can
// also update its replicas from those of another host, by an [Update], when it
// doesn't read the store itself. A replica never goes back to an earlier position.
//
// # Eras
//
// A store that is restored from a copy begins a new era: its versions go back, and what
// was written after the copy is gone until it is written again. A replica reads the
// complete table then and keeps what it knows:
//
//   - Of two records of a row the newer one stays, by their content.
//   - A row that the copy lacks stays in use until its writer had time to write it again.
//   - A row that the copy brings back although it was removed isn't used until it would
//     have expired if nobody wrote it.
//
// Hosts send each other what they know of older eras, so that one that has only read the
// copy learns it as well.
package watch
