package front

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"magnoliahitch/steer/result"
)

// meterKey identifies the metrics of one kind of request.
type meterKey struct {
	service string
	outcome result.Outcome
	reason  result.Reason
}

// meter holds the metrics of one kind of request. The histogram is shared by
// all reasons of an outcome.
type meter struct {
	total   *metrics.Counter
	seconds *metrics.Histogram
}

// meters holds the metrics of each kind of request, made on first use.
type meters struct{ byKey sync.Map }

// count records a request and the time that it took.
func (m *meters) count(x *exchange, took time.Duration) {
	k := meterKey{x.service, x.outcome, x.reason}
	v, ok := m.byKey.Load(k)
	if !ok {
		v, _ = m.byKey.LoadOrStore(k, &meter{
			total:   metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_requests_total{service=%q,outcome=%q,reason=%q}`, k.service, k.outcome, k.reason)),
			seconds: metrics.GetOrCreateHistogram(fmt.Sprintf(`hitch_request_seconds{service=%q,outcome=%q}`, k.service, k.outcome)),
		})
	}
	r := v.(*meter)
	r.total.Inc()
	r.seconds.Update(took.Seconds())
}
