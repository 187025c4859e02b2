// Package judge computes measures of a replay from the callers' records and from
// the runs that the upstream servers recorded, and checks the expected outcomes.
package judge

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"magnoliahitch/standin/internal/play"
	"magnoliahitch/standin/internal/serve"
	"magnoliahitch/standin/internal/trace"
)

// ReadRuns reads the records that a server wrote. It skips lines that can't be
// decoded, such as an incomplete last line of a killed server.
func ReadRuns(r io.Reader) ([]serve.Run, error) {
	var out []serve.Run
	s := bufio.NewScanner(r)
	for s.Scan() {
		var run serve.Run
		if err := json.Unmarshal(s.Bytes(), &run); err != nil {
			continue
		}
		out = append(out, run)
	}
	if err := s.Err(); err != nil {
		return nil, errors.Wrap(err, "read runs")
	}
	return out, nil
}

// Evidence holds the data from which measures are computed.
type Evidence struct {
	Result play.Result
	// Runs holds the records of each server, in the order in which they were written.
	Runs map[string][]serve.Run
	// Regions maps each server to its region.
	Regions map[string]string
	// Services maps each server to its service.
	Services map[string]string
	// StopFailures is the number of graceful stops that failed.
	StopFailures int
	// ShiftRate is the cap on shifted requests/s for each service, or 0.
	ShiftRate float64
}

// Verdict is an expected outcome with the measured value.
type Verdict struct {
	Outcome trace.Outcome
	Got     float64
	Pass    bool
}

// Check computes the measure of every expected outcome and checks its bounds. An
// unknown measure is an error.
func Check(lines []trace.Line, e Evidence) ([]Verdict, error) {
	var out []Verdict
	for _, l := range lines {
		if l.Outcome == nil {
			continue
		}
		o := *l.Outcome
		f, ok := measures[o.Measure]
		if !ok {
			return nil, errors.Errorf("outcome names unknown measure %q", o.Measure)
		}
		got := f(e, o.Service)
		pass := (o.Min == nil || got >= *o.Min) && (o.Max == nil || got <= *o.Max)
		out = append(out, Verdict{o, got, pass})
	}
	return out, nil
}

// measure computes a value. Measures that depend on the service cover all services
// if it is empty.
type measure func(e Evidence, service string) float64

var measures = map[string]measure{
	"doubledOperations": doubledOperations,
	"falseNotRun":       falseNotRun,
	"wrongAnswers":      wrongAnswers,
	"lostOperations":    lostOperations,
	"answeredShare":     answeredShare,
	"slotPeak":          slotPeak,
	"drainLagMs":        drainLag,
	"cutByStop":         cutByStop,
	"shiftExcess":       shiftExcess,
	"crashes":           crashes,
	"recoveryMs":        recovery,
	"objectMoves":       objectMoves,
	"outsideRegions":    outsideRegions,
	"mainServiceShare":  mainServiceShare,
}

// forEachStart calls f with the start record of each run.
func forEachStart(e Evidence, f func(serve.Run)) {
	for _, runs := range e.Runs {
		for _, r := range runs {
			if !r.End {
				f(r)
			}
		}
	}
}

// doubledOperations counts operations that ran more than once, on any servers.
func doubledOperations(e Evidence, _ string) float64 {
	count := make(map[string]int)
	forEachStart(e, func(r serve.Run) {
		if r.Operation != "" {
			count[r.Operation]++
		}
	})
	doubled := 0
	for _, n := range count {
		if n > 1 {
			doubled++
		}
	}
	return float64(doubled)
}

// falseNotRun counts attempts that ran although the response said that they had
// not run.
func falseNotRun(e Evidence, _ string) float64 {
	ran := make(map[string]bool)
	forEachStart(e, func(r serve.Run) { ran[r.Request] = true })
	n := 0
	for _, r := range e.Result.Records {
		for _, a := range r.Attempts {
			if a.Outcome == "notRun" && ran[a.ID] {
				n++
			}
		}
	}
	return float64(n)
}

