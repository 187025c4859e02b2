package route

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"magnoliahitch/steer/member"
	"magnoliahitch/steer/result"
	"magnoliahitch/steer/shift"
)

var retriesSent = metrics.NewCounter("hitch_route_retries_total")

func shiftedRequests(o shift.Option) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_shifted_requests_total{shift=%q,to=%q}`, o.Shifts[0].Name, o.Cell.Region))
}

func shiftedBytes(o shift.Option) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_shifted_bytes_total{shift=%q,to=%q}`, o.Shifts[0].Name, o.Cell.Region))
}

func refusedRequests(reason result.Reason) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_route_refused_total{reason=%q}`, reason))
}

// rule notes that an option was ruled out.
func (j *journey) rule(o shift.Option, reason result.Reason) {
	j.plan.Refused = append(j.plan.Refused, shift.Refusal{Cell: o.Cell, Cause: o.Cause, Reason: reason})
}

// ruledOut lists the cells that were ruled out, as "cell cause reason".
func (j *journey) ruledOut() []string {
	out := make([]string, len(j.plan.Refused))
	for i, r := range j.plan.Refused {
		out[i] = fmt.Sprintf("%s %s %s", r.Cell, r.Cause, r.Reason)
	}
	return out
}

func (j *journey) logChoice(o shift.Option, to member.Host) {
	if !j.log.IsInfo() {
		return
	}
	j.log.Info("route", "request", j.request.ID, "service", o.Cell.Service, "class", j.request.Class,
		"origin", j.request.Origin, "choice", o.Cell, "reason", o.Cause, "keeper", to.Name, "ruledOut", j.ruledOut())
}
