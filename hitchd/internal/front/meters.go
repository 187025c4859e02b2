package front

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"magnoliahitch/steer/result"
)

// meterKey tells the counters of requests apart.
type meterKey struct {
	service string
	outcome result.Outcome
	reason  result.Reason
}

// meter counts requests of one kind.
type meter struct {
	total   *metrics.Counter
	seconds *metrics.Histogram
}

// meters hold the counters that were needed so far.
type meters struct{ known sync.Map }

// count counts a request that took the time.
func (m *meters) count(x *exchange, took time.Duration) {
	k := meterKey{x.service, x.outcome, x.reason}
	v, ok := m.known.Load(k)
	if !ok {
		v, _ = m.known.LoadOrStore(k, &meter{
			total:   metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_requests_total{service=%q,outcome=%q,reason=%q}`, k.service, k.outcome, k.reason)),
			seconds: metrics.GetOrCreateHistogram(fmt.Sprintf(`hitch_request_seconds{service=%q,outcome=%q}`, k.service, k.outcome)),
		})
	}
	r := v.(*meter)
	r.total.Inc()
	r.seconds.Update(took.Seconds())
}
