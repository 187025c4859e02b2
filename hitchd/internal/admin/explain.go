package admin

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/place"
)

// explainResponse explains how a request would be routed.
type explainResponse struct {
	Service  string       `json:"service"`
	Region   string       `json:"region"`
	Profile  string       `json:"profile"`
	Class    config.Class `json:"class"`
	Revision uint64       `json:"revision"`
	// Keeper is empty when the cell has no keeper.
	Keeper string `json:"keeper"`
	// Candidates are the hosts that may keep the cell, in order of preference.
	Candidates []candidate    `json:"candidates"`
	Servers    []serverStatus `json:"servers"`
	Moves      []string       `json:"moves,omitempty"`
	// DecisionsKnown is unset when this host has no explainer of its routing
	// decisions.
	DecisionsKnown bool     `json:"decisionsKnown"`
	Decisions      []string `json:"decisions,omitempty"`
}

type candidate struct {
	Host   string `json:"host"`
	Domain string `json:"domain"`
}

// serverStatus is a server of the cell, with the drain that keeps requests from
// it.
type serverStatus struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Drain  string `json:"drain,omitempty"`
}

// explainRequest responds with an explanation for the service and region in the
// query. The region is that of this host when it is left out.
func (a *Admin) explainRequest(c echo.Context) error {
	conf := a.view.Config()
	name, region := c.QueryParam("service"), c.QueryParam("region")
	if region == "" {
		region = a.members.Self().Region
	}
	s, ok := conf.Services[name]
	if !ok {
		return &problem{Status: http.StatusNotFound, Reason: reasonRequest, Detail: "service = " + name + ": want the name of a configured service"}
	}
	if _, ok := conf.Regions[region]; !ok {
		return &problem{Status: http.StatusNotFound, Reason: reasonRequest, Detail: "region = " + region + ": want the name of a configured region"}
	}
	cell := place.Cell{Region: region, Service: name}
	out := a.explanation(clock.Now(), conf, cell)
	out.Profile, out.Class = s.Profile, s.Class
	if a.explain != nil {
		out.DecisionsKnown, out.Decisions = true, a.explain.Explain(clock.Now(), cell, c.QueryParam("block"))
	}
	return c.JSON(http.StatusOK, out)
}

// explanation returns the part of the response that depends on the
// configuration and the live hosts only.
func (a *Admin) explanation(now time.Time, conf *config.Config, cell place.Cell) explainResponse {
	out := explainResponse{Service: cell.Service, Region: cell.Region, Revision: conf.Revision}
	if k, ok := a.members.Keeper(now, cell.Key()); ok {
		out.Keeper = k.Name
	}
	for _, h := range place.Rank(cell.Key().String(), place.InRegion(a.members.Live(), cell.Region)) {
		out.Candidates = append(out.Candidates, candidate{h.Name, h.Domain})
	}
	for _, s := range conf.ServersOf(cell.Service, cell.Region) {
		d, _ := conf.Draining(s)
		out.Servers = append(out.Servers, serverStatus{s.Name, s.Domain, d.Name})
	}
	for _, n := range conf.Moves.Names() {
		if m := conf.Moves[n]; m.Service == cell.Service && (m.From == cell.Region || m.To == cell.Region) {
			out.Moves = append(out.Moves, n)
		}
	}
	return out
}
