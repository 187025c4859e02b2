// Package budget divides a rate that must not be exceeded between hosts.
//
// # Lender and buckets
//
// The keeper of a budget cell runs a [Lender]. Each host that spends runs a
// [Bucket]. The bucket asks for a share, the lender answers with a [Grant], a
// lease on a share of the cap. What is lent and may still be spent, plus the
// floor that is never lent, stays at or below the cap.
//
// # Every window
//
// The cap holds in each interval of the length [Window], not on average:
//
//   - A bucket counts its spending in a sliding window, so a burst is part of
//     its share.
//   - A grant ends on the spender's clock [Life] after the ask was sent, and on
//     the lender's clock that long after the grant was made, which is later.
//   - The lender counts a share as lent until a window after it ended.
//   - A lender that doesn't know what its predecessor lent waits until all of
//     that must have ended.
//   - A process that has just started spends nothing for a window, because it
//     doesn't know what it spent before.
//
// Times are those of a clock that can't be stepped and counts suspension. The
// clocks of hosts are never compared; their rates may differ by 2 percent.
package budget
