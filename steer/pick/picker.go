package pick

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliahitch/steer/fleet"
)

// Constants of server selection.
const (
	// maxServersPerObject is the number of servers of a group, local or remote, that
	// an object may use. A server caches few objects. If an object used more servers
	// under load, it would evict other objects from their caches.
	maxServersPerObject = 2
	// remoteRegionRTT is the assumed round-trip time to another region.
	remoteRegionRTT = 70 * time.Millisecond
	// crossDomainRTT is the assumed round-trip time to another failure domain of the region.
	crossDomainRTT = time.Millisecond
	// checkInterval is the minimum time between two health checks of a server that
	// may have restarted.
	checkInterval = 400 * time.Millisecond
	// minJoinDelay is the minimum time between the picker's first request and the first
	// record of a server that counts as joined. Servers with older records may have
	// been running before.
	minJoinDelay = 2 * time.Second
	// maxEjectedShare is the largest share of a service's servers that may be ejected at once.
	maxEjectedShare = 0.5
	// failureCost is the cost of a failed attempt as a multiple of the service time.
	failureCost = 4
	// defaultServiceTime is the initial estimate of the service time.
	defaultServiceTime = 150 * time.Millisecond
	// The service time is estimated as a quantile of the latency by stochastic
	// approximation. serviceTimeStep is the relative size of the step for each
	// response. The quantile is below the median, so that slow servers and cache
	// misses don't raise the estimate.
	serviceTimeStep     = 0.05
	serviceTimeQuantile = 0.4
	// missCost is the additional cost of a request whose object the server hasn't
	// cached, as a multiple of the service time. A request for a cached object takes
	// three tenths of the time of a miss, so a miss takes 7/3 of the service time
	// longer, and other requests wait for its slot meanwhile.
	missCost = 3.0
	// The probability that another host's requests have made the server cache the
	// object, for the first and the second server in the object's order.
	firstHitProbability  = 0.9
	secondHitProbability = 0.1
)

// Request holds the properties of a request that the selection depends on.
type Request struct {
	Service string
	// Object identifies the object that the request concerns; empty if unknown.
	Object string
	// Spread selects the servers of a request without an object. Different requests should have
	// different values, on all hosts.
	Spread uint64
	// Regions are the only regions that may serve the request; empty means all.
	Regions []string
	// Tried are the ids of the servers that the request was already sent to.
	Tried []string
}

// key returns what selects servers by affinity.
func (r *Request) key() string {
	if r.Object == "" && r.Spread != 0 {
		return "\x00" + strconv.FormatUint(r.Spread, 16)
	}
	return r.Object
}

// Reason is the result of a selection.
type Reason string

// Results of a selection.
const (
	// Chosen means that a server was selected.
	Chosen Reason = "chosen"
	// NoServers means that no server of the service may run the request.
	NoServers Reason = "noServers"
	// AllHoldingOff means that the servers which may run the request want no requests of
	// this host for a time.
	AllHoldingOff Reason = "holdingOff"
	// AllCold means that all servers considered are warming up or may have restarted,
	// and that this host may not send them a request now.
	AllCold Reason = "allBusy"
)

// Choice is the result of [Picker.Choose] with the estimates behind it.
type Choice struct {
	// Server is the selected server. It is set only if Reason is [Chosen].
	Server fleet.Server
	Reason Reason
	// Rank is the position of the server in the object's order, from 0.
	Rank int
	// Load is the estimated number of other requests at the server.
	Load float64
	// Cost is the estimated time until the response.
	Cost time.Duration
	// Usable is the number of servers that may run the request.
	Usable int
	// SpilloverShare is the share of the service's objects that is assigned to remote regions.
	SpilloverShare float64
	// Check are servers that may have restarted and are due for a health check.
	Check []fleet.Server
	// Phase is the warm-up phase of the selected server.
	Phase Phase
	// RetryAt is when the first server wants requests again, if Reason is [AllHoldingOff].
	RetryAt time.Time
}

// Location is the location of a host.
type Location struct{ Region, Domain string }

// Sponsor returns the limits for requests of this host to a server that warms up:
// the rate in requests/s and the burst. Both are 0 if the host isn't a sponsor of
// the server, that is, if it may not send it requests during the warm-up.
type Sponsor func(s *fleet.Server) (rate, burst float64)

