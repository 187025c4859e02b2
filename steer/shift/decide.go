package shift

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// Cause is the reason why a cell is an option for a request.
type Cause string

// Causes of options.
const (
	CauseHome     Cause = "home"
	CauseMove     Cause = "move"
	CauseDrain    Cause = "drain"
	CauseFailure  Cause = "failure"
	CauseOverflow Cause = "overflow"
	// CauseRegion applies to a request whose route doesn't allow the home region.
	CauseRegion Cause = "region"
)

// Request holds the properties of a request on which the decision rests.
type Request struct {
	ID      string
	Service string
	// Origin is the home region of the caller, HostRegion the region of the deciding host.
	Origin, HostRegion string
	// Regions are the regions that may serve the request; empty means all.
	Regions []string
}

// allows reports whether a cell of the region may serve the request.
func (q Request) allows(region string) bool {
	return len(q.Regions) == 0 || slices.Contains(q.Regions, region)
}

// View is the state of the system as last reported to the deciding host.
type View interface {
	Loads
	// HasKeeper reports whether the cell has a keeper that is reachable.
	HasKeeper(now time.Time, c place.Cell) bool
	// Share returns the current share of a planned shift, 0 to 1.
	Share(now time.Time, k place.Key) float64
}

// Option is a cell that may serve the request.
type Option struct {
	Cell  place.Cell
	Cause Cause
	// Caps are the cells of the caps that the request counts against.
	Caps []place.Key
	// Link is the cell of the link direction that carries the request. It is zero
	// when the cell is in the region of the deciding host.
	Link place.Key
}

// Refusal is a cell that can't serve the request, with the reason.
type Refusal struct {
	Cell   place.Cell
	Cause  Cause
	Reason result.Reason
}

// Plan is the decision on one request.
type Plan struct {
	// Options are the cells that may serve the request, best first.
	Options []Option
	// Refused are the cells that can't serve it, in the order of the checks.
	Refused []Refusal
}

// Reason returns why the plan has no options: the reason of the last refused cell in
// a region that the route allows, or [result.ReasonNoServer] when there is none.
func (p Plan) Reason() result.Reason {
	reason := result.ReasonNoServer
	for _, r := range p.Refused {
		// That the route doesn't allow a region is no reason why the others
		// can't serve the request.
		if r.Reason != result.ReasonRegion {
			reason = r.Reason
		}
	}
	return reason
}

// Decide returns the plan for the request.
func (r *Rules) Decide(now time.Time, q Request, v View) Plan {
	d := decision{Rules: r, now: now, req: q, view: v, service: r.services[q.Service]}
	home := place.Cell{Region: q.Origin, Service: q.Service}
	if !q.allows(q.Origin) {
		// No cap applies: the request doesn't leave a region that has failed or is
		// being drained, because its route never allowed that region.
		d.refuse(home, CauseHome, result.ReasonRegion)
		d.addRemote(CauseRegion, nil)
		return d.plan
	}
	hasKeeper := v.HasKeeper(now, home)
	if reason, failed := d.homeFailed(home, hasKeeper); failed {
		d.refuse(home, CauseHome, reason)
		d.addRemote(CauseFailure, r.failureCaps[regionProfile{q.Origin, d.service.profile}])
		if hasKeeper {
			d.addOption(home, CauseHome, nil)
		}
		return d.plan
	}
	d.addPlanned()
	d.addOption(home, CauseHome, nil)
	d.addRemote(CauseOverflow, r.failureCaps[regionProfile{q.Origin, d.service.profile}])
	return d.plan
}

// decision holds the inputs of a decision and the plan that it builds.
type decision struct {
	*Rules
	now     time.Time
	req     Request
	view    View
	service service
	plan    Plan
}

// homeFailed reports whether the home cell can't serve the request, and why: it has
// no server that takes new work, no keeper, or no usable slot by its last load.
func (d *decision) homeFailed(home place.Cell, hasKeeper bool) (result.Reason, bool) {
	if !d.hasServer[home] {
		return result.ReasonNoServer, true
	}
	if !hasKeeper {
		return result.ReasonNoKeeper, true
	}
	l, ok := d.view.Load(d.now, home)
	return result.ReasonNoServer, ok && l.Slots == 0
}

