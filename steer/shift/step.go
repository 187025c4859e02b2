package shift

import (
	"time"

	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

// maxBackoff is the greatest factor by which a stepper extends the time between two
// steps that the pace gives.
const maxBackoff = 8

// Verdict is the result of [Stepper.Step]: what the stepper did and why.
type Verdict string

// Verdicts of a stepper.
const (
	// VerdictWait means that the next step isn't due yet, or that there is no share
	// to take back although the destinations of a service exceed their limits.
	VerdictWait Verdict = "wait"
	// VerdictGrow means a step to a greater share.
	VerdictGrow Verdict = "grow"
	// VerdictDone means that the share is at the goal.
	VerdictDone Verdict = "done"
	// VerdictPaused means that the operator has paused the shift.
	VerdictPaused Verdict = "paused"
	// VerdictLoadUnknown means that the share is held because the load of a service's
	// destinations is unknown. A drain grows all the same, after [maxBackoff]
	// times the time between steps.
	VerdictLoadUnknown Verdict = "blind"
	// VerdictStepBack means a step to a smaller share because the destinations of a
	// service exceed their limits.
	VerdictStepBack Verdict = "back"
)

// Loads gives access to the loads that cells last reported.
type Loads interface {
	// Load returns the load of a cell. It returns false when the last report is
	// missing or too old.
	Load(now time.Time, c place.Cell) (member.Load, bool)
}

// Stepper changes the share of a planned shift in steps. Only the keeper of the
// shift's cell runs one. It is not safe for concurrent use.
type Stepper struct {
	share     float64
	changedAt time.Time
	// backoff multiplies the time between steps. A step back doubles it, and
	// reaching the goal resets it.
	backoff int
}

// NewStepper returns a stepper that starts at the share. The time between steps
// counts from now.
func NewStepper(now time.Time, share float64) *Stepper {
	return &Stepper{share: share, changedAt: now, backoff: 1}
}

// Share returns the current share, 0 to 1.
func (s *Stepper) Share() float64 { return s.share }

// Adopt raises the share to one that a host received from an earlier keeper. A lower
// share changes nothing.
func (s *Stepper) Adopt(now time.Time, share float64) {
	if share > s.share {
		s.share, s.changedAt = share, now
	}
}

// Step makes the next step when it is due: up to the goal while the destinations are
// within their limits, back when they aren't. A goal below the share applies at once.
func (s *Stepper) Step(now time.Time, p Pace, v Loads) Verdict {
	s.share = min(s.share, p.Goal)
	if p.Paused {
		return VerdictPaused
	}
	exceeded, known := overloaded(now, p, v)
	due := !now.Before(s.changedAt.Add(p.Every))
	switch {
	case exceeded && due && s.share > 0:
		s.share, s.changedAt = max(0, s.share-p.Step), now
		s.backoff = min(2*s.backoff, maxBackoff)
		return VerdictStepBack
	case s.share >= p.Goal:
		s.backoff = 1
		return VerdictDone
	case !known && (!p.GrowsOnUnknownLoad || now.Before(s.changedAt.Add(p.Every*maxBackoff))):
		return VerdictLoadUnknown
	case exceeded || now.Before(s.changedAt.Add(p.Every*time.Duration(s.backoff))):
		return VerdictWait
	}
	s.share, s.changedAt = min(p.Goal, s.share+p.Step), now
	return VerdictGrow
}

// overloaded reports whether for some service all destinations of known load exceed
// their limits, and whether each service has a destination of known load.
func overloaded(now time.Time, p Pace, v Loads) (exceeded, known bool) {
	known = true
	for service, cells := range p.Cells {
		fresh, accepted := 0, 0
		for _, c := range cells {
			l, ok := v.Load(now, c)
			if !ok {
				continue
			}
			fresh++
			if p.Limits[service].satisfiedBy(l) {
				accepted++
			}
		}
		exceeded = exceeded || (fresh > 0 && accepted == 0)
		known = known && fresh > 0
	}
	return exceeded, known
}

// satisfiedBy reports whether the load of a destination is within the limits. A
// destination without slots is not.
func (m Limits) satisfiedBy(l member.Load) bool {
	return l.Slots > 0 && l.QueueDelay <= m.QueueDelay && l.RefusedShare <= m.RefusedShare
}
