package edge

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"magnoliahitch/hitchd/internal/watch"
)

// staleTable returns the name of a table that is older than its bound, "" if there is none.
func (e *Edge) staleTable(now time.Time, st *watch.State) string {
	switch {
	case e.operatorBound > 0 && now.Sub(st.OperatorRead) > e.operatorBound:
		return "operator"
	case e.serversBound > 0 && now.Sub(st.ServersRead) > e.serversBound:
		return "servers"
	}
	return ""
}

// noteStale logs and counts that a request is decided by a table that is older than its
// bound.
func (e *Edge) noteStale(now time.Time, request string) {
	st := e.state()
	table := e.staleTable(now, st)
	if table == "" {
		return
	}
	staleDecisions(table).Inc()
	e.log.Info("request is decided by an old table", "request", request, "table", table, "operatorAgeMs", ms(now.Sub(st.OperatorRead)),
		"serversAgeMs", ms(now.Sub(st.ServersRead)), "delayMs", ms(e.delays.Standing(now)))
}

// staleDecisions counts requests that were decided by a table older than its bound.
func staleDecisions(table string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_edge_stale_decisions_total{table=%q}`, table))
}