// addPlanned adds the destinations of the move and of the drain that apply to the
// request. The shares of the moves are consecutive ranges from 0; the move whose
// range contains the hash of the request applies. A drain applies when its own hash
// of the request is below its share.
func (d *decision) addPlanned() {
	upper := 0.0
	fraction := hashFraction("move", d.req.ID)
	for _, m := range d.service.moves[d.req.Origin] {
		lower := upper
		upper += d.view.Share(d.now, m.capKey)
		if fraction >= lower && fraction < upper {
			d.addRanked([]place.Cell{m.cell}, CauseMove, []place.Key{m.capKey})
		}
	}
	k, ok := d.drainCaps[d.req.Origin]
	if ok && hashFraction(k.Name, d.req.ID) < d.view.Share(d.now, k) {
		d.addRemote(CauseDrain, []place.Key{k})
	}
}

// addRemote adds every destination of the service outside the home region.
func (d *decision) addRemote(cause Cause, caps []place.Key) {
	d.addRanked(d.service.destinations, cause, caps)
}

// addRanked adds the cells that have a keeper and, by their last load, usable slots
// of which one is free or a queue delay within the limit, best first. A cell of unknown load is added too:
// its keeper decides on the admission. The other cells are recorded as refused.
func (d *decision) addRanked(cells []place.Cell, cause Cause, caps []place.Key) {
	type scored struct {
		cell  place.Cell
		score float64
	}
	var list []scored
	for _, c := range cells {
		if c.Region == d.req.Origin {
			continue
		}
		if !d.req.allows(c.Region) {
			d.refuse(c, cause, result.ReasonRegion)
			continue
		}
		if !d.view.HasKeeper(d.now, c) {
			d.refuse(c, cause, result.ReasonNoKeeper)
			continue
		}
		l, known := d.view.Load(d.now, c)
		if known && !(l.Slots > 0 && (l.Free > 0 || l.QueueDelay <= d.service.limits.QueueDelay)) {
			d.refuse(c, cause, result.ReasonQueueFull)
			continue
		}
		list = append(list, scored{c, d.score(c, known, l.Free)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.cell.Region, b.cell.Region))
	})
	for _, s := range list {
		d.addOption(s.cell, cause, caps)
	}
}

// Scores of cells that rank before or after the others.
const (
	scoreLocal   = -1
	scoreUnknown = math.MaxFloat64
)

// score ranks a destination, lowest first. The region of the deciding host comes
// first, cells of unknown load last. The others come in a random order weighted by
// their free slots: -ln(1-u)/weight is exponentially distributed, so that each cell
// has the lowest score with a probability proportional to its weight.
func (d *decision) score(c place.Cell, known bool, free int) float64 {
	switch {
	case c.Region == d.req.HostRegion:
		return scoreLocal
	case !known:
		return scoreUnknown
	}
	return -math.Log(1-hashFraction(c.Region, d.req.ID)) / float64(max(1, free))
}

// addOption appends an option unless the plan has it already. A cell in another
// region is refused when there is no link to it or none back for the response.
func (d *decision) addOption(c place.Cell, cause Cause, caps []place.Key) {
	if slices.ContainsFunc(d.plan.Options, func(o Option) bool { return o.Cell == c }) {
		return
	}
	o := Option{Cell: c, Cause: cause, Caps: caps}
	if c.Region != d.req.HostRegion {
		out, ok := d.links.Key(d.req.HostRegion, c.Region)
		_, back := d.links.Key(c.Region, d.req.HostRegion)
		if !ok || !back {
			d.refuse(c, cause, result.ReasonLinkBudget)
			return
		}
		o.Link = out
	}
	d.plan.Options = append(d.plan.Options, o)
}

func (d *decision) refuse(c place.Cell, cause Cause, reason result.Reason) {
	d.plan.Refused = append(d.plan.Refused, Refusal{c, cause, reason})
}

// hashFraction returns a number from 0 up to but not including 1 that depends only
// on the salt and the request id, so that a repeated request takes the same route.
func hashFraction(salt, id string) float64 {
	return float64(xxhash.Sum64String(salt+"\x00"+id)>>11) / (1 << 53)
}
