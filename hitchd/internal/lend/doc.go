// Package lend runs the budgets of links and shifts on a host.
//
// # Keeper's side
//
// [Lenders] holds a lender for each budget cell that this host keeps, and the
// stepper of each planned shift. It answers the asks of other hosts, and grants
// nothing unless this host's lease on the cell is valid at that moment.
//
// # Spender's side
//
// [Spenders] holds this host's bucket of each budget. Spending never waits for
// the network: leases are renewed in the background, in one message for each
// keeper. Answers whose size isn't known beforehand pass through a [Spenders.Pace]
// reader, which lets bytes go only when they were spent.
package lend
