package judge

import (
	"slices"

	"magnoliahitch/standin/internal/play"
	"magnoliahitch/standin/internal/serve"
)

// objectMoves returns the share of runs that were on another server than the
// previous run for the same object in the cell. First runs aren't counted.
func objectMoves(e Evidence, service string) float64 {
	type objectCell struct{ object, service, region string }
	runs := make(map[objectCell][]serve.Run)
	forEachStart(e, func(r serve.Run) {
		if r.Object != "" && (service == "" || e.Services[r.Server] == service) {
			p := objectCell{r.Object, e.Services[r.Server], e.Regions[r.Server]}
			runs[p] = append(runs[p], r)
		}
	})
	moved, all := 0, 0
	for _, list := range runs {
		slices.SortFunc(list, func(a, b serve.Run) int { return a.At.Compare(b.At) })
		for i := range list[1:] {
			all++
			if list[i].Server != list[i+1].Server {
				moved++
			}
		}
	}
	return float64(moved) / max(1, float64(all))
}

// forEachMatchedRun calls f with each run whose attempt is in a caller's record,
// and with the record.
func forEachMatchedRun(e Evidence, f func(serve.Run, play.Record)) {
	records := make(map[string]play.Record)
	for _, r := range e.Result.Records {
		for _, a := range r.Attempts {
			records[a.ID] = r
		}
	}
	forEachStart(e, func(r serve.Run) {
		if rec, ok := records[r.Request]; ok {
			f(r, rec)
		}
	})
}

// outsideRegions counts the runs in a region that may not serve the request.
func outsideRegions(e Evidence, _ string) float64 {
	n := 0
	forEachMatchedRun(e, func(r serve.Run, rec play.Record) {
		if len(rec.Allowed) > 0 && !slices.Contains(rec.Allowed, e.Regions[r.Server]) {
			n++
		}
	})
	return float64(n)
}

// mainServiceShare returns how a route splits its requests over services: of the
// runs of the requests recorded under the given name, the share on servers of the
// service that ran most of them.
func mainServiceShare(e Evidence, service string) float64 {
	counts := make(map[string]int)
	most, all := 0, 0
	forEachMatchedRun(e, func(r serve.Run, rec play.Record) {
		if rec.Service != service {
			return
		}
		at := e.Services[r.Server]
		counts[at]++
		most = max(most, counts[at])
		all++
	})
	return float64(most) / max(1, float64(all))
}
