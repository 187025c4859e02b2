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

// Random runs are the same each time.
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

// work is a request that really runs on a server.
type work struct {
	id     uint64
	server string
	// ends bounds its run: the deadline, or the grace after it was abandoned.
	ends      time.Time
	abandoned bool
	cell      *Cell
}

// world holds the truth about the servers beside the cell that decides.
type world struct {
	now      time.Time
	cell     *Cell
	servers  []config.Server
	draining map[string]bool
	profile  config.Profile
	works    map[uint64]work
	deadline map[uint64]time.Time
	queued   map[uint64]bool
	nextID   uint64
	// greatest is the greatest deadline of a request.
	greatest time.Duration
}

func newWorld(servers int) *world {
	w := &world{
		now:      time.Unix(1000, 0),
		cell:     NewCell(),
		draining: make(map[string]bool),
		profile:  config.Profile{QueueWaitMs: 200, ReserveShare: 0.2, SlowStartMs: 1000, EjectShare: 0.5},
		works:    make(map[uint64]work),
		deadline: make(map[uint64]time.Time),
		queued:   make(map[uint64]bool),
		greatest: maxDeadline,
	}
	for i := range servers {
		name := fmt.Sprintf("server-%d", i)
		w.servers = append(w.servers, config.Server{Name: name, Addr: name, Slots: 3, Connections: 650})
	}
	w.cell.Configure(w.now, w.servers, w.drains, w.profile)
	return w
}

func (w *world) drains(s config.Server) bool { return w.draining[s.Name] }

// advance moves the time and ends the work that can't go on past it.
func (w *world) advance(d time.Duration) error {
	w.now = w.now.Add(d)
	for _, id := range sortedIDs(w.works) {
		if w.now.Before(w.works[id].ends) {
			continue
		}
		if err := w.finish(id, result.Unknown, result.ReasonDeadline); err != nil {
			return err
		}
	}
	return w.apply(w.cell.Tick(w.now))
}

func (w *world) apply(k Wake) error {
	for _, s := range k.Starts {
		delete(w.queued, s.ID)
		if err := w.start(s); err != nil {
			return err
		}
	}
	for _, r := range k.Refusals {
		delete(w.queued, r.ID)
	}
	return nil
}

func (w *world) start(s Start) error {
	if w.draining[s.Server.Name] {
		return fmt.Errorf("got work on %s, which drains", s.Server.Name)
	}
	w.works[s.ID] = work{id: s.ID, server: s.Server.Name, ends: w.deadline[s.ID], cell: w.cell}
	if got := w.running(s.Server.Name); got > s.Server.Slots {
		return fmt.Errorf("got %d requests on %s, want at most %d", got, s.Server.Name, s.Server.Slots)
	}
	return nil
}

func (w *world) running(server string) int {
	n := 0
	for _, k := range w.works {
		if k.server == server && w.now.Before(k.ends) {
			n++
		}
	}
	return n
}

func (w *world) submit(class config.Class, left time.Duration, avoid string) error {
	w.nextID++
	w.deadline[w.nextID] = w.now.Add(left)
	d := w.cell.Submit(w.now, Request{ID: w.nextID, Class: class, Deadline: w.now.Add(left), Avoid: avoid})
	if d.Started {
		if err := w.start(d.Start); err != nil {
			return err
		}
	}
	if d.Queued {
		w.queued[w.nextID] = true
	}
	return w.apply(d.Wake)
}

// finish tells the cell that started the work that it ended. Only the present
// cell may start other work then.
func (w *world) finish(id uint64, o result.Outcome, reason result.Reason) error {
	k := w.works[id]
	delete(w.works, id)
	wake := k.cell.Finish(w.now, End{ID: id, Outcome: o, Reason: reason})
	if k.cell == w.cell {
		return w.apply(wake)
	}
	return nil
}

// replace lets a new keeper take the cell over, with a handover or without.
func (w *world) replace(handover bool) error {
	old := w.cell
	w.cell = NewCell()
	w.cell.Configure(w.now, w.servers, w.drains, w.profile)
	if handover {
		w.cell.Adopt(w.now, old.Handover(w.now))
	} else {
		w.cell.TakeOver(w.now, w.now.Add(w.greatest+cancelGrace))
	}
	old.Close()
	clear(w.queued)
	return nil
}

