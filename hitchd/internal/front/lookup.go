package front

import (
	"cmp"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// lookupResponse lists the hosts that a caller should use, best first.
type lookupResponse struct {
	Service string `json:"service"`
	// Region is the caller's home region.
	Region string       `json:"region"`
	Hosts  []lookupHost `json:"hosts"`
	// TTLMs is how long the caller may use the list, in milliseconds.
	TTLMs int64 `json:"ttlMs"`
}

type lookupHost struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// blockParam is the query parameter that names the caller's address block when
// the header is missing.
const blockParam = "block"

// lookup responds with the hosts to use for a service.
func (f *Front) lookup(c echo.Context) error {
	conf := f.view.Config()
	service := c.Param("service")
	if _, named := conf.Services[service]; !named {
		// The name may be the host name of routes, which stands for their main
		// service.
		service = cmp.Or(f.routing.table(conf).MainService(service), service)
	}
	s, err := f.findService(service, conf)
	if err != nil {
		return err
	}
	x := exchangeOf(c.Request())
	x.service = lookupLabel
	addr, err := f.callerAddr(c.Request(), c.QueryParam(blockParam))
	if err != nil {
		return err
	}
	g := f.lookupTable(clock.Now(), conf)
	home, byBlock := f.home(g, s, addr)
	hosts := f.filterSelf(clock.Now(), g.Hosts(home, service))
	if len(hosts) == 0 {
		return f.refuse(result.ReasonNoHost, "look up hosts for service "+service)
	}
	if f.log.IsInfo() {
		f.log.Info("look-up", "service", service, "caller", addr, "region", home, "byBlock", byBlock, "host", hosts[0].Name, "others", len(hosts)-1)
	}
	a := lookupResponse{Service: service, Region: home, TTLMs: f.limits.LookupTTL.Milliseconds()}
	if ms := conf.Profiles[s.Profile].LookupTTLMs; ms > 0 {
		a.TTLMs = int64(ms)
	}
	for _, h := range hosts {
		a.Hosts = append(a.Hosts, lookupHost{Name: h.Name, Addr: h.CallerAddr})
	}
	x.outcome = result.Done
	return c.JSON(http.StatusOK, a)
}

// filterSelf returns the list without this host while lookups may not list it.
func (f *Front) filterSelf(now time.Time, hosts []member.Host) []member.Host {
	if f.servable(now) {
		return hosts
	}
	self := f.members.Self().Name
	return slices.DeleteFunc(slices.Clone(hosts), func(h member.Host) bool { return h.Name == self })
}

// lookupLabel is the service label of lookups in the metrics.
const lookupLabel = "(lookup)"

// home returns the caller's home region, and whether the table of blocks
// contains its address. Otherwise the home region is that of this host.
func (f *Front) home(g *place.LookupTable, s config.Service, a netip.Addr) (string, bool) {
	return g.Home(f.blocks.For(s.Profile), a, f.members.Self().Region)
}

// callerAddr returns the address that determines the caller's home region: that
// of the block in the header, or in param if there is no header, or the remote
// address of the connection. It is the zero address if the remote address can't
// be parsed.
func (f *Front) callerAddr(req *http.Request, param string) (netip.Addr, error) {
	text := req.Header.Get(call.HeaderBlock)
	if text == "" {
		text = param
	}
	if text == "" {
		a, err := netip.ParseAddrPort(req.RemoteAddr)
		if err != nil {
			return netip.Addr{}, nil
		}
		return a.Addr(), nil
	}
	if p, err := netip.ParsePrefix(text); err == nil {
		return p.Addr(), nil
	}
	a, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Addr{}, f.refuse(result.ReasonBadRequest, "read block (want an IP address or prefix)")
	}
	return a, nil
}
