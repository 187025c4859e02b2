package retry

import (
	"math"
	"time"
)

// Allowance divides the retries in a window that all hosts may make together beyond the
// share of their requests. What a host gets depends on the number of hosts and on how long
// its process has run, so that the sum holds for any number of hosts and of restarts. The
// zero value allows none. It is not safe for concurrent use.
type Allowance struct {
	retries float64
	started time.Time
	// hosts are the greatest numbers of hosts observed in the present period and in the one
	// before it. Hosts that have just stopped may have retried in the window.
	hosts [2]int
	// position is that of this host among all hosts in order at the end of the period before,
	// next the one that was observed last.
	position, next int
	// period is the number of the present period, each as long as a window.
	period int64
}

// NewAllowance returns the allowance of all hosts together, in retries in a window, for a
// process that started at the time. The zero time says that no process ran on this
// host before.
func NewAllowance(retries float64, started time.Time) *Allowance {
	return &Allowance{retries: min(retries, math.MaxInt32), started: started}
}

// Observe records the number of hosts, this one included, and the position of this host
// among them, from 0. With 0 hosts the number isn't known.
func (a *Allowance) Observe(now time.Time, hosts, position int) {
	a.advance(now)
	if hosts > 0 {
		a.hosts[0] = max(a.hosts[0], hosts)
		a.next = position
	}
}

// Least returns the number of retries in a window that a budget of this host may allow now
// whatever the number of requests is: at most three. A host whose part is below one
// may retry in one of several periods, in turn with the others, and not while their number
// grows. A process gets its part once it
// has run for a window, since the one before it may have made as many retries, and up to then what
// is left of the host's part, in proportion to the time that it has run.
func (a *Allowance) Least(now time.Time) int {
	a.advance(now)
	hosts := max(a.hosts[0], a.hosts[1])
	if hosts == 0 || !(a.retries > 0) {
		return 0
	}
	part := a.retries / float64(hosts)
	least := math.Floor(min(minRetries, part))
	ran := now.Sub(a.started)
	switch {
	case ran < windowLength:
		rest := (part - least) * max(0, ran.Seconds()) / windowLength.Seconds()
		return int(min(least, rest))
	case least >= 1:
		return int(least)
	case a.hosts[0] > a.hosts[1]:
		return 0
	}
	// A window reaches into two periods.
	turns := int64(min(math.Ceil(2/part), math.MaxInt32))
	if (a.period+int64(a.position))%turns == 0 {
		return 1
	}
	return 0
}

// advance begins the period of the present time.
func (a *Allowance) advance(now time.Time) {
	n := now.UnixNano() / int64(windowLength)
	switch {
	case n <= a.period:
		return
	case n == a.period+1:
		a.hosts = [2]int{0, a.hosts[0]}
	default:
		a.hosts = [2]int{}
	}
	a.period, a.position = n, a.next
}
