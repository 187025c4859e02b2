package judge

import (
	"testing"
	"time"

	"magnoliahitch/standin/internal/play"
	"magnoliahitch/standin/internal/serve"
	"magnoliahitch/standin/internal/trace"
)

func limit(v float64) *float64 { return &v }

// TestCheckFindsEachFault checks evidence with one fault of each kind, so that a
// measure that misses its fault doesn't let every replay pass.
func TestCheckFindsEachFault(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	e := Evidence{
		Result: play.Result{
			Records: []play.Record{
				{Service: "care", Attempts: []play.Attempt{{ID: "a", Outcome: "notRun"}}},
				{Service: "care", Attempts: []play.Attempt{{ID: "b", Outcome: "done", Wrong: true}}},
				{Service: "returns", Operation: "lost", Answered: true},
			},
			Events: []play.Event{{Done: start, Fault: trace.Fault{Kind: trace.FaultDrain, Target: "norte-care-1"}}},
		},
		Runs: map[string][]serve.Run{
			"norte-care-1": {
				{At: at(0), Request: "a", Operation: "twice"},
				{At: at(1), Request: "b", Origin: "litoral"},
				{At: at(2), Request: "c", Origin: "litoral"},
				{At: at(2100), Request: "d", Operation: "twice"},
			},
		},
		Regions:      map[string]string{"norte-care-1": "norte"},
		StopFailures: 1,
		ShiftRate:    1,
	}
	for _, m := range []string{
		"doubledOperations", "falseNotRun", "wrongAnswers", "lostOperations", "cutByStop", "shiftExcess",
	} {
		v, err := Check([]trace.Line{{Outcome: &trace.Outcome{Measure: m, Max: limit(0)}}}, e)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := v[0].Got, 1.0; got != want {
			t.Errorf("%s: got %v, want %v", m, got, want)
		}
		if v[0].Pass {
			t.Errorf("%s: got pass, want fail", m)
		}
	}
	if got, want := drainLag(e, ""), 2100.0; got != want {
		t.Errorf("drain lag: got %v, want %v", got, want)
	}
	if got, want := slotPeak(e, ""), 4.0; got != want {
		t.Errorf("slot peak: got %v, want %v", got, want)
	}
}
