package client

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// pollInterval is the time between two looks at what is waited for.
const pollInterval = 200 * time.Millisecond

// until calls f until it is done, at each interval. It returns [ExitTimeout]
// with what was still missing after the time.
func (s *session) until(limit time.Duration, f func() (missing string, err error)) error {
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	told := ""
	for {
		missing, err := f()
		if err == nil && missing == "" {
			return nil
		}
		var ee *exitError
		if errors.As(err, &ee) && ee.code == ExitConflict {
			return err
		}
		if err != nil {
			missing = err.Error()
		}
		if missing != told && !s.JSON {
			fmt.Fprintln(s.err, "waiting:", missing)
			told = missing
		}
		select {
		case <-s.ctx.Done():
			return s.ctx.Err()
		case <-deadline.C:
			return exit(ExitTimeout, errors.Errorf("timed out after %s: %s", limit, missing))
		case <-tick.C:
		}
	}
}

type revisionsAnswer struct {
	Hosts []hostStatus `json:"hosts"`
}

// waitInForce returns when every live host has the revision in force.
func (s *session) waitInForce(revision uint64, limit time.Duration) error {
	err := s.until(limit, func() (string, error) {
		var a revisionsAnswer
		if err := s.get("/v1/revisions", &a); err != nil {
			return "", err
		}
		var lagging []string
		for _, h := range a.Hosts {
			switch {
			case !h.Known:
				lagging = append(lagging, h.Name+" (no answer)")
			case h.Revision < revision:
				lagging = append(lagging, fmt.Sprintf("%s (revision %d)", h.Name, h.Revision))
			}
		}
		if len(lagging) == 0 {
			return "", nil
		}
		return "not in force on " + strings.Join(lagging, ", "), nil
	})
	if err == nil && !s.JSON {
		fmt.Fprintf(s.out, "revision %d is in force on every live host\n", revision)
	}
	return err
}
