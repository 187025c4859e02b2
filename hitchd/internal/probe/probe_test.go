package probe

import (
	"context"
	"runtime"
	"testing"
	"time"

	"magnoliahitch/links/clock"
)

// Work that keeps the processor busy delays what arrives from the network, and an idle
// process isn't late.
func TestBusyProcessIsLate(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var p Probe
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- p.Run(ctx) }()
	stop := make(chan struct{})
	start := clock.Now()
	for range 64 {
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
					spin(time.Millisecond)
					runtime.Gosched()
				}
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	close(stop)
	if got, want := p.Worst(clock.Now(), start), 20*time.Millisecond; got < want {
		t.Errorf("worst delay = %v beside 64 busy goroutines, want %v at least", got, want)
	}
	for end := time.Now().Add(10 * time.Second); p.Worst(clock.Now(), clock.Now().Add(-3*interval)) > 20*time.Millisecond; {
		if time.Now().After(end) {
			t.Fatalf("worst delay = %v in an idle process, want less than 20 ms", p.Worst(clock.Now(), clock.Now().Add(-3*interval)))
		}
		time.Sleep(interval)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if got := p.Standing(clock.Now().Add(time.Minute)); got != 0 {
		t.Errorf("standing delay = %v a minute after the probe has ended, want 0", got)
	}
}

// spin uses the processor for the duration.
func spin(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		continue
	}
}