// Picker selects servers of one service. It is safe for concurrent use.
type Picker struct {
	location Location
	sponsor  Sponsor

	mu sync.Mutex
	// states holds the observed state of each server by id.
	states map[string]*state
	// serviceTime is the estimated time of a request on a server, without the network.
	serviceTime time.Duration
	spillover   spillover
	// firstRequest is the time of the first call of Choose.
	firstRequest time.Time
	// suspectUntil is set by [WithSuspectUntil]: servers whose records were read before it
	// count as possibly restarted.
	suspectUntil time.Time
	// demandShare is set by [WithDemandShare].
	demandShare func() float64
	// observe is set by [WithObserver].
	observe func(PhaseChange)
}

// Option configures a picker.
type Option func(*Picker)

// WithSuspectUntil makes the picker treat servers whose records were read before the
// given time as possibly restarted, because they may have restarted while this
// host was down.
func WithSuspectUntil(until time.Time) Option { return func(p *Picker) { p.suspectUntil = until } }

// WithDemandShare sets a function that returns the share of all callers' requests that
// is expected in the host's region, 0 if nothing is known. Without it all regions are
// expected to get the same.
func WithDemandShare(f func() float64) Option { return func(p *Picker) { p.demandShare = f } }

// WithObserver sets a function that is called for each change of a server's phase. It
// must not block or call the picker.
func WithObserver(f func(PhaseChange)) Option { return func(p *Picker) { p.observe = f } }

// New returns a picker for a host at the location.
func New(location Location, sponsor Sponsor, options ...Option) *Picker {
	p := &Picker{location: location, sponsor: sponsor, states: make(map[string]*state), serviceTime: defaultServiceTime}
	for _, o := range options {
		o(p)
	}
	return p
}

// candidate is a server that may run the request.
type candidate struct {
	server *fleet.Server
	state  *state
	// score orders the candidates for the object, highest first.
	score uint64
	phase Phase
	// remote servers are in another region than the host.
	remote bool
}

// Choose selects the server for the request and counts the request there until
// [Picker.Done] is called. It considers the first servers in the object's order, by
// cost: those of the group, local or remote, that the object is assigned to, then
// those of the other group. The request is rerouted, that is, the groups swap, if the
// first group has no usable server or if the lowest cost in the other group is lower
// by more than minRerouteGain. In the second case the number of reroutes is bounded
// unless too many local servers are unusable.
func (p *Picker) Choose(now time.Time, v *fleet.View, r Request) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.firstRequest.IsZero() {
		p.firstRequest = now
	}
	u := p.usable(now, v, r)
	local, remote := u.local, u.remote
	if len(local)+len(remote) == 0 {
		return u.none()
	}
	first, second := local, remote
	if p.spillover.assignedRemote(r.key()) && len(remote) > 0 {
		first, second = remote, local
	}
	if len(first) == 0 && !u.localHeldUntil.IsZero() && u.localHealthy && !p.spillover.reroutes.allow(now) {
		// A region whose servers are full moves no more requests at once than others.
		return Choice{Reason: AllHoldingOff, RetryAt: u.localHeldUntil, Usable: len(remote)}
	}
	order := p.rankByCost(now, first, r.Object)
	rest := p.rankByCost(now, second, r.Object)
	rerouted := false
	if len(order) == 0 || len(rest) > 0 && order[0].cost-rest[0].cost > minRerouteGain && (!u.localHealthy || p.spillover.reroutes.allow(now)) {
		order, rest, rerouted = rest, order, true
	}
	check := p.dueChecks(now, order)
	best := p.admit(now, append(order, rest...))
	if best == nil {
		return Choice{Reason: AllCold, Usable: len(local) + len(remote), Check: check}
	}
	p.spillover.reroutes.add(now, rerouted)
	best.state.recordSent(now, r.Object, p.networkDelay(&best.candidate))
	return Choice{
		Server: *best.server, Reason: Chosen, Rank: best.rank, Load: best.state.load(now) - 1, Cost: best.cost, Phase: best.phase,
		Usable: len(local) + len(remote), SpilloverShare: p.spillover.share, Check: check,
	}
}

