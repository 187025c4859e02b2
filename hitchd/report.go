package main

import (
	"context"
	"net/http"
	"sync"
	"time"

	"magnoliahitch/hitchd/internal/admin"
	"magnoliahitch/hitchd/internal/keep"
	"magnoliahitch/hitchd/internal/lend"
	"magnoliahitch/hitchd/internal/peer"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/shift"
)

// reportPath is the path of questions for what a host counts, and
// reportTimeout bounds one.
const (
	reportPath    = "/report"
	reportTimeout = time.Second
)

// Sources of reports.
type (
	reportMembers interface {
		Self() member.Host
		Live() []member.Host
	}
	teller interface {
		Tell(ctx context.Context, to member.Host, path string, in, out any) error
	}
	viewer interface {
		Config() *config.Config
	}
	cellStates interface {
		Cells(now time.Time) []keep.CellState
	}
	lenderStates interface {
		States(now time.Time) []lend.State
	}
)

// reporter tells operators what the live hosts count themselves.
type reporter struct {
	members reportMembers
	peers   teller
	view    viewer
	cells   cellStates
	lenders lenderStates
}

func newReporter(m reportMembers, p teller, v viewer, c cellStates, l lenderStates) *reporter {
	return &reporter{m, p, v, c, l}
}

// reportRequest asks for a report by a host with the revision in force.
type reportRequest struct {
	Revision uint64 `msgpack:"revision"`
}

// reportAnswer is what one host counts.
type reportAnswer struct {
	// Revision is the one in force. Counts of a host behind don't tell
	// whether its servers are still given work.
	Revision uint64         `msgpack:"revision"`
	Busy     map[string]int `msgpack:"busy"`
	Shifts   []admin.Shift  `msgpack:"shifts"`
}

func (r *reporter) handler() http.Handler {
	return peer.Message(func(_ *http.Request, _ reportRequest) (reportAnswer, error) { return r.own(clock.Now()), nil })
}

// own returns what this host counts.
func (r *reporter) own(now time.Time) reportAnswer {
	a := reportAnswer{Revision: r.view.Config().Revision, Busy: make(map[string]int)}
	for _, c := range r.cells.Cells(now) {
		for _, s := range c.Servers {
			a.Busy[s.Server] = s.Busy + s.Held
		}
	}
	byName := make(map[string]*admin.Shift)
	for _, l := range r.lenders.States(now) {
		if l.Key.Kind != place.Shift {
			continue
		}
		s := byName[l.Key.Name]
		if s == nil {
			s = &admin.Shift{Name: l.Key.Name, Share: l.Share, Goal: l.Goal}
			byName[l.Key.Name] = s
		}
		if l.Unit == shift.Requests {
			s.LentRate, s.CapRate = float64(l.Lent), float64(l.Cap)
		} else {
			s.LentMbps, s.CapMbps = mbps(l.Lent), mbps(l.Cap)
		}
	}
	for _, s := range byName {
		a.Shifts = append(a.Shifts, *s)
	}
	return a
}

// mbps returns a rate in bytes/s as Mbit/s.
func mbps(rate int64) float64 { return float64(rate) * 8 / 1e6 }

// Report asks every live host. A host that is behind counts as missing.
func (r *reporter) Report(ctx context.Context) admin.Report {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	revision := r.view.Config().Revision
	out := admin.Report{Busy: make(map[string]int)}
	var mu sync.Mutex
	var g sync.WaitGroup
	for _, h := range r.members.Live() {
		g.Go(func() {
			a, err := r.ask(ctx, h, revision)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || a.Revision < revision {
				out.Missing = append(out.Missing, h.Name)
				return
			}
			for n, c := range a.Busy {
				out.Busy[n] += c
			}
			out.Shifts = append(out.Shifts, a.Shifts...)
		})
	}
	g.Wait()
	return out
}

func (r *reporter) ask(ctx context.Context, h member.Host, revision uint64) (reportAnswer, error) {
	if h.Name == r.members.Self().Name {
		return r.own(clock.Now()), nil
	}
	var a reportAnswer
	err := r.peers.Tell(ctx, h, reportPath, reportRequest{revision}, &a)
	return a, err
}
