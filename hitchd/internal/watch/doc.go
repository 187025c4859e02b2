// Package watch follows the tables of the store and keeps what they say in
// force: the operator's configuration, the evacuated failure domains, the
// servers' records and the rows of the other hosts.
//
// A table is read whole once and then followed by its changes. What a host
// knows of the operator's and the servers' tables is a [Copy] with the version
// of the store at which it was read; a host that can't reach the store adopts
// the copy of one that can, and no copy ever replaces a newer one.
package watch
