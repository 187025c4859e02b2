package keep

import (
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
	"magnoliahitch/steer/slots"
)

// meter holds the metrics of a cell.
type meter struct {
	cell                    string
	started, queued         *metrics.Counter
	retries, denied, hedges *metrics.Counter
	queueDelay, latency     *metrics.Histogram
	mu                      sync.Mutex
	refusals, attempts      map[string]*metrics.Counter
}

// metricName returns the metric's name with labels, which are given as pairs of
// name and value.
func metricName(metric string, labels ...string) string {
	var b strings.Builder
	b.WriteString(metric)
	for i := 0; i+1 < len(labels); i += 2 {
		b.WriteString(map[bool]string{true: "{", false: ","}[i == 0] + labels[i] + `="` + labels[i+1] + `"`)
	}
	b.WriteString("}")
	return b.String()
}

func newMeter(p place.Cell) *meter {
	c := p.String()
	counter := func(metric string, labels ...string) *metrics.Counter {
		return metrics.GetOrCreateCounter(metricName(metric, append([]string{"cell", c}, labels...)...))
	}
	return &meter{
		cell:       c,
		started:    counter("hitch_keep_decisions_total", "decision", "started"),
		queued:     counter("hitch_keep_decisions_total", "decision", "queued"),
		retries:    counter("hitch_keep_second_attempts_total", "kind", "retry"),
		denied:     counter("hitch_keep_second_attempts_total", "kind", "denied"),
		hedges:     counter("hitch_keep_second_attempts_total", "kind", "hedge"),
		queueDelay: metrics.GetOrCreateHistogram(metricName("hitch_keep_queue_delay_seconds", "cell", c)),
		latency:    metrics.GetOrCreateHistogram(metricName("hitch_keep_latency_seconds", "cell", c)),
		refusals:   make(map[string]*metrics.Counter),
		attempts:   make(map[string]*metrics.Counter),
	}
}

// countDecision counts the admission decision on a request.
func (m *meter) countDecision(d slots.Decision) {
	switch {
	case d.Started:
		m.started.Inc()
		m.queueDelay.Update(0)
	case d.Queued:
		m.queued.Inc()
	default:
		m.countRefusal(d.Reason)
	}
}

// countRefusal counts the refusal of a request, on admission or from the queue.
func (m *meter) countRefusal(r result.Reason) {
	m.counter(m.refusals, "hitch_keep_refusals_total", "reason", string(r)).Inc()
}

// countAttempt counts the end of an attempt by outcome and reason.
func (m *meter) countAttempt(e slots.Completion) {
	m.counter(m.attempts, "hitch_keep_attempts_total", "outcome", e.Outcome.String(), "reason", string(e.Reason)).Inc()
}

// counter returns the counter of the metric with the labels, which it creates at
// first use.
func (m *meter) counter(counters map[string]*metrics.Counter, metric string, labels ...string) *metrics.Counter {
	key := strings.Join(labels, "\x00")
	m.mu.Lock()
	defer m.mu.Unlock()
	c := counters[key]
	if c == nil {
		c = metrics.GetOrCreateCounter(metricName(metric, append([]string{"cell", m.cell}, labels...)...))
		counters[key] = c
	}
	return c
}

// registerGauges registers the gauges of a cell. They are 0 when this host doesn't
// keep the cell.
func (k *Keeper) registerGauges(p place.Cell) {
	gauge := func(metric string, value func(c *cell) float64) {
		metrics.GetOrCreateGauge(metricName(metric, "cell", p.String()), func() float64 {
			k.mu.RLock()
			c := k.cells[p]
			k.mu.RUnlock()
			if c == nil {
				return 0
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			return value(c)
		})
	}
	gauge("hitch_keep_slots", func(c *cell) float64 { return float64(c.slots.Load(clock.Now()).Slots) })
	gauge("hitch_keep_slots_free", func(c *cell) float64 { return float64(c.slots.Load(clock.Now()).Free) })
	gauge("hitch_keep_queued", func(c *cell) float64 { return float64(c.slots.Load(clock.Now()).Queued) })
	gauge("hitch_keep_ejected_servers", func(c *cell) float64 { return float64(c.slots.Load(clock.Now()).Ejected) })
	gauge("hitch_keep_retry_budget", func(c *cell) float64 { return float64(c.budget.Left(clock.Now())) })
}
