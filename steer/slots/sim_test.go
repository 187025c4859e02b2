package slots

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/result"
	"magnoliahitch/steer/retry"
)

// Sizes of one region's cell: a service has 12 servers over 3 regions. simSigma is
// the sigma of the log-normal service time, simCapacity is in requests per second.
const (
	simServers  = 4
	simSlots    = 3
	simHosts    = 6
	simService  = 20 * time.Millisecond
	simSigma    = 1.0
	simCapacity = simServers * simSlots * float64(time.Second) / float64(simService)
)

// sim replays a seeded open-loop trace on simulated time.
type sim struct {
	now time.Time
	// trace holds one random source for the arrivals and service times of each
	// class, so that all policies get the same trace; rng draws everything else.
	trace   [classCount]*rand.Rand
	rng     *rand.Rand
	events  events
	servers []*simServer
	setup   simSetup
	cell    *Cell
	budget  *retry.Budget
	latency retry.Latency
	// hostInFlight counts the requests in flight from each host to each server in
	// the baseline.
	hostInFlight [simHosts][simServers]int
	queued       map[uint64]*simRequest
	started      map[uint64]*simRequest
	nextID       uint64
	results      []simResult
	attempts     int
	// tick is the time of the latest scheduled call of Tick.
	tick time.Time
}

// simSetup configures the load and the policy of a replay.
type simSetup struct {
	seed     uint64
	baseline bool
	profile  config.Profile
	length   time.Duration
	// rate is the load of a class as a share of the capacity.
	rate     func(at time.Duration, class int) float64
	deadline [classCount]time.Duration
	// slow multiplies the service time on the first server, failing is the share
	// of attempts that fail on every server.
	slow, failing float64
}

// simRequest is a request of the trace.
type simRequest struct {
	class              int
	arrived, deadline  time.Time
	service            time.Duration
	attempts, inFlight int
	finished           bool
}

// simResult is the result of a request: its arrival time in the trace, its latency
// and its outcome, "done", "late" or "refused".
type simResult struct {
	class   int
	at      time.Duration
	latency time.Duration
	outcome string
}

type simServer struct {
	conf    config.Server
	running int
	waiting []func()
	peak    int
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events struct {
	list []event
	seq  int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.seq, b.seq)) < 0
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

// schedule queues an event for the given time.
func (s *sim) schedule(t time.Time, run func()) {
	s.events.seq++
	heap.Push(&s.events, event{t, s.events.seq, run})
}

var simStart = time.Unix(1000, 0)

