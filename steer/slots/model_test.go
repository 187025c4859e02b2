package slots

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/result"
)

// TestMain fixes rapid's seed and number of steps, so that random runs repeat.
func TestMain(m *testing.M) {
	flag.Parse()
	for n, v := range map[string]string{"rapid.seed": "1", "rapid.steps": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(n, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const maxDeadline = 2 * time.Second

// execution is a request that a server runs.
type execution struct {
	id     uint64
	server string
	// ends is when the server stops running it at the latest: at its deadline or
	// cancelGrace after it was abandoned.
	ends      time.Time
	abandoned bool
	// cell is the cell that started it.
	cell *Cell
}

// model tracks what the servers run, independently of the cell under test.
type model struct {
	now        time.Time
	cell       *Cell
	servers    []config.Server
	draining   map[string]bool
	profile    config.Profile
	executions map[uint64]execution
	deadline   map[uint64]time.Time
	queued     map[uint64]bool
	nextID     uint64
	// deadlineLimit is the longest time between the submission of a request and its
	// deadline.
	deadlineLimit time.Duration
}

func newModel(servers int) *model {
	m := &model{
		now:           time.Unix(1000, 0),
		cell:          NewCell(),
		draining:      make(map[string]bool),
		profile:       config.Profile{QueueWaitMs: 200, ReserveShare: 0.2, SlowStartMs: 1000, EjectShare: 0.5},
		executions:    make(map[uint64]execution),
		deadline:      make(map[uint64]time.Time),
		queued:        make(map[uint64]bool),
		deadlineLimit: maxDeadline,
	}
	for i := range servers {
		name := fmt.Sprintf("server-%d", i)
		m.servers = append(m.servers, config.Server{Name: name, Addr: name, Slots: 3, Connections: 650})
	}
	m.cell.Configure(m.now, m.servers, m.isDraining, m.profile)
	return m
}

func (m *model) isDraining(s config.Server) bool { return m.draining[s.Name] }

// advance moves the time forward and ends the executions that are due by then.
func (m *model) advance(d time.Duration) error {
	m.now = m.now.Add(d)
	for _, id := range sortedIDs(m.executions) {
		if m.now.Before(m.executions[id].ends) {
			continue
		}
		if err := m.finish(id, result.Unknown, result.ReasonDeadline); err != nil {
			return err
		}
	}
	return m.apply(m.cell.Tick(m.now))
}

// apply starts and refuses the requests of the dispatch.
func (m *model) apply(w Dispatch) error {
	for _, s := range w.Assignments {
		delete(m.queued, s.ID)
		if err := m.start(s); err != nil {
			return err
		}
	}
	for _, r := range w.Refusals {
		delete(m.queued, r.ID)
	}
	return nil
}

// start records an execution. It returns an error if the server is draining or
// then runs more requests than it has slots.
func (m *model) start(s Assignment) error {
	if m.draining[s.Server.Name] {
		return fmt.Errorf("got a request started on %s, which is draining", s.Server.Name)
	}
	m.executions[s.ID] = execution{id: s.ID, server: s.Server.Name, ends: m.deadline[s.ID], cell: m.cell}
	if got := m.running(s.Server.Name); got > s.Server.Slots {
		return fmt.Errorf("got %d requests on %s, want at most %d", got, s.Server.Name, s.Server.Slots)
	}
	return nil
}

func (m *model) running(server string) int {
	n := 0
	for _, e := range m.executions {
		if e.server == server && m.now.Before(e.ends) {
			n++
		}
	}
	return n
}

func (m *model) submit(class config.Class, left time.Duration, avoid string) error {
	m.nextID++
	m.deadline[m.nextID] = m.now.Add(left)
	d := m.cell.Submit(m.now, Request{ID: m.nextID, Class: class, Deadline: m.now.Add(left), Avoid: avoid})
	if d.Started {
		if err := m.start(d.Assignment); err != nil {
			return err
		}
	}
	if d.Queued {
		m.queued[m.nextID] = true
	}
	return m.apply(d.Dispatch)
}

// finish ends an execution and reports it to the cell that started it. The former
// keeper's cell starts no queued requests.
func (m *model) finish(id uint64, o result.Outcome, reason result.Reason) error {
	e := m.executions[id]
	delete(m.executions, id)
	dispatch := e.cell.Finish(m.now, Completion{ID: id, Outcome: o, Reason: reason})
	if e.cell == m.cell {
		return m.apply(dispatch)
	}
	if o == result.Unknown && reason != result.ReasonUpstream {
		return nil
	}
	// The former keeper reports the end to the new one, and repeats the message.
	if err := m.apply(m.cell.ReleaseHold(m.now, id)); err != nil {
		return err
	}
	return m.apply(m.cell.ReleaseHold(m.now, id))
}

// replaceKeeper moves the cell to a new keeper, with or without a handover.
func (m *model) replaceKeeper(handover bool) error {
	old := m.cell
	m.cell = NewCell()
	m.cell.Configure(m.now, m.servers, m.isDraining, m.profile)
	if handover {
		m.cell.ApplyHandover(m.now, old.Handover(m.now))
	} else {
		m.cell.HoldAll(m.now, m.now.Add(m.deadlineLimit+cancelGrace))
	}
	old.Close()
	clear(m.queued)
	return nil
}

// crash ends all executions on a server.
func (m *model) crash(server string) error {
	for _, id := range sortedIDs(m.executions) {
		if m.executions[id].server != server {
			continue
		}
		if err := m.finish(id, result.Unknown, result.ReasonUpstream); err != nil {
			return err
		}
	}
	return nil
}

func TestSlotAndDrainInvariantsUnderRandomEvents(t *testing.T) {
	steps, full := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(2)
		m.deadlineLimit, m.profile.SlowStartMs = 300*time.Millisecond, 50
		check := func(err error) {
			if err != nil {
				t.Fatal(err)
			}
		}
		// rapid prefers small numbers; a random number generator seeded with the
		// draw and a counter makes them uniform.
		draws := uint64(0)
		uniform := func(n int, label string) int {
			draws++
			return int(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, label), draws)).IntN(n))
		}
		server := func() string { return m.servers[uniform(len(m.servers), "server")].Name }
		// rarely returns an action that calls f with probability 1/n.
		rarely := func(n int, f func()) func(*rapid.T) {
			return func(*rapid.T) {
				if uniform(n, "rarely") == 0 {
					f()
				}
			}
		}
		anyExecution := func() (uint64, bool) {
			ids := sortedIDs(m.executions)
			if len(ids) == 0 {
				return 0, false
			}
			return ids[uniform(len(ids), "work")], true
		}
		submit := func(*rapid.T) {
			class := []config.Class{config.ClassInteractive, config.ClassBooking, config.ClassBulk}[uniform(classCount, "class")]
			left := time.Duration(1+uniform(int(m.deadlineLimit/time.Millisecond), "left")) * time.Millisecond
			avoid := ""
			if uniform(10, "avoids") == 0 {
				avoid = server()
			}
			check(m.submit(class, left, avoid))
		}
		invariant := func(*rapid.T) {
			steps++
			for _, s := range m.servers {
				got := m.running(s.Name)
				if got > 3 {
					t.Fatalf("got %d requests on %s, want at most 3", got, s.Name)
				}
				if got == 3 {
					full++
				}
			}
		}
		actions := []func(*rapid.T){
			submit, submit, submit, submit,
			func(*rapid.T) {
				if id, ok := anyExecution(); ok {
					check(m.finish(id, result.Done, ""))
				}
			},
			rarely(5, func() {
				if id, ok := anyExecution(); ok {
					reasons := []result.Reason{result.ReasonShed, result.ReasonUpstream, result.ReasonFenced}
					check(m.finish(id, result.NotRun, reasons[uniform(len(reasons), "reason")]))
				}
			}),
			func(*rapid.T) {
				// The cell receives the cancellation at once, while the server may
				// continue to run the request for cancelGrace.
				if id, ok := anyExecution(); ok && !m.executions[id].abandoned {
					e := m.executions[id]
					dispatch := e.cell.Finish(m.now, Completion{ID: id, Outcome: result.Unknown, Reason: result.ReasonCanceled})
					e.ends, e.abandoned = m.now.Add(cancelGrace), true
					m.executions[id] = e
					if e.cell == m.cell {
						check(m.apply(dispatch))
					}
				}
			},
			func(*rapid.T) {
				ids := sortedIDs(m.queued)
				if len(ids) > 0 {
					id := ids[uniform(len(ids), "queued")]
					m.cell.Cancel(m.now, id)
					delete(m.queued, id)
				}
			},
			rarely(10, func() {
				s := server()
				m.draining[s] = !m.draining[s]
				check(m.apply(m.cell.Configure(m.now, m.servers, m.isDraining, m.profile)))
			}),
			rarely(10, func() {
				// A server is removed from the configuration and added again.
				check(m.apply(m.cell.Configure(m.now, m.servers[1:], m.isDraining, m.profile)))
				check(m.apply(m.cell.Configure(m.now, m.servers, m.isDraining, m.profile)))
			}),
			rarely(10, func() { check(m.apply(m.cell.Report(m.now, server(), uniform(6, "running")))) }),
			rarely(20, func() { check(m.crash(server())) }),
			rarely(50, func() { check(m.replaceKeeper(false)) }),
			rarely(10, func() { check(m.replaceKeeper(true)) }),
			func(*rapid.T) {
				check(m.advance(time.Duration(1+uniform(100, "ms")) * time.Millisecond))
			},
		}
		t.Repeat(map[string]func(*rapid.T){
			"":     invariant,
			"step": func(t *rapid.T) { actions[uniform(len(actions), "action")](t) },
		})
	})
	if steps < 10_000 || full < steps/10 {
		t.Fatalf("got %d steps with %d full servers, want at least 10000 steps and a tenth as many full servers", steps, full)
	}
}
