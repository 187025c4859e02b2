// Package budget divides a rate limit between hosts by leasing shares of it.
//
// # Lender and buckets
//
// A budget limits a rate, its cap, over all hosts together. The keeper of the
// budget's cell, which is the cell's leaseholder, runs a [Lender]. Each host
// that spends from the budget runs a [Bucket], a local rate limiter. The bucket
// requests a share with a [ShareRequest] and the lender returns a [Grant], a lease on a
// share of the cap. A fixed part of the cap, the floor, is never lent: it is
// divided between the hosts, which may spend it without a lease. All shares
// that may still be spent and the floor together never exceed the cap.
//
// # Why the cap holds
//
// The cap holds in every interval of length [Window], wherever it starts, and
// not just on average:
//
//   - A bucket counts its spending in a sliding window, so a burst counts
//     against its share.
//   - On the spender's clock a grant expires [GrantValidity] after its share request was sent. On
//     the lender's clock it expires [GrantValidity] after it was made, which is later.
//   - The lender counts a share as lent until one window after its expiry.
//   - A lender that has no record of the former keeper's grants lends nothing
//     until all of them must have expired.
//   - A new process spends nothing for one window, because it has no record of
//     what an earlier process of the host spent.
//
// All times come from a monotonic clock that can't be stepped and that also
// counts the time for which the machine is suspended. Clock readings of
// different hosts are never compared; the rates of their clocks may differ by
// 2 percent.
package budget
