// Package lines writes log lines asynchronously, so that slow output never blocks
// the code that logs. Lines pass through a bounded queue. When the queue is full,
// new lines are dropped and counted.
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
	// queueLength is the maximum number of queued lines.
	queueLength = 4096
	// flushInterval is how long a batch collects lines after its first one, so that
	// one write covers several lines.
	flushInterval = 50 * time.Millisecond
	// batchBytes is the size from which a batch is written without further delay.
	batchBytes = 32 << 10
)

// dropped counts the lines that were dropped because the queue was full.
var dropped = metrics.NewCounter("hitch_log_lines_dropped_total")

// Writer is an [io.Writer] that doesn't block. It is safe for concurrent use.
type Writer struct {
	out   io.Writer
	queue chan []byte
	// unreported is the number of dropped lines that the log doesn't mention yet.
	unreported atomic.Int64
}

// New returns a writer to out. Lines are queued until [Writer.Run] writes them.
func New(out io.Writer) *Writer {
	return &Writer{out: out, queue: make(chan []byte, queueLength)}
}

// Write queues a copy of the line, or drops the line if the queue is full. It
// never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		dropped.Inc()
		w.unreported.Add(1)
	}
	return len(line), nil
}

// Run writes the queued lines in batches until the context ends, then the rest of
// the queue. A batch after dropped lines ends with a line that gives their number.
// It always returns nil.
func (w *Writer) Run(ctx context.Context) error {
	var batch []byte
	for {
		select {
		case <-ctx.Done():
			w.drain(batch)
			return nil
		case line := <-w.queue:
			batch = append(batch, line...)
			batch = w.collect(ctx, batch)
		}
		if n := w.unreported.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, "{\"@message\":\"log lines dropped\",\"count\":%d}\n", n)
		}
		w.flush(batch)
		batch = batch[:0]
	}
}

// collect appends the lines that arrive within the flush interval to the batch. It
// returns early when the batch has [batchBytes] or the context ends.
func (w *Writer) collect(ctx context.Context, batch []byte) []byte {
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

// drain writes the batch and all queued lines.
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

// flush writes the batch.
func (w *Writer) flush(batch []byte) {
	// An error is ignored: the log is the only place to report it.
	_, _ = w.out.Write(batch)
}