func runSim(setup simSetup) *sim {
	s := &sim{
		now: simStart, rng: rand.New(rand.NewPCG(setup.seed, 1)), setup: setup, cell: NewCell(),
		budget: retry.NewBudget(setup.profile.RetryShare),
		queued: make(map[uint64]*simRequest), started: make(map[uint64]*simRequest),
	}
	var servers []config.Server
	for i := range simServers {
		c := config.Server{Name: fmt.Sprint("server-", i), Slots: simSlots}
		servers = append(servers, c)
		s.servers = append(s.servers, &simServer{conf: c})
	}
	s.cell.Configure(s.now, servers, func(config.Server) bool { return false }, setup.profile)
	for class := range classCount {
		s.trace[class] = rand.New(rand.NewPCG(setup.seed, uint64(2+class)))
		s.scheduleArrival(class)
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return s
}

// scheduleArrival schedules the next request of the class and, on its arrival, the
// one after it.
func (s *sim) scheduleArrival(class int) {
	elapsed := s.now.Sub(simStart)
	rate := s.setup.rate(elapsed, class) * simCapacity
	if elapsed >= s.setup.length || rate <= 0 {
		return
	}
	gap := time.Duration(s.trace[class].ExpFloat64() / rate * float64(time.Second))
	service := math.Exp(s.trace[class].NormFloat64()*simSigma-simSigma*simSigma/2) * float64(simService)
	s.schedule(s.now.Add(gap), func() {
		s.scheduleArrival(class)
		r := &simRequest{class: class, arrived: s.now, deadline: s.now.Add(s.setup.deadline[class]), service: time.Duration(service)}
		if s.setup.baseline {
			s.submitBaseline(r)
			return
		}
		s.budget.CountRequest(s.now)
		s.submit(r, "", false)
	})
}

// finish records the result of the request; only the first result counts.
func (s *sim) finish(r *simRequest, outcome string) {
	if r.finished {
		return
	}
	r.finished = true
	s.results = append(s.results, simResult{r.class, r.arrived.Sub(simStart), s.now.Sub(r.arrived), outcome})
}

// execute runs the request on the server and calls end once. A full server queues
// the request until a slot is free or its deadline has passed.
func (s *sim) execute(r *simRequest, v *simServer, end func(result.Outcome, result.Reason)) {
	s.attempts++
	ended := false
	finish := func(o result.Outcome, reason result.Reason) {
		if !ended {
			ended = true
			end(o, reason)
		}
	}
	took := r.service
	if v == s.servers[0] && s.setup.slow > 0 {
		took = time.Duration(float64(took) * s.setup.slow)
	}
	fails := s.rng.Float64() < s.setup.failing
	run := func() {
		if ended {
			return
		}
		v.running++
		s.schedule(minTime(s.now.Add(took), r.deadline), func() {
			v.running--
			switch {
			case s.now.Equal(r.deadline):
				finish(result.Unknown, result.ReasonDeadline)
			case fails:
				finish(result.Unknown, result.ReasonUpstream)
			default:
				finish(result.Done, "")
			}
			if len(v.waiting) > 0 && v.running < simSlots {
				next := v.waiting[0]
				v.waiting = v.waiting[1:]
				next()
			}
		})
	}
	v.peak = max(v.peak, v.running+len(v.waiting)+1)
	if v.running < simSlots {
		run()
		return
	}
	v.waiting = append(v.waiting, func() {
		if run(); ended && len(v.waiting) > 0 {
			next := v.waiting[0]
			v.waiting = v.waiting[1:]
			next()
		}
	})
	s.schedule(r.deadline, func() { finish(result.Unknown, result.ReasonDeadline) })
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// submitBaseline implements the baseline policy, least requests per host: a random
// host selects at random among the servers with the fewest of its requests in
// flight.
func (s *sim) submitBaseline(r *simRequest) {
	counts := &s.hostInFlight[s.rng.IntN(simHosts)]
	least := slices.Min(counts[:])
	var candidates []int
	for i, n := range counts {
		if n == least {
			candidates = append(candidates, i)
		}
	}
	i := candidates[s.rng.IntN(len(candidates))]
	counts[i]++
	s.execute(r, s.servers[i], func(o result.Outcome, _ result.Reason) {
		counts[i]--
		s.finish(r, map[result.Outcome]string{result.Done: "done", result.Unknown: "late"}[o])
	})
}

// submit submits an attempt to the cell and reports whether it started at once.
func (s *sim) submit(r *simRequest, avoid string, hedge bool) bool {
	s.nextID++
	id := s.nextID
	class := [classCount]config.Class{config.ClassInteractive, config.ClassBooking, config.ClassBulk}[r.class]
	d := s.cell.Submit(s.now, Request{ID: id, Class: class, Deadline: r.deadline, Avoid: avoid, Hedge: hedge})
	switch {
	case d.Started:
		s.run(r, d.Assignment)
	case d.Queued:
		s.queued[id] = r
		s.schedule(r.deadline, func() {
			if s.cell.Cancel(s.now, id) {
				s.finish(r, "late")
			}
		})
	case r.inFlight == 0:
		s.finish(r, "refused")
	}
	s.dispatch(d.Dispatch)
	return d.Started
}

// dispatch starts and refuses queued requests and schedules the next Tick.
func (s *sim) dispatch(w Dispatch) {
	for _, st := range w.Assignments {
		s.run(s.queued[st.ID], st)
		delete(s.queued, st.ID)
	}
	for _, f := range w.Refusals {
		s.finish(s.queued[f.ID], "refused")
		delete(s.queued, f.ID)
	}
	at, ok := s.cell.Next()
	if !ok || s.tick.After(s.now) && !at.Before(s.tick) {
		return
	}
	s.tick = at
	s.schedule(at, func() {
		if s.now.Equal(s.tick) {
			s.dispatch(s.cell.Tick(s.now))
		}
	})
}

// run executes an attempt of the request. A first attempt is followed by at most
// one hedge or retry, as the budget allows.
func (s *sim) run(r *simRequest, st Assignment) {
	startedAt := s.now
	r.attempts++
	r.inFlight++
	i := slices.IndexFunc(s.servers, func(v *simServer) bool { return v.conf.Name == st.Server.Name })
	if after, ok := s.latency.HedgeAfter(s.setup.profile.HedgeQuantile); ok && r.attempts == 1 {
		s.schedule(s.now.Add(after), func() {
			if !r.finished && r.attempts == 1 && s.budget.Left(s.now) > 0 && s.submit(r, st.Server.Name, true) {
				s.budget.Take(s.now)
			}
		})
	}
	s.execute(r, s.servers[i], func(o result.Outcome, reason result.Reason) {
		r.inFlight--
		if o == result.Done {
			s.latency.Observe(s.now.Sub(startedAt))
			s.finish(r, "done")
		}
		s.dispatch(s.cell.Finish(s.now, Completion{ID: st.ID, Outcome: o, Reason: reason}))
		switch {
		case r.finished || r.inFlight > 0:
		case reason == result.ReasonUpstream && r.attempts == 1 && s.budget.Take(s.now):
			s.submit(r, st.Server.Name, false)
		default:
			s.finish(r, "late")
		}
	})
}

// share returns the share of requests of the class, or of all classes if it is -1,
// that arrived in the span and had the outcome.
func (s *sim) share(class int, outcome string, from, to time.Duration) float64 {
	all, with := 0, 0
	for _, d := range s.results {
		if (class < 0 || d.class == class) && d.at >= from && d.at < to {
			all++
			if d.outcome == outcome {
				with++
			}
		}
	}
	return float64(with) / float64(max(1, all))
}

// quantile returns the quantile q of the latency of the class's requests that
// arrived in the span and were done; zero without any.
func (s *sim) quantile(q float64, class int, from, to time.Duration) time.Duration {
	var list []time.Duration
	for _, d := range s.results {
		if (class < 0 || d.class == class) && d.outcome == "done" && d.at >= from && d.at < to {
			list = append(list, d.latency)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

// peak returns the greatest number of requests at once on any server, including
// those that wait there.
func (s *sim) peak() int {
	p := 0
	for _, v := range s.servers {
		p = max(p, v.peak)
	}
	return p
}
