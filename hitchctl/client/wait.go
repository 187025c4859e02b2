package client

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// pollInterval is the time between two checks of an awaited condition.
const pollInterval = 200 * time.Millisecond

// until polls f until it reports nothing missing. A conflict ends the wait at
// once; other errors are retried. After the limit it returns an error with the
// code [ExitTimeout] that names what is still missing.
func (s *session) until(limit time.Duration, f func() (missing string, err error)) error {
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	printed := ""
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
		if missing != printed && !s.JSON {
			fmt.Fprintln(s.err, "waiting:", missing)
			printed = missing
		}
		select {
		case <-s.ctx.Done():
			return s.ctx.Err()
		case <-deadline.C:
			return withExitCode(ExitTimeout, errors.Errorf("timed out after %s: %s", limit, missing))
		case <-tick.C:
		}
	}
}

type revisionsResponse struct {
	Hosts []hostStatus `json:"hosts"`
}

// waitInForce waits until every live host has at least the revision in force.
func (s *session) waitInForce(revision uint64, limit time.Duration) error {
	err := s.until(limit, func() (string, error) {
		var a revisionsResponse
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
