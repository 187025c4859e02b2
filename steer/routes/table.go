package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Part is a service that gets a share of a route's requests.
type Part struct {
	Service string
	Weight  float64
}

// Route defines how requests for one host name and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent reports whether a request may run more than once.
	Idempotent bool
	// Parts are the services that share the requests.
	Parts []Part
	// Timeout bounds the time from a request to its response; zero means no bound.
	Timeout time.Duration
	// Target is the target latency. A later response has less value.
	Target time.Duration
	// MaxAttempts is the largest number of attempts for one request.
	MaxAttempts int
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Regions are the only regions that may serve the requests; empty means all.
	Regions []string
	// Affinity is the request header whose value names the object that a request
	// concerns; empty means none.
	Affinity string
	// Sticky reports whether a request is faster on a server that recently
	// handled one of the same object.
	Sticky bool
}

// Allows reports whether a server of the region may run the route's requests.
func (r *Route) Allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Service describes the properties that all servers of a service share.
type Service struct {
	Name string
	// HealthPath is the path of the health check; empty means none.
	HealthPath string
	// MaxConns is the number of connections that a server accepts from all hosts together.
	MaxConns int
	// WarmUpRate is the number of requests per second that a server can handle
	// while it warms up.
	WarmUpRate float64
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	// HeaderBytes and BodyBytes bound the size of a request.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time until a request's header is received.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout time.Duration
}

// Table is the routing table of one version of the configuration.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	// hosts holds the result of [Table.HostOf] for each service.
	hosts map[string]string
	// byHost holds the routes of each host name, longest prefix first.
	byHost map[string][]*Route
}

// NewTable returns a table of the routes and services. The host names of the
// routes must be in lower case and without a port.
func NewTable(version uint64, limits Limits, services []Service, routes []Route) *Table {
	t := &Table{Version: version, Limits: limits, Services: make(map[string]Service), byHost: make(map[string][]*Route), hosts: make(map[string]string)}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	t.nameServices(routes)
	for _, rs := range t.byHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// nameServices sets the name of each service to the host name of the route that
// sends it the largest share of its requests. Among equal shares the name that
// sorts first is used.
func (t *Table) nameServices(routes []Route) {
	weights := make(map[string]float64)
	for _, r := range routes {
		sum := 0.0
		for _, p := range r.Parts {
			sum += p.Weight
		}
		for _, p := range r.Parts {
			share := p.Weight / max(sum, 1e-9)
			host, found := t.hosts[p.Service]
			if !found || share > weights[p.Service] || share == weights[p.Service] && r.Host < host {
				t.hosts[p.Service], weights[p.Service] = r.Host, share
			}
		}
	}
}

// HostOf returns the host name of the route that sends the largest share of its
// requests to the service, or "" when no route names the service.
func (t *Table) HostOf(service string) string { return t.hosts[service] }

// Find returns the route of the host name with the longest prefix that matches
// the path, or nil. The host name may carry a port and is matched regardless
// of case.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.byHost[normalize(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// MainService returns the service with the largest weight on the route of the host
// name that has the shortest prefix, or "" when there is none.
func (t *Table) MainService(host string) string {
	list := t.byHost[normalize(host)]
	if len(list) == 0 {
		return ""
	}
	best := Part{}
	for _, p := range list[len(list)-1].Parts {
		if best.Service == "" || p.Weight > best.Weight {
			best = p
		}
	}
	return best.Service
}

// Len returns the number of routes.
func (t *Table) Len() int {
	n := 0
	for _, rs := range t.byHost {
		n += len(rs)
	}
	return n
}

// normalize removes the port from a host name and converts it to lower case.
func normalize(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}
