package delay

import (
	"sync"
	"time"
)

const (
	// busyDelay is the standing delay from which a host takes fewer requests, and idleDelay
	// the one below which it takes more. A request waits for some five steps, and a poll by
	// which the host follows the store for two or three.
	busyDelay = 60 * time.Millisecond
	idleDelay = 30 * time.Millisecond
	// stopDelay is the standing delay from which a host takes no request.
	stopDelay = 200 * time.Millisecond
	// adjustInterval is the least time between two changes of the limit.
	adjustInterval = 100 * time.Millisecond
	// decrease and increase are the factors of a change. With the two, a host finds what it
	// bears within a second or two.
	decrease = 0.8
	increase = 1.1
	// minRate is the least limit in requests/s.
	minRate = 2
	// burstTime is the time for which a limit may be exceeded.
	burstTime = 100 * time.Millisecond
)

// Limiter limits the requests that a host takes to what its processor bears, by the
// standing delay. Its zero value has no limit. It is safe for concurrent use.
type Limiter struct {
	mu sync.Mutex
	// rate is the limit in requests/s, 0 for none. tokens are the requests that may be taken
	// at the time refilled.
	rate     float64
	tokens   float64
	refilled time.Time
	// adjusted is when the limit was last changed or confirmed. Offered and taken count
	// requests since then.
	adjusted       time.Time
	offered, taken int
}

// Admit reports whether the host takes a request at a standing delay. Of the requests within
// the limit, the last half of a burst is for urgent ones.
func (l *Limiter) Admit(now time.Time, standing time.Duration, urgent bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adjust(now, standing)
	l.offered++
	if standing >= stopDelay {
		return false
	}
	if l.rate > 0 {
		burst := max(2, l.rate*burstTime.Seconds())
		l.tokens = min(burst, l.tokens+l.rate*now.Sub(l.refilled).Seconds())
		l.refilled = now
		need := 1.0
		if !urgent {
			need += burst / 2
		}
		if l.tokens < need {
			return false
		}
		l.tokens--
	}
	l.taken++
	return true
}

// adjust changes the limit by the standing delay. A change shows in the delay of steps that
// become ready after it.
func (l *Limiter) adjust(now time.Time, standing time.Duration) {
	since := now.Sub(l.adjusted)
	if since < adjustInterval || l.rate > 0 && standing >= busyDelay && since < min(standing, stopDelay) {
		return
	}
	perSecond := func(n int) float64 { return float64(n) / since.Seconds() }
	switch {
	case standing >= busyDelay:
		if l.rate == 0 {
			l.rate, l.refilled = perSecond(l.taken), now
		}
		l.rate = max(minRate, decrease*l.rate)
	case standing < idleDelay && l.rate > 0:
		l.rate = increase*l.rate + 1
		if l.rate > 2*perSecond(l.offered) {
			l.rate = 0
		}
	}
	l.adjusted, l.offered, l.taken = now, 0, 0
}
