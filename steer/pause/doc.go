// Package pause detects that the process didn't run for a while.
//
// A process that is stopped, suspended or starved for seconds goes on with what it
// held before: servers that have left meanwhile, rates that were lent for a time. The
// load pattern is a host that wakes with requests in hand, some between the choice of
// a server and the first byte. Such a choice is repeated, and the host first refreshes
// what it decides from:
//
//	d.Tick(now) // several times a second
//	if d.Since(now, chosenAt) {
//		// Choose again.
//	}
package pause
