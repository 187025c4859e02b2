package main

import (
	"testing"
	"time"

	"magnoliahitch/platform"
)

// Whatever bounds a platform sets, a server that leaves is known everywhere in time,
// also if the host that reads the store for the others loses it just then.
func TestWaitsKeepTheBounds(t *testing.T) {
	const (
		// read is the time of a read of a slow store, poll that between two polls of
		// the source.
		read = 300 * time.Millisecond
		poll = 400 * time.Millisecond
	)
	for _, bound := range []time.Duration{2500 * time.Millisecond, 3 * time.Second, 4 * time.Second, 10 * time.Second} {
		b := platform.Bounds{Drain: bound, Apply: bound}
		operatorWait, serversWait := readWaits(b)
		operatorAge, serversAge := maxAges(b)
		if got := serversAge + read; got >= bound {
			t.Errorf("bound %v: a host without its source learns of a server after %v", bound, got)
		}
		if serversWait+poll+read >= serversAge || operatorWait+poll+read >= operatorAge {
			t.Errorf("bound %v: replicas count as too old although nothing failed: waits %v and %v, ages %v and %v", bound, operatorWait, serversWait, operatorAge, serversAge)
		}
	}
	if _, servers := readWaits(platform.Bounds{}); servers <= 0 {
		t.Errorf("wait without bounds = %v, want more than 0", servers)
	}
}

// A host whose source gets no changes any more reads both tables itself before they are
// older than the platform allows: the ages at which it begins must leave the time for it.
func TestOwnReadsBeginWithinTheBounds(t *testing.T) {
	const (
		// check is the time between two checks of the ages, read that of a read of a slow
		// store.
		check = 150 * time.Millisecond
		read  = 300 * time.Millisecond
	)
	for _, bound := range []time.Duration{2500 * time.Millisecond, 3 * time.Second, 4 * time.Second, 10 * time.Second} {
		operator, servers := maxAges(platform.Bounds{Drain: bound, Apply: bound})
		for table, age := range map[string]time.Duration{"operator": operator, "servers": servers} {
			if got := age + check + read; got > bound {
				t.Errorf("bound %v: the table of the %s is %v old before a host has read it itself", bound, table, got)
			}
		}
	}
}
