package front

import (
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/routes"
)

// routing finds the routes of requests that name no service in their path.
type routing struct {
	current atomic.Pointer[routingTable]
	parts   routes.Splitters
}

// routingTable is the table of a configuration.
type routingTable struct {
	*routes.Table
	config *config.Config
}

// table returns the routing table of the configuration.
func (t *routing) table(c *config.Config) *routes.Table {
	if got := t.current.Load(); got != nil && got.config == c {
		return got.Table
	}
	next := &routingTable{c.Table(), c}
	t.current.Store(next)
	return next.Table
}

// find returns the route of the request, or nil.
func (t *routing) find(c *config.Config, req *http.Request) *routes.Route {
	return t.table(c).Find(req.Host, req.URL.EscapedPath())
}

// objectOf returns the value of the route's affinity header.
func objectOf(r *routes.Route, h http.Header) string {
	if r.Affinity == "" {
		return ""
	}
	return h.Get(r.Affinity)
}

// wholePath returns the path as the caller encoded it, under the same checks
// as that of a service.
func wholePath(u *url.URL) (string, bool) {
	path := u.EscapedPath()
	return path, strings.HasPrefix(path, "/") && isPlain(path)
}
