package front

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// lookupAnswer tells a caller which hosts to use, best first.
type lookupAnswer struct {
	Service string       `json:"service"`
	Hosts   []lookupHost `json:"hosts"`
	TTLMs   int64        `json:"ttlMs"`
}

type lookupHost struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

func (f *Front) lookup(c echo.Context) error {
	conf := f.view.Config()
	service, s, err := f.service(c, conf)
	if err != nil {
		return err
	}
	exchangeOf(c.Request()).outcome = result.Done
	cell := place.Cell{Region: f.members.Self().Region, Service: service}
	ranked := place.Rank(cell.String(), place.InRegion(f.members.Live(), cell.Region))
	a := lookupAnswer{Service: service, TTLMs: f.limits.LookupTTL.Milliseconds()}
	if ms := conf.Profiles[s.Profile].LookupTTLMs; ms > 0 {
		a.TTLMs = int64(ms)
	}
	for _, h := range ranked[:min(f.limits.LookupHosts, len(ranked))] {
		a.Hosts = append(a.Hosts, lookupHost{Name: h.Name, Addr: h.CallerAddr})
	}
	return c.JSON(http.StatusOK, a)
}
