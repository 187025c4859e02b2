// Package spread commits changes of the configuration to the platform's table
// and brings accepted changes into force on this host.
//
// # Propagation
//
// A change is accepted when the transaction that moves the table's head row to
// it has committed. The host that committed it pushes it to the hosts of its own
// failure domain and to one host of each other domain, which relays it there.
// The pollers, up to two hosts of each domain, read the head row periodically
// and so find changes whose push was lost. Each host also queries another host
// periodically and fetches the changes that it lacks.
//
// # Order of revisions
//
// A host only moves to greater revisions. Each change contains the digest of the
// change before, so a host can tell a table that was restored from an old copy
// from one that holds newer changes. The host writes the missing changes back to
// a restored table before it accepts others. A table that has accepted other
// changes since the restore has a different history: the host reports it as a
// fork and keeps its own configuration.
package spread
