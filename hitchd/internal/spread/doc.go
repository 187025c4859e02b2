// Package spread commits changes of the configuration to the platform's table
// and brings accepted changes into force on this host.
//
// # Paths of a change
//
// A change is accepted when the transaction that moves the table's head row
// has committed. The host that committed it pushes it to the hosts of its own
// failure domain and to one host of each other domain, which relays it. One or
// two hosts of each domain poll the head row and find what no push brought.
// Every host asks another one from time to time and pulls what it lacks.
//
// # Never back
//
// A host moves to greater revisions only. Each change holds the digest of the
// one before, so a table that was restored from an old copy is told from one
// that leads: the missing rows are written back to it before anything else is
// accepted, and a table that has accepted other changes meanwhile is reported
// as a fork and not followed.
package spread
