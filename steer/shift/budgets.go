package shift

import (
	"time"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/place"
)

// Unit is the quantity that a budget limits.
type Unit string

// Units of budgets.
const (
	Requests Unit = "requests"
	Bytes    Unit = "bytes"
)

// BudgetKey identifies a budget: the requests or the bytes of a cell.
type BudgetKey struct {
	Key  place.Key
	Unit Unit
}

// String returns "kind/region/name:unit".
func (k BudgetKey) String() string { return k.Key.String() + ":" + string(k.Unit) }

// BudgetSize is the size of a budget. Rates are in units a second.
type BudgetSize struct {
	// Cap is the rate that all hosts together may spend.
	Cap int64
	// Floor is the part of the cap that is never lent.
	Floor int64
	// HostFloor is the part of the floor that each host may spend without a lease.
	// It applies while there are at most Hosts hosts.
	HostFloor int64
	Hosts     int
}

// bytesPerMbit is the number of bytes in 10^6 bits.
const bytesPerMbit = 1e6 / 8

// newBudgetSize divides a rate into the floor of each host and the part that is lent.
// The floor of a host is rounded down. Without a number of hosts the default
// applies.
func newBudgetSize(rate, floorShare float64, hosts int) BudgetSize {
	if hosts <= 0 {
		hosts = config.DefaultMaxHosts
	}
	limit := int64(max(0, rate))
	perHost := int64(float64(limit)*min(max(0, floorShare), 1)) / int64(hosts)
	return BudgetSize{Cap: limit, Floor: perHost * int64(hosts), HostFloor: perHost, Hosts: hosts}
}

// BudgetSizes returns the size of every budget of the configuration: of the links, the
// moves, the drains of regions and the failures of regions.
func BudgetSizes(c *config.Config) map[BudgetKey]BudgetSize {
	out := make(map[BudgetKey]BudgetSize)
	for _, n := range c.Links.Names() {
		l := c.Links[n]
		out[BudgetKey{linkKey(l), Bytes}] = newBudgetSize(l.Mbps*bytesPerMbit, l.FloorShare, l.MaxHosts)
	}
	put := func(k place.Key, rate, mbps float64, p config.Profile) {
		out[BudgetKey{k, Requests}] = newBudgetSize(rate, p.ShiftFloorShare, p.MaxHosts)
		out[BudgetKey{k, Bytes}] = newBudgetSize(mbps*bytesPerMbit, p.ShiftFloorShare, p.MaxHosts)
	}
	for _, m := range c.Moves {
		put(place.MoveKey(m), m.CapRate, m.CapMbps, profileOf(c, m.Service))
	}
	for _, d := range c.Drains {
		if d.TargetKind != config.TargetRegion {
			continue
		}
		if k, ok := place.DrainKey(c, d); ok {
			put(k, d.CapRate, d.CapMbps, combinedProfile(c))
		}
	}
	for _, r := range c.Regions.Names() {
		for n, p := range c.Profiles {
			if k, ok := place.FailureKey(c, r, n); ok {
				put(k, p.ShiftRate, p.ShiftMbps, p)
			}
		}
	}
	return out
}

func linkKey(l config.Link) place.Key {
	return place.Key{Kind: place.Link, Region: l.From, Name: l.Name}
}

func profileOf(c *config.Config, service string) config.Profile {
	return c.Profiles[c.Services[service].Profile]
}

// combinedProfile returns a profile with the greatest number of hosts and the
// smallest floor of all profiles. It is for shifts that apply to services of
// several profiles.
func combinedProfile(c *config.Config) config.Profile {
	var out config.Profile
	for i, n := range c.Profiles.Names() {
		p := c.Profiles[n]
		if p.MaxHosts <= 0 {
			p.MaxHosts = config.DefaultMaxHosts
		}
		if i == 0 {
			out.ShiftFloorShare = p.ShiftFloorShare
		}
		out.MaxHosts = max(out.MaxHosts, p.MaxHosts)
		out.ShiftFloorShare = min(out.ShiftFloorShare, p.ShiftFloorShare)
	}
	return out
}

// NoNewWork reports whether the server takes no new work because the server itself or
// its failure domain is being drained. The drain of a region doesn't count: its
// traffic leaves in steps, and what exceeds the cap is still served there.
func NoNewWork(c *config.Config, s config.Server) bool {
	for _, d := range c.Drains {
		if d.TargetKind != config.TargetRegion && d.Covers(s) {
			return true
		}
	}
	return false
}

