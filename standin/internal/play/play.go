package play

import (
	"context"
	"fmt"
	"sync"
	"time"

	"magnoliahitch/standin/internal/trace"
)

// FaultInjector applies the faults of a trace to the deployment.
type FaultInjector interface {
	Inject(ctx context.Context, f trace.Fault) error
}

// Event is a fault that was applied, with the times of its start and end and its
// error.
type Event struct {
	At    time.Time
	Done  time.Time
	Fault trace.Fault
	Err   error
}

// Result holds the callers' records and the faults of a replay, in the order in
// which they ended.
type Result struct {
	Records []Record
	Events  []Event
}

// Run replays the trace in real time and waits until every request and fault has
// ended. It sends requests open-loop: without waiting for earlier responses.
func Run(ctx context.Context, lines []trace.Line, callers map[string]*Caller, injector FaultInjector) Result {
	var (
		mu  sync.Mutex
		out Result
		wg  sync.WaitGroup
	)
	start := time.Now()
	for i, l := range lines {
		sleep(ctx, time.Until(start.Add(time.Duration(l.At)*time.Millisecond)))
		if ctx.Err() != nil {
			break
		}
		switch {
		case l.Fault != nil:
			wg.Go(func() {
				e := Event{At: time.Now(), Fault: *l.Fault}
				e.Err = injector.Inject(ctx, *l.Fault)
				e.Done = time.Now()
				mu.Lock()
				defer mu.Unlock()
				out.Events = append(out.Events, e)
			})
		case l.Request != nil:
			wg.Go(func() {
				r := callers[l.Request.Region].Send(ctx, fmt.Sprintf("trace-%d", i), l.Request)
				mu.Lock()
				defer mu.Unlock()
				out.Records = append(out.Records, r)
			})
		}
	}
	wg.Wait()
	return out
}
