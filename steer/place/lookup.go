package place

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
)

// LookupTable holds the lookup results for one configuration and one set of hosts. It
// is immutable, and a lookup allocates nothing.
type LookupTable struct {
	config *config.Config
	hosts  map[Cell][]member.Host
}

// KeeperFunc returns the keeper of a cell, and whether it is known.
type KeeperFunc func(Key) (member.Host, bool)

// NewLookupTable computes the lookup result for the callers of each region and service:
// at most limit hosts, best first. Leaving hosts are excluded.
func NewLookupTable(c *config.Config, hosts []member.Host, keeper KeeperFunc, limit int) *LookupTable {
	b := lookupBuilder{config: c, keeper: keeper, byRegion: make(map[string][]member.Host)}
	for _, h := range hosts {
		if !h.Leaving {
			b.byRegion[h.Region] = append(b.byRegion[h.Region], h)
		}
	}
	g := &LookupTable{config: c, hosts: make(map[Cell][]member.Host)}
	served := servedCells(c)
	for region := range c.Regions {
		for service := range c.Services {
			g.hosts[Cell{region, service}] = b.hostsFor(Cell{region, service}, served, limit)
		}
	}
	return g
}

// Home returns the home region of a caller by its address, and whether the table
// of blocks gives one that is configured. Otherwise it returns the fallback. The
// table may be nil.
func (g *LookupTable) Home(t *SiteTable, a netip.Addr, fallback string) (string, bool) {
	if t == nil {
		return fallback, false
	}
	s, ok := t.Find(a)
	if !ok {
		return fallback, false
	}
	if _, ok := g.config.Regions[s.Region]; !ok {
		return fallback, false
	}
	return s.Region, true
}

// Hosts returns the hosts that callers of the home region should use for the
// service, best first. The returned slice must not be modified.
func (g *LookupTable) Hosts(home, service string) []member.Host {
	return g.hosts[Cell{home, service}]
}

// servedCells returns the cells that have servers.
func servedCells(c *config.Config) map[Cell]bool {
	out := make(map[Cell]bool)
	for _, s := range c.Servers {
		out[Cell{s.Region, s.Service}] = true
	}
	return out
}

// lookupBuilder computes the lookup results of a [LookupTable].
type lookupBuilder struct {
	config   *config.Config
	keeper   KeeperFunc
	byRegion map[string][]member.Host
}

// hostsFor returns the keeper of the home cell first, then a host of another
// failure domain and further hosts of the home region. If limit is at least 3, the
// last entry is the keeper in another region, in case the home region fails. While
// the home region drains, all entries but the first are of other regions.
func (b *lookupBuilder) hostsFor(home Cell, served map[Cell]bool, limit int) []member.Host {
	var out []member.Host
	if served[home] {
		out = b.ranked(home)
	}
	remote := b.remoteCells(home, served)
	homeLimit := limit - 1
	switch {
	case b.draining(home.Region):
		homeLimit = 1
	case len(remote) == 0 || limit < 3:
		homeLimit = limit
	}
	out = out[:min(len(out), max(homeLimit, 1))]
	for _, c := range remote {
		if len(out) >= limit {
			break
		}
		out = append(out, b.ranked(c)[0])
	}
	return slices.Clip(out)
}

// ranked returns the hosts of the cell's region that aren't leaving. The keeper is
// first if it is known, and the second is in another failure domain if the region
// has one.
func (b *lookupBuilder) ranked(c Cell) []member.Host {
	out := Rank(c.Key().String(), b.byRegion[c.Region])
	k, ok := b.keeper(c.Key())
	if !ok {
		return out
	}
	i := slices.IndexFunc(out, func(h member.Host) bool { return h.Name == k.Name })
	if i > 0 {
		h := out[i]
		copy(out[1:i+1], out[:i])
		out[0] = h
		spreadSecond(out)
	}
	return out
}

// remoteCells returns the cells of the service in the other regions that have
// servers and hosts, those of draining regions last. The order depends on the home
// region and the service, so that the traffic of failed regions is spread over the
// others.
func (b *lookupBuilder) remoteCells(home Cell, served map[Cell]bool) []Cell {
	var out []Cell
	for region := range b.config.Regions {
		c := Cell{region, home.Service}
		if region != home.Region && served[c] && len(b.byRegion[region]) > 0 {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(x, y Cell) int {
		return cmp.Or(
			compareBool(b.draining(x.Region), b.draining(y.Region)),
			cmp.Compare(xxhash.Sum64String(home.String()+"\x00"+x.Region), xxhash.Sum64String(home.String()+"\x00"+y.Region)),
			cmp.Compare(x.Region, y.Region),
		)
	})
	return out
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (b *lookupBuilder) draining(region string) bool {
	for _, d := range b.config.Drains {
		if d.TargetKind == config.TargetRegion && d.Target == region {
			return true
		}
	}
	return false
}
