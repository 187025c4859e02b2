package admin

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/place"
)

// explainAnswer tells where a request would go and why.
type explainAnswer struct {
	Service  string       `json:"service"`
	Region   string       `json:"region"`
	Profile  string       `json:"profile"`
	Class    config.Class `json:"class"`
	Revision uint64       `json:"revision"`
	// Keeper is empty when the cell has none.
	Keeper string `json:"keeper"`
	// Candidates are the hosts that may keep the cell, first choice first.
	Candidates []candidate `json:"candidates"`
	Servers    []serverUse `json:"servers"`
	Moves      []string    `json:"moves,omitempty"`
	// Decisions are unknown when the host can't tell them.
	DecisionsKnown bool     `json:"decisionsKnown"`
	Decisions      []string `json:"decisions,omitempty"`
}

type candidate struct {
	Host   string `json:"host"`
	Domain string `json:"domain"`
}

// serverUse is a server of the cell and the drain that keeps work from it.
type serverUse struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Drain  string `json:"drain,omitempty"`
}

func (a *Admin) explainRequest(c echo.Context) error {
	conf := a.view.Config()
	name, region := c.QueryParam("service"), c.QueryParam("region")
	if region == "" {
		region = a.members.Self().Region
	}
	s, ok := conf.Services[name]
	if !ok {
		return &problem{Status: http.StatusNotFound, Reason: reasonRequest, Detail: "service = " + name + ": want the name of a service"}
	}
	if _, ok := conf.Regions[region]; !ok {
		return &problem{Status: http.StatusNotFound, Reason: reasonRequest, Detail: "region = " + region + ": want the name of a region"}
	}
	cell := place.Cell{Region: region, Service: name}
	out := a.explanation(clock.Now(), conf, cell)
	out.Profile, out.Class = s.Profile, s.Class
	if a.explain != nil {
		out.DecisionsKnown, out.Decisions = true, a.explain.Explain(clock.Now(), cell, c.QueryParam("block"))
	}
	return c.JSON(http.StatusOK, out)
}

// explanation tells what follows from the configuration and the hosts alone.
func (a *Admin) explanation(now time.Time, conf *config.Config, cell place.Cell) explainAnswer {
	out := explainAnswer{Service: cell.Service, Region: cell.Region, Revision: conf.Revision}
	if k, ok := a.members.Keeper(now, cell.Key()); ok {
		out.Keeper = k.Name
	}
	for _, h := range place.Rank(cell.Key().String(), place.InRegion(a.members.Live(), cell.Region)) {
		out.Candidates = append(out.Candidates, candidate{h.Name, h.Domain})
	}
	for _, s := range conf.ServersOf(cell.Service, cell.Region) {
		d, _ := conf.Draining(s)
		out.Servers = append(out.Servers, serverUse{s.Name, s.Domain, d.Name})
	}
	for _, n := range conf.Moves.Names() {
		if m := conf.Moves[n]; m.Service == cell.Service && (m.From == cell.Region || m.To == cell.Region) {
			out.Moves = append(out.Moves, n)
		}
	}
	return out
}
