package lend

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"magnoliahitch/steer/shift"
)

var asksFailed = metrics.NewCounter("hitch_lend_asks_failed_total")

// meters count what goes through an account.
type meters struct {
	spent, refused *metrics.Counter
	lease          *metrics.Gauge
}

func newMeters(a shift.Account) meters {
	labels := fmt.Sprintf(`{kind=%q,name=%q,unit=%q}`, a.Key.Kind, a.Key.Name, a.Unit)
	return meters{
		spent:   metrics.GetOrCreateCounter("hitch_budget_spent_total" + labels),
		refused: metrics.GetOrCreateCounter("hitch_budget_refused_total" + labels),
		lease:   metrics.GetOrCreateGauge("hitch_budget_lease"+labels, nil),
	}
}
