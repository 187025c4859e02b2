package judge

import (
	"testing"
	"time"

	"magnoliahitch/standin/internal/play"
	"magnoliahitch/standin/internal/serve"
)

// routed returns evidence of requests that were routed to two services.
func routed() Evidence {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	run := func(s int, server, request, object string) serve.Run {
		return serve.Run{At: at(s), Server: server, Request: request, Object: object}
	}
	return Evidence{
		Regions:  map[string]string{"s1": "norte", "s2": "norte", "c1": "litoral"},
		Services: map[string]string{"s1": "stock", "s2": "stock", "c1": "care"},
		Runs: map[string][]serve.Run{
			"s1": {run(1, "s1", "a.0", "velvet"), run(3, "s1", "c.0", "velvet"), run(5, "s1", "e.0", "")},
			"s2": {run(2, "s2", "b.0", "silk"), run(4, "s2", "d.0", "velvet")},
			"c1": {run(6, "c1", "f.0", "velvet")},
		},
		Result: play.Result{Records: []play.Record{
			{Service: "trial", Allowed: []string{"litoral"}, Attempts: []play.Attempt{{ID: "e.0"}, {ID: "e.1"}}},
			{Service: "trial", Allowed: []string{"litoral"}, Attempts: []play.Attempt{{ID: "f.0"}}},
			{Service: "trial", Attempts: []play.Attempt{{ID: "a.0"}}},
		}},
	}
}

func TestRoutedMeasures(t *testing.T) {
	e := routed()
	// Velvet runs on s1, s1 and s2 in norte, which is one move in two, and once on c1.
	if got, want := objectMoves(e, ""), 0.5; got != want {
		t.Errorf("object moves = %v, want %v", got, want)
	}
	if got := objectMoves(e, "care"); got != 0 {
		t.Errorf("object moves of care = %v, want 0", got)
	}
	if got, want := outsideRegions(e, ""), 1.0; got != want {
		t.Errorf("runs outside = %v, want %v", got, want)
	}
	if got, want := mainServiceShare(e, "trial"), 2.0/3; got != want {
		t.Errorf("share of the main service = %v, want %v", got, want)
	}
}
