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

// reportPath is the path of requests for a host's report. reportTimeout bounds the
// requests to all hosts for one report to an operator.
const (
	reportPath    = "/report"
	reportTimeout = time.Second
)

// Interfaces that a reporter collects its data from.
type (
	membership interface {
		Self() member.Host
		Live() []member.Host
	}
	messageSender interface {
		Call(ctx context.Context, to member.Host, path string, in, out any) error
	}
	configSource interface {
		Config() *config.Config
	}
	cellStates interface {
		Cells(now time.Time) []keep.CellState
	}
	lenderStates interface {
		States(now time.Time) []lend.State
	}
)

// reporter collects, for operators, the counts that each live host has of its own
// cells.
type reporter struct {
	members membership
	peers   messageSender
	view    configSource
	cells   cellStates
	lenders lenderStates
}

func newReporter(m membership, p messageSender, v configSource, c cellStates, l lenderStates) *reporter {
	return &reporter{m, p, v, c, l}
}

// reportRequest requests a host's report. Revision is the configuration in force at
// the requesting host.
type reportRequest struct {
	Revision uint64 `msgpack:"revision"`
}

// reportResponse holds the counts of one host: the requests at each server of its
// cells, and the state of each shift whose cell it keeps.
type reportResponse struct {
	// Revision is the configuration in force at the host. While it is an older one,
	// the host may still send requests to servers that the newer one drains, so its
	// counts aren't used.
	Revision uint64         `msgpack:"revision"`
	InFlight map[string]int `msgpack:"busy"`
	Shifts   []admin.Shift  `msgpack:"shifts"`
}

// handler returns the handler of other hosts' requests for this host's report.
func (r *reporter) handler() http.Handler {
	return peer.MessageHandler(func(_ *http.Request, _ reportRequest) (reportResponse, error) { return r.local(clock.Now()), nil })
}

// local returns the counts of this host. Slots that may still be in use by a former
// keeper's or an abandoned request count as in flight.
func (r *reporter) local(now time.Time) reportResponse {
	a := reportResponse{Revision: r.view.Config().Revision, InFlight: make(map[string]int)}
	for _, c := range r.cells.Cells(now) {
		for _, s := range c.Servers {
			a.InFlight[s.Server] = s.Busy + s.Held
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

// mbps converts a rate from bytes/s to Mbit/s.
func mbps(rate int64) float64 { return float64(rate) * 8 / 1e6 }

// Report requests the counts of all live hosts in parallel and combines them. Hosts
// that don't respond within [reportTimeout] or have an older configuration in force
// than this host are reported as missing.
func (r *reporter) Report(ctx context.Context) admin.Report {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	revision := r.view.Config().Revision
	out := admin.Report{InFlight: make(map[string]int)}
	var mu sync.Mutex
	var g sync.WaitGroup
	for _, h := range r.members.Live() {
		g.Go(func() {
			a, err := r.query(ctx, h, revision)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || a.Revision < revision {
				out.Unreachable = append(out.Unreachable, h.Name)
				return
			}
			for n, c := range a.InFlight {
				out.InFlight[n] += c
			}
			out.Shifts = append(out.Shifts, a.Shifts...)
		})
	}
	g.Wait()
	return out
}

// query returns the report of the host, without a message if that is this host.
func (r *reporter) query(ctx context.Context, h member.Host, revision uint64) (reportResponse, error) {
	if h.Name == r.members.Self().Name {
		return r.local(clock.Now()), nil
	}
	var a reportResponse
	err := r.peers.Call(ctx, h, reportPath, reportRequest{revision}, &a)
	return a, err
}
