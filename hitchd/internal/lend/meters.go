package lend

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"magnoliahitch/steer/place"
	"magnoliahitch/steer/shift"
)

var requestsFailed = metrics.NewCounter("hitch_lend_asks_failed_total")

// lentGauge is the gauge of the units that this host lends from a budget as its keeper.
func lentGauge(k place.Key, u shift.Unit) *metrics.Gauge {
	return metrics.GetOrCreateGauge(fmt.Sprintf(`hitch_budget_lent{kind=%q,name=%q,unit=%q}`, k.Kind, k.Name, u), nil)
}

// shareGauge is the gauge of the current share of a planned shift, set by its keeper.
func shareGauge(k place.Key) *metrics.Gauge {
	return metrics.GetOrCreateGauge(fmt.Sprintf(`hitch_shift_share{name=%q}`, k.Name), nil)
}

// meters are the metrics of an account: the units spent, the refusals and the share that
// it holds.
type meters struct {
	spent, refused *metrics.Counter
	lease          *metrics.Gauge
}

func newMeters(a shift.BudgetKey) meters {
	labels := fmt.Sprintf(`{kind=%q,name=%q,unit=%q}`, a.Key.Kind, a.Key.Name, a.Unit)
	return meters{
		spent:   metrics.GetOrCreateCounter("hitch_budget_spent_total" + labels),
		refused: metrics.GetOrCreateCounter("hitch_budget_refused_total" + labels),
		lease:   metrics.GetOrCreateGauge("hitch_budget_lease"+labels, nil),
	}
}
