package delay

import (
	"sync"
	"time"
)

const (
	// window is the time over which the standing delay is the least one. A processor that
	// is granted in slices of a tenth of a second delays a part of the steps even when the
	// host has little to do.
	window = 150 * time.Millisecond
	// maxSamples bounds the samples that a meter holds.
	maxSamples = 256
)

// Gauge tells how late this process runs.
type Gauge interface {
	// Worst returns the longest delay of steps that ran after the time from, or still wait.
	Worst(now, from time.Time) time.Duration
	// Standing returns the delay that steps have in common lately.
	Standing(now time.Time) time.Duration
}

// Conclusive reports whether the end of a wait that began at the time tells anything of
// the other side: this process ran in time meanwhile, so that it would have noticed an
// answer.
func Conclusive(g Gauge, now, from time.Time) bool { return 4*g.Worst(now, from) < now.Sub(from) }

// sample is the delay of a step that ran at the time.
type sample struct {
	at    time.Time
	delay time.Duration
}

// Meter holds the delays that were measured lately. It implements [Gauge]; its zero value
// has measured none. It is safe for concurrent use.
type Meter struct {
	mu sync.Mutex
	// samples are in the order in which they were recorded.
	samples []sample
	// begun is when the step that waits became ready to run, zero without one.
	begun time.Time
}

// Record records that a step which ran at the time had waited for the delay.
func (m *Meter) Record(now time.Time, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record(now, delay)
}

func (m *Meter) record(now time.Time, delay time.Duration) {
	if len(m.samples) == maxSamples {
		m.samples = append(m.samples[:0], m.samples[maxSamples/4:]...)
	}
	m.samples = append(m.samples, sample{now, delay})
}

// Begin records that a step is ready to run from now on. It reports whether none was
// waiting already.
func (m *Meter) Begin(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.begun.IsZero() {
		return false
	}
	m.begun = now
	return true
}

// End records that the step runs which [Meter.Begin] began.
func (m *Meter) End(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.begun.IsZero() {
		m.record(now, now.Sub(m.begun))
	}
	m.begun = time.Time{}
}

// waiting returns for how long a step has been waiting, 0 for none.
func (m *Meter) waiting(now time.Time) time.Duration {
	if m.begun.IsZero() {
		return 0
	}
	return now.Sub(m.begun)
}

// Worst returns the longest delay of steps that ran after the time from, or still wait.
func (m *Meter) Worst(now, from time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	worst := m.waiting(now)
	for i := len(m.samples) - 1; i >= 0 && m.samples[i].at.After(from); i-- {
		worst = max(worst, m.samples[i].delay)
	}
	return worst
}

// Standing returns the least delay of steps that ran within the latest window, or for how
// long a step has been waiting if that is longer than the window.
func (m *Meter) Standing(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d := m.waiting(now); d > window {
		return d
	}
	var least time.Duration
	for i := len(m.samples) - 1; i >= 0 && now.Sub(m.samples[i].at) < window; i-- {
		if s := m.samples[i]; i == len(m.samples)-1 || s.delay < least {
			least = s.delay
		}
	}
	return least
}
