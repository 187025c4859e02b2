// Package lease decides when a host may act as a keeper and when another host
// may take its place. It holds one lease for each host, not one for each cell.
//
// # Two ways to hold a lease
//
// A holder renews its row in the table; a renewal counts from when it was
// sent. While the table can't be reached, the holder lives in a regime of
// pledges instead: its successor, named in the row, promises again and again
// not to take over. [Holder] is the holder's side.
//
// # Taking over
//
// [Watch] is the side of a host that observes a lease. At the table the
// successor may take over once the row stood unchanged for the length of a
// lease on its own clock and its pledge has lapsed. Without the table it may
// only when it pledged in the open regime and that pledge lapsed. Any other
// host can't see pledges and waits for the much longer [Terms.Extent].
//
// A successor acts only while its own lease is valid. So once its lease is
// over, its role can pass to another host.
//
// No two hosts compare clocks: each time in a message is on the clock of the
// host that made it, and comes back to that host.
package lease