// crash ends all work of a server.
func (w *world) crash(server string) error {
	for _, id := range sortedIDs(w.works) {
		if w.works[id].server != server {
			continue
		}
		if err := w.finish(id, result.Unknown, result.ReasonUpstream); err != nil {
			return err
		}
	}
	return nil
}

func TestSlotsAndDrainsHoldUnderRandomEvents(t *testing.T) {
	steps, full := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(2)
		w.greatest, w.profile.SlowStartMs = 300*time.Millisecond, 50
		check := func(err error) {
			if err != nil {
				t.Fatal(err)
			}
		}
		// Draws lean to small numbers; mixing in a counter makes them even.
		draws := uint64(0)
		even := func(n int, label string) int {
			draws++
			return int(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, label), draws)).IntN(n))
		}
		server := func() string { return w.servers[even(len(w.servers), "server")].Name }
		// rarely does f once in n times.
		rarely := func(n int, f func()) func(*rapid.T) {
			return func(*rapid.T) {
				if even(n, "rarely") == 0 {
					f()
				}
			}
		}
		anyWork := func() (uint64, bool) {
			ids := sortedIDs(w.works)
			if len(ids) == 0 {
				return 0, false
			}
			return ids[even(len(ids), "work")], true
		}
		submit := func(*rapid.T) {
			class := []config.Class{config.ClassInteractive, config.ClassBooking, config.ClassBulk}[even(classes, "class")]
			left := time.Duration(1+even(int(w.greatest/time.Millisecond), "left")) * time.Millisecond
			avoid := ""
			if even(10, "avoids") == 0 {
				avoid = server()
			}
			check(w.submit(class, left, avoid))
		}
		invariant := func(*rapid.T) {
			steps++
			for _, s := range w.servers {
				got := w.running(s.Name)
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
				if id, ok := anyWork(); ok {
					check(w.finish(id, result.Done, ""))
				}
			},
			rarely(5, func() {
				if id, ok := anyWork(); ok {
					reasons := []result.Reason{result.ReasonShed, result.ReasonUpstream, result.ReasonFenced}
					check(w.finish(id, result.NotRun, reasons[even(len(reasons), "reason")]))
				}
			}),
			func(*rapid.T) {
				// The cell is told at once, the server goes on for the grace.
				if id, ok := anyWork(); ok && !w.works[id].abandoned {
					k := w.works[id]
					wake := k.cell.Finish(w.now, End{ID: id, Outcome: result.Unknown, Reason: result.ReasonCanceled})
					k.ends, k.abandoned = w.now.Add(cancelGrace), true
					w.works[id] = k
					if k.cell == w.cell {
						check(w.apply(wake))
					}
				}
			},
			func(*rapid.T) {
				ids := sortedIDs(w.queued)
				if len(ids) > 0 {
					id := ids[even(len(ids), "queued")]
					w.cell.Cancel(w.now, id)
					delete(w.queued, id)
				}
			},
			rarely(10, func() {
				s := server()
				w.draining[s] = !w.draining[s]
				check(w.apply(w.cell.Configure(w.now, w.servers, w.drains, w.profile)))
			}),
			rarely(10, func() { check(w.apply(w.cell.Report(w.now, server(), even(6, "running")))) }),
			rarely(20, func() { check(w.crash(server())) }),
			rarely(50, func() { check(w.replace(false)) }),
			rarely(10, func() { check(w.replace(true)) }),
			func(*rapid.T) {
				check(w.advance(time.Duration(1+even(100, "ms")) * time.Millisecond))
			},
		}
		t.Repeat(map[string]func(*rapid.T){
			"":     invariant,
			"step": func(t *rapid.T) { actions[even(len(actions), "action")](t) },
		})
	})
	if steps < 10_000 || full < steps/10 {
		t.Fatalf("got %d steps with %d full servers, want 10000 with a tenth", steps, full)
	}
}
