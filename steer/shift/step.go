package shift

import (
	"time"

	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

// maxBackoff bounds the growth of the time between steps after steps back, as
// a multiple of the pace's own.
const maxBackoff = 8

// Verdict says what a stepper did and why.
type Verdict string

// Verdicts of a stepper.
const (
	// VerdictWait is before the time of the next step.
	VerdictWait Verdict = "wait"
	// VerdictGrow is a step to a greater share.
	VerdictGrow Verdict = "grow"
	// VerdictDone is at the goal.
	VerdictDone Verdict = "done"
	// VerdictPaused is held by the operator.
	VerdictPaused Verdict = "paused"
	// VerdictBlind holds as the destination's load isn't known. A drain goes on
	// after a longer time.
	VerdictBlind Verdict = "blind"
	// VerdictBack is a step to a smaller share since the destination is over
	// its limits.
	VerdictBack Verdict = "back"
)

// Loads gives the last fresh load of a cell.
type Loads interface {
	Load(now time.Time, c place.Cell) (member.Load, bool)
}

// Stepper holds the present share of a planned shift. It is used by the keeper
// of the shift's cell alone, and is not safe for concurrent use.
type Stepper struct {
	share   float64
	changed time.Time
	backoff int
}

// NewStepper returns a stepper at a share that was reached before now.
func NewStepper(now time.Time, share float64) *Stepper {
	return &Stepper{share: share, changed: now, backoff: 1}
}

// Share returns the present share.
func (s *Stepper) Share() float64 { return s.share }

// Adopt raises the share to one that a host was told by an earlier keeper.
func (s *Stepper) Adopt(now time.Time, share float64) {
	if share > s.share {
		s.share, s.changed = share, now
	}
}

// Step moves the share when it is time. A goal below the share holds at once.
func (s *Stepper) Step(now time.Time, p Pace, v Loads) Verdict {
	s.share = min(s.share, p.Goal)
	if p.Paused {
		return VerdictPaused
	}
	strain, known := strained(now, p, v)
	due := !now.Before(s.changed.Add(p.Every))
	switch {
	case strain && due && s.share > 0:
		s.share, s.changed = max(0, s.share-p.Step), now
		s.backoff = min(2*s.backoff, maxBackoff)
		return VerdictBack
	case s.share >= p.Goal:
		s.backoff = 1
		return VerdictDone
	case !known && (!p.Insists || now.Before(s.changed.Add(p.Every*maxBackoff))):
		return VerdictBlind
	case strain || now.Before(s.changed.Add(p.Every*time.Duration(s.backoff))):
		return VerdictWait
	}
	s.share, s.changed = min(p.Goal, s.share+p.Step), now
	return VerdictGrow
}

// strained reports whether some service has no destination within its limits,
// and whether the load of at least one destination of each service is known.
func strained(now time.Time, p Pace, v Loads) (strain, known bool) {
	known = true
	for service, cells := range p.Cells {
		fresh, within := 0, 0
		for _, c := range cells {
			l, ok := v.Load(now, c)
			if !ok {
				continue
			}
			fresh++
			if p.Limits[service].allow(l) {
				within++
			}
		}
		strain = strain || (fresh > 0 && within == 0)
		known = known && fresh > 0
	}
	return strain, known
}

func (m Limits) allow(l member.Load) bool {
	return l.Slots > 0 && l.QueueDelay <= m.QueueDelay && l.RefusedShare <= m.RefusedShare
}
