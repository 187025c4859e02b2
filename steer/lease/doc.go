// Package lease decides when a host may act as a keeper, and when another host
// may take over its lease. The keeper of a cell is the cell's leaseholder. Each
// host holds one lease for all its cells.
//
// # Two ways to hold a lease
//
// In table mode the holder renews its row in the table; a renewal counts from
// when it was sent. While the table is unreachable, the lease is extended in a
// regime instead: its successor, the host that the row names, repeatedly pledges
// not to take over for the length of a lease. [Holder] implements the holder's
// side.
//
// # Taking over
//
// [Watch] implements the side of a host that observes a lease. If the table is
// reachable, the successor may take over once the row has been unchanged for
// the length of a lease and a margin on its own clock, and its pledge has
// expired. Without the table, it may take over only if it pledged in a regime
// that is still open and that pledge has expired. Any other host can't see
// pledges and waits for the much longer [Params.MaxExtension].
//
// A successor acts only while its own lease is valid. Once that lease has
// ended, another host can therefore adopt its role as a successor.
//
// Clocks of different hosts are never compared: each timestamp in a message is
// on its sender's clock, and the response returns it to that host unchanged.
package lease