// Pace describes how a planned shift grows.
type Pace struct {
	// Key is the cell of the shift's cap.
	Key place.Key
	// From is the region that the traffic leaves.
	From string
	// Goal is the share at which the shift is complete, Step the share that each
	// step adds.
	Goal, Step float64
	// Every is the minimum time between two steps.
	Every time.Duration
	// Paused is set by the operator to hold the share at its present value.
	Paused bool
	// GrowsOnUnknownLoad is set for a drain. It grows also while the load of its
	// destinations is unknown, but slowly. That is safe, because a destination
	// refuses requests for which it has no free capacity.
	GrowsOnUnknownLoad bool
	// Cells are the possible destinations of each service.
	Cells map[string][]place.Cell
	// Limits are the limits on the load of each service's destinations.
	Limits map[string]Limits
}

// Limits are the greatest queue delay and the greatest share of refused requests
// of a destination at which a shift to it still grows.
type Limits struct {
	QueueDelay   time.Duration
	RefusedShare float64
}

func limitsOf(c *config.Config, service string) Limits {
	p := profileOf(c, service)
	return Limits{time.Duration(p.QueueWaitMs) * time.Millisecond, p.RefusedShare}
}

// Paces returns the pace of every move and of every drain of a region, by the cell
// of its cap.
func Paces(c *config.Config) map[place.Key]Pace {
	out := make(map[place.Key]Pace)
	for _, m := range c.Moves {
		k := place.MoveKey(m)
		out[k] = Pace{
			Key: k, From: m.From, Goal: m.Share, Step: m.StepShare,
			Every: time.Duration(m.StepMs) * time.Millisecond, Paused: m.Paused,
			Cells:  map[string][]place.Cell{m.Service: {{Region: m.To, Service: m.Service}}},
			Limits: map[string]Limits{m.Service: limitsOf(c, m.Service)},
		}
	}
	for _, d := range c.Drains {
		if d.TargetKind != config.TargetRegion {
			continue
		}
		if k, ok := place.DrainKey(c, d); ok {
			out[k] = drainPace(c, d, k)
		}
	}
	return out
}

// drainPace returns the pace of a region's drain. Its goal is all traffic, and its
// destinations are those of every service with servers in the region.
func drainPace(c *config.Config, d config.Drain, k place.Key) Pace {
	p := Pace{
		Key: k, From: d.Target, Goal: 1, Step: d.StepShare, GrowsOnUnknownLoad: true,
		Every:  time.Duration(d.StepMs) * time.Millisecond,
		Cells:  make(map[string][]place.Cell),
		Limits: make(map[string]Limits),
	}
	if p.Step <= 0 {
		p.Step = config.DefaultDrainStepShare
	}
	if p.Every <= 0 {
		p.Every = config.DefaultDrainStepMs * time.Millisecond
	}
	for _, s := range c.Services.Names() {
		if len(c.ServersOf(s, d.Target)) > 0 {
			p.Cells[s] = drainDestinations(c, s, d.Target)
			p.Limits[s] = limitsOf(c, s)
		}
	}
	return p
}

// drainDestinations returns the cells of a service outside a region that have a
// server that takes new work and whose regions are not being drained.
func drainDestinations(c *config.Config, service, from string) []place.Cell {
	var out []place.Cell
	for _, r := range c.Regions.Names() {
		if r != from && !hasRegionDrain(c, r) && hasAvailableServer(c, service, r) {
			out = append(out, place.Cell{Region: r, Service: service})
		}
	}
	return out
}

// hasRegionDrain reports whether the region is being drained.
func hasRegionDrain(c *config.Config, region string) bool {
	_, ok := regionDrain(c, region)
	return ok
}

// regionDrain returns the first drain of the region in the order of names.
func regionDrain(c *config.Config, region string) (config.Drain, bool) {
	for _, n := range c.Drains.Names() {
		if d := c.Drains[n]; d.TargetKind == config.TargetRegion && d.Target == region {
			return d, true
		}
	}
	return config.Drain{}, false
}

// hasAvailableServer reports whether the service has a server in the region that
// takes new work.
func hasAvailableServer(c *config.Config, service, region string) bool {
	for _, s := range c.Servers {
		if s.Service == service && s.Region == region && !NoNewWork(c, s) {
			return true
		}
	}
	return false
}
