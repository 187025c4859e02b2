package shift

import (
	"testing"
	"time"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

// paceOf returns the pace of the move.
func paceOf(t *testing.T, m config.Move) Pace {
	return Paces(configOf(t, withMove(m)))[place.MoveKey(m)]
}

func TestStepperGrowsToTheGoalInSteps(t *testing.T) {
	s, p := NewStepper(testStart, 0), paceOf(t, moveAB)
	now := testStart
	for _, want := range []float64{0.1, 0.2, 0.3, 0.4, 0.5, 0.5} {
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			s.Step(now, p, testView{})
		}
		if got := s.Share(); got < want-1e-9 || got > want+1e-9 {
			t.Errorf("got share %g after %v, want %g", got, now.Sub(testStart), want)
		}
	}
}

func TestStepper(t *testing.T) {
	slow := map[string]member.Load{"b": {Slots: 6, QueueDelay: 201 * time.Millisecond}}
	refusing := map[string]member.Load{"b": {Slots: 6, Free: 1, RefusedShare: 0.02}}
	paused := moveAB
	paused.Paused = true
	lowered := moveAB
	lowered.Share = 0.2
	for _, c := range []struct {
		name string
		move config.Move
		view testView
		want Verdict
		// share is the expected share one step after 0.3.
		share float64
	}{
		{"slow destination", moveAB, testView{loads: slow}, VerdictStepBack, 0.2},
		{"refusing destination", moveAB, testView{loads: refusing}, VerdictStepBack, 0.2},
		{"paused by the operator", paused, testView{}, VerdictPaused, 0.3},
		{"unknown load", moveAB, testView{noLoads: true}, VerdictLoadUnknown, 0.3},
		{"goal lowered", lowered, testView{}, VerdictDone, 0.2},
		{"destination within its limits", moveAB, testView{}, VerdictGrow, 0.4},
	} {
		s := NewStepper(testStart, 0.3)
		verdict := s.Step(testStart.Add(time.Second), paceOf(t, c.move), c.view)
		if got := s.Share(); verdict != c.want || got < c.share-1e-9 || got > c.share+1e-9 {
			t.Errorf("%s: got %s to %g, want %s to %g", c.name, verdict, got, c.want, c.share)
		}
	}
}

func TestDrainGrowsSlowlyWithoutLoads(t *testing.T) {
	c := configOf(t, withDrain(config.TargetRegion, "a"))
	k, _ := place.DrainKey(c, c.Drains["d-a"])
	s, p := NewStepper(testStart, 0), Paces(c)[k]
	if got, want := s.Step(testStart.Add(maxBackoff*p.Every-1), p, testView{noLoads: true}), VerdictLoadUnknown; got != want {
		t.Errorf("got %s before maxBackoff times the time between steps, want %s", got, want)
	}
	if got, want := s.Step(testStart.Add(maxBackoff*p.Every), p, testView{noLoads: true}), VerdictGrow; got != want {
		t.Errorf("got %s after maxBackoff times the time between steps, want %s", got, want)
	}
}

func TestStepBackDoublesTheTimeBetweenSteps(t *testing.T) {
	s, p := NewStepper(testStart, 0.3), paceOf(t, moveAB)
	slow := testView{loads: map[string]member.Load{"b": {Slots: 6, QueueDelay: time.Second}}}
	s.Step(testStart.Add(time.Second), p, slow)
	if got, want := s.Step(testStart.Add(2*time.Second), p, testView{}), VerdictWait; got != want {
		t.Errorf("got %s one step time after a step back, want %s", got, want)
	}
	if got, want := s.Step(testStart.Add(3*time.Second), p, testView{}), VerdictGrow; got != want {
		t.Errorf("got %s two step times after a step back, want %s", got, want)
	}
}
