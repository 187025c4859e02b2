// Package lines writes log lines without ever blocking the writer: lines wait
// in a bounded queue, and those that find it full are counted and dropped.
package lines

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// queueLength is the number of lines that may wait.
	queueLength = 4096
	// flushInterval bounds how long a line waits, so that several share a write.
	flushInterval = 50 * time.Millisecond
	// batchBytes is the size from which waiting lines are written at once.
	batchBytes = 32 << 10
)

var dropped = metrics.NewCounter("hitch_log_lines_dropped_total")

// Writer is an [io.Writer] that doesn't block.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	missing atomic.Int64
}

// New returns a writer to out. Nothing is written before [Writer.Run].
func New(out io.Writer) *Writer {
	return &Writer{out: out, queue: make(chan []byte, queueLength)}
}

// Write queues the line.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		dropped.Inc()
		w.missing.Add(1)
	}
	return len(line), nil
}

// Run writes the lines until the context ends, then those that still wait.
func (w *Writer) Run(ctx context.Context) error {
	var batch []byte
	for {
		select {
		case <-ctx.Done():
			w.drain(batch)
			return nil
		case line := <-w.queue:
			batch = append(batch, line...)
			batch = w.gather(ctx, batch)
		}
		if n := w.missing.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, "{\"@message\":\"log lines dropped\",\"count\":%d}\n", n)
		}
		w.flush(batch)
		batch = batch[:0]
	}
}

// gather adds the lines that come within the interval.
func (w *Writer) gather(ctx context.Context, batch []byte) []byte {
	t := time.NewTimer(flushInterval)
	defer t.Stop()
	for len(batch) < batchBytes {
		select {
		case <-ctx.Done():
			return batch
		case <-t.C:
			return batch
		case line := <-w.queue:
			batch = append(batch, line...)
		}
	}
	return batch
}

func (w *Writer) drain(batch []byte) {
	for {
		select {
		case line := <-w.queue:
			batch = append(batch, line...)
		default:
			w.flush(batch)
			return
		}
	}
}

func (w *Writer) flush(batch []byte) {
	// Nobody can be told that the log itself can't be written.
	_, _ = w.out.Write(batch)
}
