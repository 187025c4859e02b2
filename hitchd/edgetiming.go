package main

import (
	"time"

	"magnoliahitch/platform"
	"magnoliahitch/steer/fresh"
)

// Times within which a host follows the store, as parts of the platform's bounds. A
// platform that allows more time is asked less often.
const (
	// minAge is the age of a table at which a host reads the store itself, for a bound of
	// 2.5 s or less. followMargin is what remains of a longer bound then: for a check of the
	// age, a read that is overdue, and the requests on their way.
	minAge       = 1600 * time.Millisecond
	followMargin = 900 * time.Millisecond
	// agePerHop is the time by which a replica is older at a host than at the one that
	// reads the store: the interval between two polls and two slow responses.
	agePerHop = 900 * time.Millisecond
	// sendMargin is the time that a request may take from this host's decision to a server.
	sendMargin = 250 * time.Millisecond
	// defaultContact is the time after a cut within which a host must follow the store again,
	// unless the platform sets one.
	defaultContact = 4 * time.Second
)

// maxAge returns the age of a table with the bound at which a host reads the store itself.
func maxAge(bound time.Duration) time.Duration { return max(minAge, bound-followMargin) }

// maxAges returns the ages of the operator's and of the servers' table at which a host
// reads the store itself.
func maxAges(b platform.Bounds) (operator, servers time.Duration) {
	return maxAge(b.Apply), maxAge(b.Drain)
}

// readWaits returns how long reads of the operator's and of the servers' table wait for
// a change.
func readWaits(b platform.Bounds) (operator, servers time.Duration) {
	return maxAge(b.Apply) - agePerHop, maxAge(b.Drain) - agePerHop
}

// useBounds returns up to when requests are decided by the operator's and by the servers'
// table.
func useBounds(b platform.Bounds) (operator, servers fresh.Bounds) {
	return useBound(b.Apply, b.Contact), useBound(b.Drain, b.Contact)
}

func useBound(bound, contact time.Duration) fresh.Bounds {
	if contact <= 0 {
		contact = defaultContact
	}
	return fresh.Bounds{Age: max(0, bound-sendMargin), Contact: contact}
}
