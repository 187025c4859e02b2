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

// lookupAnswer tells a caller which hosts to use, best first.
type lookupAnswer struct {
	Service string `json:"service"`
	// Region is the caller's home region.
	Region string       `json:"region"`
	Hosts  []lookupHost `json:"hosts"`
	TTLMs  int64        `json:"ttlMs"`
}

type lookupHost struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// blockParam is the query parameter that stands for the header of the block.
const blockParam = "block"

func (f *Front) lookup(c echo.Context) error {
	conf := f.view.Config()
	service := c.Param("service")
	if _, named := conf.Services[service]; !named {
		// Callers of a route's host name use the hosts of its main service.
		service = cmp.Or(f.routing.table(conf).Main(service), service)
	}
	s, err := f.service(service, conf)
	if err != nil {
		return err
	}
	x := exchangeOf(c.Request())
	x.service = lookupName
	addr, err := f.callerAddr(c.Request(), c.QueryParam(blockParam))
	if err != nil {
		return err
	}
	g := f.guide(clock.Now(), conf)
	home, known := f.home(g, s, addr)
	hosts := f.without(clock.Now(), g.Hosts(home, service))
	if len(hosts) == 0 {
		return f.refuse(result.ReasonNoHost, "look up hosts for service "+service)
	}
	if f.log.IsInfo() {
		f.log.Info("look-up", "service", service, "caller", addr, "region", home, "byBlock", known, "host", hosts[0].Name, "others", len(hosts)-1)
	}
	a := lookupAnswer{Service: service, Region: home, TTLMs: f.limits.LookupTTL.Milliseconds()}
	if ms := conf.Profiles[s.Profile].LookupTTLMs; ms > 0 {
		a.TTLMs = int64(ms)
	}
	for _, h := range hosts {
		a.Hosts = append(a.Hosts, lookupHost{Name: h.Name, Addr: h.CallerAddr})
	}
	x.outcome = result.Done
	return c.JSON(http.StatusOK, a)
}

// without leaves this host out of the list while callers may not be sent to it.
func (f *Front) without(now time.Time, hosts []member.Host) []member.Host {
	if f.servable(now) {
		return hosts
	}
	self := f.members.Self().Name
	return slices.DeleteFunc(slices.Clone(hosts), func(h member.Host) bool { return h.Name == self })
}

// lookupName stands for the service in the counts of look-ups.
const lookupName = "(lookup)"

// home returns the caller's home region and whether its block told it.
func (f *Front) home(g *place.Guide, s config.Service, a netip.Addr) (string, bool) {
	return g.Home(f.blocks.For(s.Profile), a, f.members.Self().Region)
}

// callerAddr returns the caller's address: that of the block which it names in
// the header or the parameter, or that of its connection.
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
		return netip.Addr{}, f.refuse(result.ReasonBadRequest, "read block, which must be an IP address or a prefix,")
	}
	return a, nil
}
