package admin

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

// statusAnswer is the state of the whole as far as this host knows it.
type statusAnswer struct {
	Host     string `json:"host"`
	Revision uint64 `json:"revision"`
	// Current is set when the revision is known to be the greatest accepted
	// one, and CurrentAt when it last was.
	Current   bool       `json:"current"`
	CurrentAt *time.Time `json:"currentAt,omitempty"`
	// Fork tells of another history of the configuration.
	Fork     string         `json:"fork,omitempty"`
	Platform platformStatus `json:"platform"`
	Hosts    []hostStatus   `json:"hosts"`
	Drains   []drainStatus  `json:"drains"`
	Moves    []config.Move  `json:"moves"`
	// Shifts are unknown when ShiftsKnown is unset.
	ShiftsKnown bool    `json:"shiftsKnown"`
	Shifts      []Shift `json:"shifts"`
	Cells       int     `json:"cells"`
	// Keeperless are the cells that have no keeper.
	Keeperless []place.Key `json:"keeperless"`
}

// platformStatus is the state of the platform's table.
type platformStatus struct {
	// State is up, down or unknown.
	State string     `json:"state"`
	Since *time.Time `json:"since,omitempty"`
}

// hostStatus is a host and the configuration in force on it.
type hostStatus struct {
	member.Host
	Revision uint64 `json:"revision"`
	// Known is unset when the host didn't answer.
	Known   bool `json:"known"`
	Lagging bool `json:"lagging"`
}

// drainStatus is a drain and its progress.
type drainStatus struct {
	config.Drain
	Name string `json:"name"`
	// State is draining, drained or unknown.
	State    string `json:"state"`
	InFlight int    `json:"inFlight"`
	// Overdue is set after the planned end.
	Overdue bool `json:"overdue"`
}

// States in status answers.
const (
	stateUp       = "up"
	stateDown     = "down"
	stateUnknown  = "unknown"
	stateDraining = "draining"
	stateDrained  = "drained"
)

func (a *Admin) status(c echo.Context) error {
	ctx := c.Request().Context()
	now := clock.Now()
	conf, st := a.view.Config(), a.commit.State(now)
	out := statusAnswer{
		Host:     a.members.Self().Name,
		Revision: conf.Revision,
		Current:  st.Current,
		Fork:     st.Fork,
		Platform: platformStatus{State: stateUnknown},
		Hosts:    a.hosts(ctx, conf.Revision),
		Moves:    conf.Records().Moves,
	}
	if st.CurrentAge >= 0 {
		out.CurrentAt = wallAgo(st.CurrentAge)
	}
	switch {
	case st.StoreDown:
		out.Platform = platformStatus{stateDown, wallAgo(st.StoreDownAge)}
	case st.StoreKnown:
		out.Platform.State = stateUp
	}
	var r Report
	if a.report != nil {
		r = a.report.Report(ctx)
		out.ShiftsKnown, out.Shifts = len(r.Missing) == 0, r.Shifts
	}
	out.Drains = drains(conf, r)
	for _, k := range place.Keys(conf) {
		out.Cells++
		if _, ok := a.members.Keeper(now, k); !ok {
			out.Keeperless = append(out.Keeperless, k)
		}
	}
	return c.JSON(http.StatusOK, out)
}

// wallAgo returns the wall time of an age.
func wallAgo(d time.Duration) *time.Time {
	t := time.Now().Add(-d).UTC().Round(time.Millisecond)
	return &t
}

// hosts asks every live host for the revision in force on it.
func (a *Admin) hosts(ctx context.Context, revision uint64) []hostStatus {
	known := a.commit.Revisions(ctx)
	var out []hostStatus
	for _, h := range a.members.Live() {
		r, ok := known[h.Name]
		out = append(out, hostStatus{h, r, ok, !ok || r < revision})
	}
	slices.SortFunc(out, func(x, y hostStatus) int { return cmp.Compare(x.Name, y.Name) })
	return out
}

// drains tells the progress of each drain from the work that hosts count.
func drains(conf *config.Config, r Report) []drainStatus {
	var out []drainStatus
	for _, n := range conf.Drains.Names() {
		d := conf.Drains[n]
		s := drainStatus{Drain: d, Name: n, State: stateUnknown}
		if until, err := time.Parse(time.RFC3339, d.Until); err == nil {
			s.Overdue = time.Now().After(until)
		}
		if count, ok := inFlight(conf, d, r); ok {
			s.State, s.InFlight = stateDraining, count
			if count == 0 {
				s.State = stateDrained
			}
		}
		out = append(out, s)
	}
	return out
}

// inFlight counts the requests on the servers that the drain covers. It
// returns false when a server's keeper didn't tell.
func inFlight(conf *config.Config, d config.Drain, r Report) (int, bool) {
	sum := 0
	for _, s := range conf.Servers {
		if !d.Covers(s) {
			continue
		}
		n, ok := r.Busy[s.Name]
		if !ok {
			return 0, false
		}
		sum += n
	}
	return sum, r.Busy != nil
}

type revisionsAnswer struct {
	Revision uint64       `json:"revision"`
	Hosts    []hostStatus `json:"hosts"`
}

func (a *Admin) revisions(c echo.Context) error {
	r := a.view.Config().Revision
	return c.JSON(http.StatusOK, revisionsAnswer{r, a.hosts(c.Request().Context(), r)})
}
