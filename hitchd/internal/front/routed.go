package front

import (
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/routes"
)

// routing finds the routes of requests whose path names no service. It caches
// the routing table until the configuration changes.
type routing struct {
	current   atomic.Pointer[cachedTable]
	splitters routes.Splitters
}

// cachedTable is a routing table with the configuration that it was built from.
type cachedTable struct {
	*routes.Table
	config *config.Config
}

// table returns the routing table of the configuration.
func (t *routing) table(c *config.Config) *routes.Table {
	if got := t.current.Load(); got != nil && got.config == c {
		return got.Table
	}
	next := &cachedTable{c.Table(), c}
	t.current.Store(next)
	t.splitters.Retain(next.Table)
	return next.Table
}

// find returns the route that matches the host name and path of the request, or
// nil.
func (t *routing) find(c *config.Config, req *http.Request) *routes.Route {
	return t.table(c).Find(req.Host, req.URL.EscapedPath())
}

// objectOf returns the value of the route's affinity header, "" if the route
// has none.
func objectOf(r *routes.Route, h http.Header) string {
	if r.Affinity == "" {
		return ""
	}
	return h.Get(r.Affinity)
}

// requestPath returns the path as the caller encoded it, and whether it is
// absolute and safe.
func requestPath(u *url.URL) (string, bool) {
	path := u.EscapedPath()
	return path, strings.HasPrefix(path, "/") && isSafePath(path)
}