// rankedCandidate is a candidate with its rank and cost.
type rankedCandidate struct {
	candidate
	// rank is the position in the object's order within the group, from 0.
	rank int
	// cost is the estimated time until the response.
	cost time.Duration
}

// rankByCost returns the first candidates in the object's order, at most
// maxServersPerObject, sorted by cost.
func (p *Picker) rankByCost(now time.Time, candidates []candidate, object string) []rankedCandidate {
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	candidates = candidates[:min(maxServersPerObject, len(candidates))]
	out := make([]rankedCandidate, len(candidates))
	for i, c := range candidates {
		out[i] = rankedCandidate{c, i, p.cost(now, &c, i, object)}
	}
	slices.SortStableFunc(out, func(a, b rankedCandidate) int { return cmp.Compare(a.cost, b.cost) })
	return out
}

// dueChecks returns the candidates that may have restarted and whose last health
// check is at least checkInterval ago.
func (p *Picker) dueChecks(now time.Time, order []rankedCandidate) []fleet.Server {
	var out []fleet.Server
	for i := range order {
		c := &order[i]
		if c.phase == Suspected && now.Sub(c.state.checkedAt) >= checkInterval {
			c.state.checkedAt = now
			out = append(out, *c.server)
		}
	}
	return out
}

// admit returns the first candidate that may get the request now, or nil. Servers
// that warm up are skipped if this host's rate for them is exhausted.
func (p *Picker) admit(now time.Time, order []rankedCandidate) *rankedCandidate {
	for i := range order {
		c := &order[i]
		if c.phase == Warm || p.admitCold(now, &c.candidate) {
			return c
		}
	}
	return nil
}

// usableServers are the servers of a service that may run a request.
type usableServers struct {
	local, remote []candidate
	// localHealthy reports whether at least the share minLocalUsable of the local
	// servers is usable or holds requests off. The latter haven't failed.
	localHealthy bool
	// heldUntil and localHeldUntil are the earliest end of a hold-off of the servers that
	// the request may use, and of the local ones; zero for none.
	heldUntil, localHeldUntil time.Time
	// others reports whether the request may not use a server only because it was tried
	// there.
	others bool
}

// none returns the result of a selection without any usable server.
func (u *usableServers) none() Choice {
	if u.heldUntil.IsZero() || u.others {
		return Choice{Reason: NoServers}
	}
	return Choice{Reason: AllHoldingOff, RetryAt: u.heldUntil}
}

// held notes the end of a server's hold-off.
func (u *usableServers) held(until time.Time, local bool) {
	if u.heldUntil.IsZero() || until.Before(u.heldUntil) {
		u.heldUntil = until
	}
	if local && (u.localHeldUntil.IsZero() || until.Before(u.localHeldUntil)) {
		u.localHeldUntil = until
	}
}

// usable returns the servers that may run the request. Ejected servers in excess of
// maxEjectedShare of the available ones count as usable. It also updates the spillover
// share.
func (p *Picker) usable(now time.Time, v *fleet.View, r Request) usableServers {
	all := v.Servers(r.Service)
	var u usableServers
	available := make([]*fleet.Server, 0, len(all))
	localCount, localHeld := 0, 0
	for i := range all {
		s := &all[i]
		local := s.Region == p.location.Region
		if local {
			localCount++
		}
		availability, until := v.Availability(now, s)
		if len(r.Regions) > 0 && !slices.Contains(r.Regions, s.Region) {
			continue
		}
		switch availability {
		case fleet.Available:
			available = append(available, s)
		case fleet.HoldingOff:
			u.held(until, local)
			if local {
				localHeld++
			}
		default:
		}
	}
	ejectedCount := 0
	usage := slotUsage{regions: make(map[string]bool)}
	for _, s := range available {
		if slices.Contains(r.Tried, s.ID) {
			u.others = true
			continue
		}
		st := p.state(s)
		if st.ejected(now) {
			ejectedCount++
			if float64(ejectedCount) <= maxEjectedShare*float64(len(available)) {
				continue
			}
		}
		c := candidate{server: s, state: st, score: score(r.key(), s.ID), phase: p.updatePhase(now, v, s, st), remote: s.Region != p.location.Region}
		usage.add(now, &c)
		if c.remote {
			u.remote = append(u.remote, c)
		} else {
			u.local = append(u.local, c)
		}
	}
	p.updateSpillover(now, &usage)
	u.localHealthy = float64(len(u.local)+localHeld) >= minLocalUsable*float64(localCount)
	return u
}

