// Package lend runs the budgets of links and shifts on a host.
//
// A budget limits a rate over all hosts together. Its keeper, the host that holds
// the lease of the budget's cell, lends shares of the rate to the hosts that spend
// from it. A host sends a share request, and the keeper responds with a
// grant. Package budget has the algorithms; this package adds the messages, the
// locks and the metrics.
//
// # Keeper's side
//
// [Lenders] holds the lenders of each budget cell that this host keeps, and the
// stepper of each planned shift. It handles the share requests of other hosts, and grants
// nothing unless this host's lease on the cell is valid at that moment.
//
// # Spender's side
//
// [Spenders] holds this host's bucket of each budget. Spending never waits for
// the network: shares are renewed in the background, with one message for each
// keeper. A response whose size isn't known beforehand is read through
// [Spenders.Pace], which returns bytes only after they were spent.
package lend
