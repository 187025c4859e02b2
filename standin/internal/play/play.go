package play

import (
	"context"
	"fmt"
	"sync"
	"time"

	"magnoliahitch/standin/internal/trace"
)

// Actor carries out the faults of a trace.
type Actor interface {
	Act(ctx context.Context, f trace.Fault) error
}

// Event is a fault that happened.
type Event struct {
	At    time.Time
	Done  time.Time
	Fault trace.Fault
	Err   error
}

// Result is what came of a replay.
type Result struct {
	Records []Record
	Events  []Event
}

// Run replays the trace in real time and waits for every answer.
func Run(ctx context.Context, lines []trace.Line, callers map[string]*Caller, actor Actor) Result {
	var (
		mu  sync.Mutex
		out Result
		wg  sync.WaitGroup
	)
	start := time.Now()
	for i, l := range lines {
		wait(ctx, time.Until(start.Add(time.Duration(l.At)*time.Millisecond)))
		if ctx.Err() != nil {
			break
		}
		switch {
		case l.Fault != nil:
			wg.Go(func() {
				e := Event{At: time.Now(), Fault: *l.Fault}
				e.Err = actor.Act(ctx, *l.Fault)
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
