package route

import (
	"fmt"
	"time"

	"magnoliahitch/steer/place"
	"magnoliahitch/steer/shift"
)

// Explain describes the plan of a request for the cell's service whose caller
// is at home in the cell's region. It returns a line for each cell that would
// be tried, in order, and one for each cell that is ruled out, with the reason.
// No budget is charged.
func (t *Router) Explain(now time.Time, cell place.Cell, _ string) []string {
	q := shift.Request{ID: "explain", Service: cell.Service, Origin: cell.Region, HostRegion: t.keepers.Self().Region}
	plan := t.state.Load().rules.Decide(now, q, view{t})
	var out []string
	for _, o := range plan.Options {
		out = append(out, t.explainOption(now, o))
	}
	for _, r := range plan.Refused {
		out = append(out, fmt.Sprintf("not %s (%s): %s", r.Cell, r.Cause, r.Reason))
	}
	return out
}

func (t *Router) explainOption(now time.Time, o shift.Option) string {
	keeper := "no keeper"
	if h, ok := t.keepers.Keeper(now, o.Cell.Key()); ok {
		keeper = "keeper " + h.Name
	}
	s := fmt.Sprintf("%s (%s): %s", o.Cell, o.Cause, keeper)
	for _, k := range o.Caps {
		s += fmt.Sprintf(", counts against %s", k)
	}
	if o.Link.Kind != "" {
		s += fmt.Sprintf(", over %s", o.Link)
	}
	return s
}