// slotUsage sums up the slots of a service's usable servers and the load of the
// local ones.
type slotUsage struct {
	localSlots, totalSlots, localLoad float64
	// regions are the regions of the usable servers.
	regions map[string]bool
}

func (u *slotUsage) add(now time.Time, c *candidate) {
	slots := float64(max(1, c.server.Slots))
	u.totalSlots += slots
	u.regions[c.server.Region] = true
	if !c.remote {
		u.localSlots += slots
		u.localLoad += c.state.load(now)
	}
}

// updateSpillover adjusts the spillover share to the utilisation of the local servers.
func (p *Picker) updateSpillover(now time.Time, u *slotUsage) {
	switch {
	case u.localSlots == 0:
	case p.spillover.updatedAt.IsZero():
		p.spillover.start(now, u.localSlots, u.totalSlots, p.expectedDemand(len(u.regions)))
	default:
		p.spillover.update(now, u.localLoad/u.localSlots)
	}
}

// expectedDemand returns the share of all callers' requests that is expected in the
// host's region, of the given number of regions with servers.
func (p *Picker) expectedDemand(regions int) float64 {
	if p.demandShare != nil {
		if share := p.demandShare(); share > 0 {
			return share
		}
	}
	return 1 / float64(max(1, regions))
}

// cost estimates the time until the candidate's response. The rank is the candidate's
// position in the object's order within its group.
func (p *Picker) cost(now time.Time, c *candidate, rank int, object string) time.Duration {
	d := p.networkDelay(c)
	if c.state.joined && c.state.untried && c.phase == Warm {
		// The first request to a new server costs no more than the network delay.
		// Otherwise the server would get no requests for a long time, because all
		// objects are cached on other servers.
		return d
	}
	slots := float64(max(1, c.server.Slots))
	if queue := c.state.load(now) + 1 - slots; queue > 0 {
		d += time.Duration(queue / slots * float64(p.serviceTime))
	}
	d += time.Duration(float64(p.serviceTime) * (1 + missCost*c.state.missProbability(object, rank)) * c.state.latencyRatio)
	d += time.Duration(float64(p.serviceTime) * failureCost * c.state.failureRate)
	if c.phase != Warm {
		d += p.serviceTime
	}
	return d
}

// networkDelay returns the assumed round-trip time to the candidate.
func (p *Picker) networkDelay(c *candidate) time.Duration {
	switch {
	case c.remote:
		return remoteRegionRTT
	case c.server.Domain == p.location.Domain:
		return 0
	}
	return crossDomainRTT
}

// updateServiceTime moves the estimated service time towards the quantile of the
// latencies.
func (p *Picker) updateServiceTime(latency time.Duration) {
	step := -serviceTimeStep * (1 - serviceTimeQuantile)
	if latency > p.serviceTime {
		step = serviceTimeStep * serviceTimeQuantile
	}
	p.serviceTime = max(time.Millisecond, time.Duration(float64(p.serviceTime)*(1+step)))
}

// state returns the state of the server's current incarnation. When the incarnation
// changes, everything but the number of running requests is reset.
func (p *Picker) state(s *fleet.Server) *state {
	st := p.states[s.ID]
	if st == nil {
		st = newState(s.Incarnation)
		st.joined = s.ReadAt.Sub(p.firstRequest) >= minJoinDelay
		if s.ReadAt.Before(p.suspectUntil) {
			st.suspectRestart(s.ReadAt, HostStarted)
			st.suspicionEnds = s.ReadAt.Add(suspicionTimeout)
		}
		p.states[s.ID] = st
	}
	if st.incarnation != s.Incarnation {
		old := *st
		*st = *newState(s.Incarnation)
		st.running, st.phase, st.sends = old.running, old.phase, old.sends
	}
	return st
}

// score returns the rendezvous hash of an object and a server.
func score(object, server string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(object)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(server)
	return d.Sum64()
}
