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
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_shifted_requests_total{shift=%q,to=%q}`, o.Caps[0].Name, o.Cell.Region))
}

func shiftedBytes(o shift.Option) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_shifted_bytes_total{shift=%q,to=%q}`, o.Caps[0].Name, o.Cell.Region))
}

func refusedRequests(reason result.Reason) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_route_refused_total{reason=%q}`, reason))
}

// addRefusal adds the cell of the option to those that the plan rules out.
func (d *dispatch) addRefusal(o shift.Option, reason result.Reason) {
	d.plan.Refused = append(d.plan.Refused, shift.Refusal{Cell: o.Cell, Cause: o.Cause, Reason: reason})
}

// refusals returns the cells that were ruled out, each as "cell cause reason".
func (d *dispatch) refusals() []string {
	out := make([]string, len(d.plan.Refused))
	for i, r := range d.plan.Refused {
		out[i] = fmt.Sprintf("%s %s %s", r.Cell, r.Cause, r.Reason)
	}
	return out
}

// logChoice logs the cell and the host that the request is sent to.
func (d *dispatch) logChoice(o shift.Option, to member.Host) {
	if !d.log.IsInfo() {
		return
	}
	d.log.Info("route", "request", d.request.ID, "service", o.Cell.Service, "class", d.request.Class,
		"origin", d.request.Origin, "choice", o.Cell, "reason", o.Cause, "keeper", to.Name, "ruledOut", d.refusals())
}
