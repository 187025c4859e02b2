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

// hostView is what one host of the world knows.
type hostView struct {
	*world
	host *actor
}

func (w *world) viewOf(h *actor) hostView { return hostView{w, h} }

func (v hostView) Load(_ time.Time, c place.Cell) (member.Load, bool) {
	l := member.Load{
		Slots: v.slots[c.Region], Free: v.slots[c.Region] - v.busy[c.Region], QueueDelay: v.slow[c.Region],
	}
	return l, !v.blind && v.Alive(time.Time{}, c)
}

func (v hostView) Alive(_ time.Time, c place.Cell) bool {
	return slices.ContainsFunc(v.hosts, func(h *actor) bool { return h.region == c.Region && v.up(h) }) &&
		!v.apart[[2]string{v.host.region, c.Region}]
}

func (v hostView) Share(_ time.Time, k place.Key) float64 { return v.host.moved[k] }

// arrive makes this tick's requests. Callers of a lost region come to others.
func (w *world) arrive() {
	for _, r := range []string{"a", "b", "c"} {
		mean := float64(w.calls[r]) * worldTick.Seconds()
		for range int(2*mean*w.rand.Float64() + w.rand.Float64()) {
			hosts := w.hostsIn(r)
			for _, o := range []string{"a", "b", "c"} {
				if len(hosts) == 0 {
					hosts = w.hostsIn(o)
				}
			}
			if len(hosts) > 0 {
				w.route(hosts[w.rand.IntN(len(hosts))], r)
			}
		}
	}
}

// route follows the plan of a request.
func (w *world) route(h *actor, origin string) {
	q := Request{ID: fmt.Sprint(w.rand.Uint64()), Service: "care", Origin: origin, At: h.region}
	p := w.rules.Decide(w.clock(h), q, w.viewOf(h))
	reason := p.Reason()
	for _, o := range p.Options {
		if o.Cause == CauseOverflow && reason != result.ReasonQueueFull {
			break
		}
		if reason = w.take(h, o); reason == "" {
			w.served[o.Cause]++
			w.ran[o.Cell.Region]++
			return
		}
	}
	w.refuse[reason]++
}

func (w *world) take(h *actor, o Option) result.Reason {
	for _, k := range o.Shifts {
		if h.buckets[Account{k, Requests}].Room(w.clock(h)) < 1 {
			h.buckets[Account{k, Requests}].Offer(1)
			return result.ReasonShiftCap
		}
	}
	for _, k := range o.Shifts {
		h.buckets[Account{k, Requests}].Spend(w.clock(h), 1)
		w.spend(Account{k, Requests}, 1)
	}
	region := o.Cell.Region
	if w.busy[region] >= w.slots[region] {
		return result.ReasonQueueFull
	}
	w.busy[region]++
	w.after(serviceTime, func() { w.answer(h, o) })
	return ""
}

// answer sends an answer back over the link and to the caller.
func (w *world) answer(h *actor, o Option) {
	region := o.Cell.Region
	w.busy[region]--
	var caps []Account
	for _, k := range o.Shifts {
		caps = append(caps, Account{k, Bytes})
	}
	deliver := func() { h.queue = append(h.queue, outgoing{left: answerSize, accounts: caps}) }
	back, crosses := w.rules.links.Key(region, h.region)
	if hosts := w.hostsIn(region); crosses && len(hosts) > 0 {
		s := hosts[w.rand.IntN(len(hosts))]
		s.queue = append(s.queue, outgoing{left: answerSize, accounts: []Account{{back, Bytes}}, then: deliver})
		return
	}
	deliver()
}

// drainQueue sends what the buckets allow.
func (w *world) drainQueue(h *actor) {
	for len(h.queue) > 0 {
		q := &h.queue[0]
		n := q.left
		for _, a := range q.accounts {
			n = min(n, h.buckets[a].Room(w.clock(h)))
			h.buckets[a].Offer(q.left / 10)
		}
		for _, a := range q.accounts {
			h.buckets[a].Retry(w.clock(h), n)
			w.spend(a, n)
		}
		if q.left -= n; q.left > 0 {
			return
		}
		then := q.then
		h.queue = h.queue[1:]
		if then != nil {
			then()
		}
	}
}

func newBucketAt(born time.Time, m Amount) *budget.Bucket[int64] {
	return budget.NewBucket(born, m.HostFloor)
}
