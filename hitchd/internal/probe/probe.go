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

// Run measures until the context ends. It returns an error if the system gives it no pipe.
func (p *Probe) Run(ctx context.Context) error {
	r, w, err := os.Pipe()
	if err != nil {
		return errors.Wrap(err, "open pipe of the delay probe")
	}
	defer func() { _ = r.Close(); _ = w.Close() }()
	go p.read(r)
	t := time.NewTicker(interval)
	defer t.Stop()
	due := clock.Now().Add(interval)
	for {
		select {
		case <-ctx.Done():
			return nil
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

// read records the arrival of each byte until the pipe is closed.
func (p *Probe) read(r *os.File) {
	b := make([]byte, 1)
	for {
		if _, err := r.Read(b); err != nil {
			return
		}
		now := clock.Now()
		delays.Update(p.Worst(now, now).Seconds())
		p.End(now)
	}
}
