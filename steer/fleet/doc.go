// Package fleet holds what a host knows of the upstream servers: the records
// that they register, the failure domains that are evacuated, and how recent
// this knowledge is.
//
// A [Fleet] takes rows as they are read and yields an immutable [View].
// A record that vanishes names a server that is gone, except around an outage
// of the store: records expire there though their servers live, so they stay
// valid until the servers had time to register again.
package fleet
