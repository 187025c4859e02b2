package main

import (
	"time"

	"magnoliahitch/platform"
)

// Times within which a host follows the store, as parts of the platform's bounds. A
// platform that allows more time is asked less often.
const (
	// minServersAge is the age of the servers' table at which a host reads the store
	// itself, for a drain time of 2.5 s or less. drainMargin is what remains of a longer
	// drain time then, for that read and the requests on their way.
	minServersAge = 1600 * time.Millisecond
	drainMargin   = 1200 * time.Millisecond
	// agePerHop is the time by which a replica is older at a host than at the one that
	// reads the store: the interval between two polls and two slow responses.
	agePerHop = 900 * time.Millisecond
	// minOperatorWait is how long a read of the operator's table waits for a change if
	// a configuration must be in force within 2.5 s. applyMargin is what remains of a
	// longer time after a wait. The table is at most operatorHop older at other hosts.
	minOperatorWait = 2 * time.Second
	applyMargin     = time.Second
	operatorHop     = 1200 * time.Millisecond
)

// maxAges returns the ages of the operator's and of the servers' table at which a host
// reads the store itself.
func maxAges(b platform.Bounds) (operator, servers time.Duration) {
	operatorWait, _ := readWaits(b)
	return operatorWait + operatorHop, max(minServersAge, b.Drain-drainMargin)
}

// readWaits returns how long reads of the operator's and of the servers' table wait for
// a change.
func readWaits(b platform.Bounds) (operator, servers time.Duration) {
	return max(minOperatorWait, b.Apply-applyMargin), max(minServersAge, b.Drain-drainMargin) - agePerHop
}
