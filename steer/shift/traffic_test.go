package shift

import (
	"fmt"
	"slices"
	"time"

	"magnoliahitch/steer/budget"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// hostView is the view of one simulated host.
type hostView struct {
	*simulation
	host *simulatedHost
}

func (s *simulation) viewOf(h *simulatedHost) hostView { return hostView{s, h} }

func (v hostView) Load(_ time.Time, c place.Cell) (member.Load, bool) {
	l := member.Load{
		Slots: v.slots[c.Region], Free: v.slots[c.Region] - v.busy[c.Region], QueueDelay: v.queueDelay[c.Region],
	}
	return l, !v.noLoads && v.HasKeeper(time.Time{}, c)
}

func (v hostView) HasKeeper(_ time.Time, c place.Cell) bool {
	return slices.ContainsFunc(v.hosts, func(h *simulatedHost) bool { return h.region == c.Region && v.up(h) }) &&
		!v.partitions[[2]string{v.host.region, c.Region}]
}

func (v hostView) Share(_ time.Time, k place.Key) float64 { return v.host.shares[k] }

// arrive creates the requests of one tick. Callers of a failed region use hosts of
// another one.
func (s *simulation) arrive() {
	for _, r := range []string{"a", "b", "c"} {
		mean := float64(s.callRate[r]) * tick.Seconds()
		for range int(2*mean*s.rand.Float64() + s.rand.Float64()) {
			hosts := s.hostsIn(r)
			for _, o := range []string{"a", "b", "c"} {
				if len(hosts) == 0 {
					hosts = s.hostsIn(o)
				}
			}
			if len(hosts) > 0 {
				s.route(hosts[s.rand.IntN(len(hosts))], r)
			}
		}
	}
}

// route decides on a request and tries the options of its plan in turn. Overflow is
// tried only after a refusal for a full queue.
func (s *simulation) route(h *simulatedHost, origin string) {
	q := Request{ID: fmt.Sprint(s.rand.Uint64()), Service: "care", Origin: origin, HostRegion: h.region}
	p := s.rules.Decide(s.clock(h), q, s.viewOf(h))
	reason := p.Reason()
	for _, o := range p.Options {
		if o.Cause == CauseOverflow && reason != result.ReasonQueueFull {
			break
		}
		if reason = s.tryOption(h, o); reason == "" {
			s.served[o.Cause]++
			s.ran[o.Cell.Region]++
			return
		}
	}
	s.refused[reason]++
}

// tryOption spends the budgets of the option and occupies a slot. It returns the
// reason of a refusal, or an empty one.
func (s *simulation) tryOption(h *simulatedHost, o Option) result.Reason {
	for _, k := range o.Caps {
		if h.buckets[BudgetKey{k, Requests}].Available(s.clock(h)) < 1 {
			h.buckets[BudgetKey{k, Requests}].AddDemand(1)
			return result.ReasonShiftCap
		}
	}
	for _, k := range o.Caps {
		h.buckets[BudgetKey{k, Requests}].Spend(s.clock(h), 1)
		s.spend(BudgetKey{k, Requests}, 1)
	}
	region := o.Cell.Region
	if s.busy[region] >= s.slots[region] {
		return result.ReasonQueueFull
	}
	s.busy[region]++
	s.after(serviceTime, func() { s.respond(h, o) })
	return ""
}

// respond frees the slot of a request and sends its response back over the link, if
// there is one, and then to the caller.
func (s *simulation) respond(h *simulatedHost, o Option) {
	region := o.Cell.Region
	s.busy[region]--
	var caps []BudgetKey
	for _, k := range o.Caps {
		caps = append(caps, BudgetKey{k, Bytes})
	}
	deliver := func() { h.responses = append(h.responses, response{unsent: responseSize, budgetKeys: caps}) }
	back, crosses := s.rules.links.Key(region, h.region)
	if hosts := s.hostsIn(region); crosses && len(hosts) > 0 {
		sender := hosts[s.rand.IntN(len(hosts))]
		sender.responses = append(sender.responses, response{unsent: responseSize, budgetKeys: []BudgetKey{{back, Bytes}}, then: deliver})
		return
	}
	deliver()
}

// sendResponses sends as much of the queued responses as the buckets allow.
func (s *simulation) sendResponses(h *simulatedHost) {
	for len(h.responses) > 0 {
		q := &h.responses[0]
		n := q.unsent
		for _, a := range q.budgetKeys {
			n = min(n, h.buckets[a].Available(s.clock(h)))
			h.buckets[a].AddDemand(q.unsent / 10)
		}
		for _, a := range q.budgetKeys {
			h.buckets[a].SpendOffered(s.clock(h), n)
			s.spend(a, n)
		}
		if q.unsent -= n; q.unsent > 0 {
			return
		}
		then := q.then
		h.responses = h.responses[1:]
		if then != nil {
			then()
		}
	}
}

func newBucket(startedAt time.Time, m BudgetSize) *budget.Bucket[int64] {
	return budget.NewBucket(startedAt, m.HostFloor)
}
