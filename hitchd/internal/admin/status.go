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

// statusResponse is the state of the deployment as this host sees it.
type statusResponse struct {
	Host     string `json:"host"`
	Revision uint64 `json:"revision"`
	// Current is set when the revision is known to be the greatest accepted
	// one. CurrentAt is when that was last known.
	Current   bool       `json:"current"`
	CurrentAt *time.Time `json:"currentAt,omitempty"`
	// Fork describes a conflicting history of the configuration, if one was
	// seen.
	Fork     string         `json:"fork,omitempty"`
	Platform platformStatus `json:"platform"`
	Hosts    []hostStatus   `json:"hosts"`
	Drains   []drainStatus  `json:"drains"`
	Moves    []config.Move  `json:"moves"`
	// ShiftsKnown is unset when Shifts may be incomplete.
	ShiftsKnown bool    `json:"shiftsKnown"`
	Shifts      []Shift `json:"shifts"`
	Cells       int     `json:"cells"`
	// Keeperless lists the cells without a keeper.
	Keeperless []place.Key `json:"keeperless"`
}

// platformStatus is the state of the platform's table.
type platformStatus struct {
	// State is up, down or unknown.
	State string `json:"state"`
	// Since is when the table was first seen down. It is left out in other
	// states.
	Since *time.Time `json:"since,omitempty"`
}

// hostStatus is a host and the revision of the configuration in force on it.
type hostStatus struct {
	member.Host
	Revision uint64 `json:"revision"`
	// Known is unset when the host did not respond. Such a host counts as
	// lagging.
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
	// Overdue is set once the planned end of the drain has passed.
	Overdue bool `json:"overdue"`
}

// States in status responses.
const (
	stateUp       = "up"
	stateDown     = "down"
	stateUnknown  = "unknown"
	stateDraining = "draining"
	stateDrained  = "drained"
)

// status responds with the state of the deployment.
func (a *Admin) status(c echo.Context) error {
	ctx := c.Request().Context()
	now := clock.Now()
	conf, st := a.view.Config(), a.commit.State(now)
	out := statusResponse{
		Host:     a.members.Self().Name,
		Revision: conf.Revision,
		Current:  st.Current,
		Fork:     st.Fork,
		Platform: platformStatus{State: stateUnknown},
		Hosts:    a.hostStatuses(ctx, conf.Revision),
		Moves:    conf.Records().Moves,
	}
	if st.CurrentAge >= 0 {
		out.CurrentAt = wallTime(st.CurrentAge)
	}
	switch {
	case st.StoreDown:
		out.Platform = platformStatus{stateDown, wallTime(st.StoreDownAge)}
	case st.StoreKnown:
		out.Platform.State = stateUp
	}
	var r Report
	if a.report != nil {
		r = a.report.Report(ctx)
		out.ShiftsKnown, out.Shifts = len(r.Unreachable) == 0, r.Shifts
	}
	out.Drains = drainStatuses(conf, r)
	for _, k := range place.Keys(conf) {
		out.Cells++
		if _, ok := a.members.Keeper(now, k); !ok {
			out.Keeperless = append(out.Keeperless, k)
		}
	}
	return c.JSON(http.StatusOK, out)
}

// wallTime returns the wall-clock time that is d in the past.
func wallTime(d time.Duration) *time.Time {
	t := time.Now().Add(-d).UTC().Round(time.Millisecond)
	return &t
}

// hostStatuses requests the revision in force from every live host. A host lags
// if its revision is unknown or below the given one.
func (a *Admin) hostStatuses(ctx context.Context, revision uint64) []hostStatus {
	revisions := a.commit.Revisions(ctx)
	var out []hostStatus
	for _, h := range a.members.Live() {
		r, ok := revisions[h.Name]
		out = append(out, hostStatus{h, r, ok, !ok || r < revision})
	}
	slices.SortFunc(out, func(x, y hostStatus) int { return cmp.Compare(x.Name, y.Name) })
	return out
}

// drainStatuses returns the progress of each drain, from the requests in flight
// that the hosts report.
func drainStatuses(conf *config.Config, r Report) []drainStatus {
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

// inFlight counts the requests on the servers that the drain covers. It returns
// false if the count of one of them is missing.
func inFlight(conf *config.Config, d config.Drain, r Report) (int, bool) {
	total := 0
	for _, s := range conf.Servers {
		if !d.Covers(s) {
			continue
		}
		n, ok := r.InFlight[s.Name]
		if !ok {
			return 0, false
		}
		total += n
	}
	return total, r.InFlight != nil
}

type revisionsResponse struct {
	Revision uint64       `json:"revision"`
	Hosts    []hostStatus `json:"hosts"`
}

// revisions responds with the revision in force on each live host.
func (a *Admin) revisions(c echo.Context) error {
	r := a.view.Config().Revision
	return c.JSON(http.StatusOK, revisionsResponse{r, a.hostStatuses(c.Request().Context(), r)})
}
