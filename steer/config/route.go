package config

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"magnoliahitch/steer/routes"
)

// Route sends the requests for a host name and a path prefix to services. If
// several routes match a request, the one with the longest prefix applies.
type Route struct {
	Name   string `json:"name" ini:"-"`
	Host   string `json:"host" ini:"host"`
	Prefix string `json:"prefix" ini:"prefix"`
	// Parts are the services that share the requests, each as SERVICE or
	// SERVICE:WEIGHT. The default weight is 1.
	Parts []string `json:"parts" ini:"parts"`
	// Regions are the only regions that may serve the requests; empty means all.
	Regions []string `json:"regions,omitempty" ini:"regions"`
	// TimeoutMs bounds the duration of requests in addition to their service's
	// deadline, in milliseconds. Zero means no additional bound.
	TimeoutMs int `json:"timeoutMs,omitempty" ini:"timeoutMs"`
	// Affinity is the request header whose value names the object that a request
	// concerns. Requests of one object go to the same server while it has free
	// capacity. Empty means no affinity.
	Affinity string `json:"affinity,omitempty" ini:"affinity"`
}

// parsePart parses a part of a route and reports whether it is valid.
func parsePart(text string) (routes.Part, bool) {
	name, weight, weighted := strings.Cut(text, ":")
	if !weighted {
		return routes.Part{Service: name, Weight: 1}, true
	}
	w, err := strconv.ParseFloat(weight, 64)
	return routes.Part{Service: name, Weight: w}, err == nil && w >= 0 && w <= maxWeight
}

// Patterns of a route's host name and header name.
var (
	hostPattern   = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9.-]{0,251}[A-Za-z0-9])?$`)
	headerPattern = regexp.MustCompile("^[A-Za-z0-9!#$%&'*+.^_`|~-]{1,63}$")
)

// maxWeight is the largest weight of a part.
const maxWeight = 1e6

// Table returns the routing table of the configuration.
func (c *Config) Table() *routes.Table {
	var list []routes.Route
	for _, n := range c.Routes.Names() {
		v := c.Routes[n]
		r := routes.Route{
			Name: n, Host: strings.ToLower(v.Host), Prefix: v.Prefix, Regions: v.Regions,
			Timeout: time.Duration(v.TimeoutMs) * time.Millisecond, Affinity: http.CanonicalHeaderKey(v.Affinity),
		}
		for _, text := range v.Parts {
			// Config.Faults rejects invalid parts, so none occur in an accepted configuration.
			if p, ok := parsePart(text); ok {
				r.Parts = append(r.Parts, p)
			}
		}
		list = append(list, r)
	}
	return routes.NewTable(c.Revision, routes.Limits{}, nil, list)
}

func (f *faults) checkRoutes() {
	owner := make(map[string]string)
	for _, n := range f.config.Routes.Names() {
		v := f.config.Routes[n]
		r := f.forRecord(KindRoute, n, v.Name)
		if !hostPattern.MatchString(v.Host) {
			r.add("host", v.Host, "a host name of letters, digits, dots and hyphens, without a port")
		}
		if !strings.HasPrefix(v.Prefix, "/") || !strings.HasSuffix(v.Prefix, "/") {
			r.add("prefix", v.Prefix, "a path that begins and ends with a slash")
		}
		key := strings.ToLower(v.Host) + v.Prefix
		if o, taken := owner[key]; taken {
			r.add("prefix", v.Prefix, "a prefix of its own for the host; route "+o+" has it")
		}
		owner[key] = n
		f.checkParts(r, v)
		for _, region := range v.Regions {
			checkReference(r, "regions", region, f.config.Regions, KindRegion)
		}
		r.checkMs("timeoutMs", v.TimeoutMs, 0)
		if v.Affinity != "" && !headerPattern.MatchString(v.Affinity) {
			r.add("affinity", v.Affinity, "the name of a request header, or nothing")
		}
	}
}

// checkParts checks the services and weights of a route.
func (f *faults) checkParts(r recordFaults, v Route) {
	sum := 0.0
	for _, text := range v.Parts {
		p, ok := parsePart(text)
		if !ok {
			r.add("parts", text, fmt.Sprintf("SERVICE or SERVICE:WEIGHT, with a weight from 0 to %g", float64(maxWeight)))
			continue
		}
		checkReference(r, "parts", p.Service, f.config.Services, KindService)
		sum += p.Weight
	}
	if sum <= 0 {
		r.add("parts", strings.Join(v.Parts, ", "), "one service or more, with weights that are not all 0")
	}
}
