// Package probe measures how late this process runs what the network makes ready to run.
package probe

import (
	"context"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/delay"
)

// interval is the time between two measurements.
const interval = 50 * time.Millisecond

var delays = metrics.NewHistogram(`hitch_process_delay_seconds`)

// Probe measures the delays of this process. It sends itself a byte at each interval,
// which its reader gets in the way and in the turn of all that arrives from the network.
type Probe struct{ delay.Meter }

// Run measures until the context ends. It returns an error if the system gives it no pipe, or
// closes it.
func (p *Probe) Run(ctx context.Context) error {
	r, w, err := os.Pipe()
	if err != nil {
		return errors.Wrap(err, "open pipe of the delay probe")
	}
	failed := make(chan error, 1)
	go func() { failed <- p.read(r) }()
	defer func() {
		_ = r.Close()
		_ = w.Close()
		// A byte that nobody reads any more delays nothing.
		p.End(clock.Now())
	}()
	t := time.NewTicker(interval)
	defer t.Stop()
	due := clock.Now().Add(interval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return errors.Wrap(err, "read from the pipe of the delay probe")
		case <-t.C:
		}
		now := clock.Now()
		if late := now.Sub(due); late > 0 {
			// A process that was stopped runs its timers late too.
			p.Record(now, late)
		}
		due = now.Add(interval)
		if !p.Begin(now) {
			continue
		}
		if _, err := w.Write([]byte{0}); err != nil {
			return errors.Wrap(err, "write to the pipe of the delay probe")
		}
	}
}

// read records the arrival of each byte until reading the pipe fails.
func (p *Probe) read(r *os.File) error {
	b := make([]byte, 1)
	for {
		if _, err := r.Read(b); err != nil {
			return err
		}
		now := clock.Now()
		delays.Update(p.Worst(now, now).Seconds())
		p.End(now)
	}
}
