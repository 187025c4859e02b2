package edge

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"magnoliahitch/hitchd/internal/watch"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/fresh"
)

// mayRoute reports whether routes may be decided by the state's operator's table.
func (e *Edge) mayRoute(now time.Time, st *watch.State) bool {
	return usable(now, "operator", fresh.Table{Read: st.OperatorRead, Unanswered: st.OperatorUnanswered}, e.operatorBounds)
}

// maySend reports whether a server may get a request by the state.
func (e *Edge) maySend(now time.Time, st *watch.State) bool {
	return e.mayRoute(now, st) &&
		usable(now, "servers", fresh.Table{Read: st.ServersRead, Unanswered: st.ServersUnanswered}, e.serversBounds)
}

// usable reports whether decisions may follow the table, and counts those by an old one.
func usable(now time.Time, name string, t fresh.Table, b fresh.Bounds) bool {
	if !t.Usable(now, b) {
		return false
	}
	if b.Age > 0 && now.Sub(t.Read) > b.Age {
		oldDecisions(name).Inc()
	}
	return true
}

// current returns the state in force, and whether routes may be decided by it. After a
// pause of this process it waits for a newer one.
func (e *Edge) current(ctx context.Context, x *exchange) (*watch.State, bool) {
	if st := e.state(); e.mayRoute(clock.Now(), st) {
		return st, true
	}
	e.awaitFresh(ctx, x)
	st := e.state()
	return st, e.mayRoute(clock.Now(), st)
}

// oldDecisions counts decisions by a table older than its bound.
func oldDecisions(table string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_edge_old_decisions_total{table=%q}`, table))
}