// wrongAnswers counts responses with outcome done and status 200 whose body isn't
// that of the request.
func wrongAnswers(e Evidence, _ string) float64 {
	n := 0
	for _, r := range e.Result.Records {
		for _, a := range r.Attempts {
			if a.Wrong {
				n++
			}
		}
	}
	return float64(n)
}

// lostOperations counts operations that were answered but never ran.
func lostOperations(e Evidence, _ string) float64 {
	ran := make(map[string]bool)
	forEachStart(e, func(r serve.Run) { ran[r.Operation] = true })
	n := 0
	for _, r := range e.Result.Records {
		if r.Operation != "" && r.Answered && !ran[r.Operation] {
			n++
		}
	}
	return float64(n)
}

// answeredShare returns the share of requests that were answered, 0 without
// requests.
func answeredShare(e Evidence, service string) float64 {
	all, answered := 0, 0
	for _, r := range e.Result.Records {
		if service != "" && r.Service != service {
			continue
		}
		all++
		if r.Answered {
			answered++
		}
	}
	if all == 0 {
		return 0
	}
	return float64(answered) / float64(all)
}

// slotPeak returns the largest number of concurrent runs on any server. A run
// without an end record, as a crash leaves it, counts until the end of the replay.
func slotPeak(e Evidence, _ string) float64 {
	peak := 0
	for _, runs := range e.Runs {
		busy := make(map[string]bool)
		for _, r := range runs {
			if r.End {
				delete(busy, r.Request)
				continue
			}
			busy[r.Request] = true
			peak = max(peak, len(busy))
		}
	}
	return float64(peak)
}

// drainLag returns the longest time, in milliseconds, from the declaration of a
// server's drain to the last start of a run on the server.
func drainLag(e Evidence, _ string) float64 {
	var lag time.Duration
	for _, ev := range e.Result.Events {
		if ev.Fault.Kind != trace.FaultDrain {
			continue
		}
		for _, r := range e.Runs[ev.Fault.Target] {
			if !r.End {
				lag = max(lag, r.At.Sub(ev.Done))
			}
		}
	}
	return float64(lag.Milliseconds())
}

// cutByStop returns the number of graceful stops that failed: the process exited
// with an error or didn't exit in time. The requests that were cut aren't counted.
func cutByStop(e Evidence, _ string) float64 {
	return float64(e.StopFailures)
}

// shiftExcess returns by how many requests the busiest window of one second
// exceeded a service's cap on shifted requests, those that ran in another region
// than the caller's. It is the largest excess of any service, at least 0.
func shiftExcess(e Evidence, _ string) float64 {
	times := make(map[string][]time.Time)
	forEachStart(e, func(r serve.Run) {
		if r.Origin == "" || r.Origin == e.Regions[r.Server] {
			return
		}
		times[serviceOf(r.Server)] = append(times[serviceOf(r.Server)], r.At)
	})
	excess := 0.0
	for _, t := range times {
		excess = max(excess, float64(peakPerSecond(t))-e.ShiftRate)
	}
	return excess
}

// crashes counts runs that crashed their server.
func crashes(e Evidence, _ string) float64 {
	n := 0
	forEachStart(e, func(r serve.Run) {
		if r.Crash {
			n++
		}
	})
	return float64(n)
}

// recovery returns the longest time, in milliseconds, from the kill of a keeper to
// the start of the last request that wasn't answered.
func recovery(e Evidence, service string) float64 {
	var longest time.Duration
	for _, ev := range e.Result.Events {
		if ev.Fault.Kind != trace.FaultKillKeeper {
			continue
		}
		for _, r := range e.Result.Records {
			if !r.Answered && (service == "" || r.Service == service) {
				longest = max(longest, r.Start.Sub(ev.Done))
			}
		}
	}
	return float64(longest.Milliseconds())
}

// Latencies returns a histogram of the latencies of answered requests for each
// service, in microseconds.
func Latencies(e Evidence) map[string]*hdrhistogram.Histogram {
	out := make(map[string]*hdrhistogram.Histogram)
	for _, r := range e.Result.Records {
		if !r.Answered {
			continue
		}
		h := out[r.Service]
		if h == nil {
			h = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			out[r.Service] = h
		}
		_ = h.RecordValue(r.Latency.Microseconds())
	}
	return out
}
