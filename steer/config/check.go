package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"
)

// checkRegions checks the regions and that each failure domain is listed once.
func (f *faults) checkRegions() {
	owner := make(map[string]string)
	for _, n := range f.config.Regions.Names() {
		v := f.config.Regions[n]
		r := f.forRecord(KindRegion, n, v.Name)
		if len(v.Domains) == 0 {
			r.add("domains", "(none)", "the names of one or more failure domains")
		}
		for _, d := range v.Domains {
			if !namePattern.MatchString(d) {
				r.add("domains", d, wantName)
			}
			if o, ok := owner[d]; ok {
				r.add("domains", d, "a failure domain listed once; region "+o+" has it")
			}
			owner[d] = n
		}
	}
}

func (f *faults) checkServices() {
	for _, n := range f.config.Services.Names() {
		v := f.config.Services[n]
		r := f.forRecord(KindService, n, v.Name)
		checkReference(r, "profile", v.Profile, f.config.Profiles, KindProfile)
		switch v.Class {
		case ClassInteractive, ClassBooking, ClassBulk:
		default:
			r.add("class", v.Class, "interactive, booking or bulk")
		}
		r.checkMs("deadlineMs", v.DeadlineMs, 1)
	}
}

func (f *faults) checkServers() {
	owner := make(map[netip.AddrPort]string)
	for _, n := range f.config.Servers.Names() {
		v := f.config.Servers[n]
		r := f.forRecord(KindServer, n, v.Name)
		checkReference(r, "service", v.Service, f.config.Services, KindService)
		if checkReference(r, "region", v.Region, f.config.Regions, KindRegion) {
			f.checkDomain(r, v.Domain, f.config.Regions[v.Region])
		}
		a, err := netip.ParseAddrPort(v.Addr)
		if err != nil || a.Port() == 0 {
			r.add("addr", v.Addr, "an IP address and a port")
		} else if o, ok := owner[a]; ok {
			r.add("addr", v.Addr, "an address of its own; server "+o+" has it")
		} else {
			owner[a] = n
		}
		r.checkCount("slots", v.Slots, 1)
		r.checkCount("connections", v.Connections, max(1, v.Slots))
	}
}

// checkDomain checks that the server's failure domain belongs to its region.
func (f *faults) checkDomain(r recordFaults, domain string, region Region) {
	if !slices.Contains(region.Domains, domain) {
		r.add("domain", domain, "a failure domain of region "+region.Name)
	}
}

func (f *faults) checkLinks() {
	type direction struct{ from, to string }
	owner := make(map[direction]string)
	for _, n := range f.config.Links.Names() {
		v := f.config.Links[n]
		r := f.forRecord(KindLink, n, v.Name)
		checkReference(r, "from", v.From, f.config.Regions, KindRegion)
		checkReference(r, "to", v.To, f.config.Regions, KindRegion)
		if v.From == v.To {
			r.add("to", v.To, "another region than from")
		}
		d := direction{v.From, v.To}
		if o, ok := owner[d]; ok {
			r.add("to", v.To, "one link for each direction; link "+o+" has it")
		}
		owner[d] = n
		r.checkRate("mbps", v.Mbps)
		if v.Mbps == 0 {
			r.add("mbps", v.Mbps, "more than 0")
		}
		// A share above 1 would set a floor above the link's capacity.
		r.checkShare("floorShare", v.FloorShare)
		r.checkCount("maxHosts", v.MaxHosts, 0)
	}
}

// digestPattern matches SHA-256 digests.
var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (f *faults) checkProfiles() {
	maxMbps := 0.0
	for _, n := range f.config.Regions.Names() {
		maxMbps = max(maxMbps, f.outboundMbps(n))
	}
	for _, n := range f.config.Profiles.Names() {
		v := f.config.Profiles[n]
		r := f.forRecord(KindProfile, n, v.Name)
		r.checkMs("queueWaitMs", v.QueueWaitMs, 0)
		r.checkShare("reserveShare", v.ReserveShare)
		r.checkShare("retryShare", v.RetryShare)
		r.checkShare("hedgeQuantile", v.HedgeQuantile)
		r.checkShare("ejectShare", v.EjectShare)
		r.checkRate("shiftRate", v.ShiftRate)
		r.checkRate("shiftMbps", v.ShiftMbps)
		if maxMbps > 0 && v.ShiftMbps > maxMbps {
			r.add("shiftMbps", v.ShiftMbps, fmt.Sprintf("at most %g, what the links out of one region carry", maxMbps))
		}
		r.checkShare("shiftFloorShare", v.ShiftFloorShare)
		r.checkCount("maxHosts", v.MaxHosts, 0)
		r.checkShare("refusedShare", v.RefusedShare)
		r.checkMs("slowStartMs", v.SlowStartMs, 0)
		r.checkMs("lookupTtlMs", v.LookupTTLMs, 0)
		if v.BlockTable != "" && !digestPattern.MatchString(v.BlockTable) {
			r.add("blockTable", v.BlockTable, "a SHA-256 digest of 64 hexadecimal digits in lower case, or nothing")
		}
	}
}

// outboundMbps returns the total capacity of the links from the region, in Mbit/s.
func (f *faults) outboundMbps(region string) float64 {
	sum := 0.0
	for _, l := range f.config.Links {
		if l.From == region {
			sum += l.Mbps
		}
	}
	return sum
}

func (f *faults) checkDrains() {
	for _, n := range f.config.Drains.Names() {
		v := f.config.Drains[n]
		r := f.forRecord(KindDrain, n, v.Name)
		region := f.checkTarget(r, v)
		r.checkRate("capRate", v.CapRate)
		r.checkRate("capMbps", v.CapMbps)
		if out := f.outboundMbps(region); out > 0 && v.CapMbps > out {
			r.add("capMbps", v.CapMbps, fmt.Sprintf("at most %g, what the links out of region %s carry", out, region))
		}
		r.checkShare("stepShare", v.StepShare)
		r.checkMs("stepMs", v.StepMs, 0)
		if v.Until != "" {
			if _, err := time.Parse(time.RFC3339, v.Until); err != nil {
				r.add("until", v.Until, "a time like 2006-01-02T15:04:05Z")
			}
		}
	}
}

// checkTarget checks that the drain's target exists and returns the target's region,
// which is "" if there is no such server or failure domain.
func (f *faults) checkTarget(r recordFaults, v Drain) string {
	switch v.TargetKind {
	case TargetServer:
		checkReference(r, "target", v.Target, f.config.Servers, KindServer)
		return f.config.Servers[v.Target].Region
	case TargetDomain:
		for n, region := range f.config.Regions {
			if slices.Contains(region.Domains, v.Target) {
				return n
			}
		}
		r.add("target", v.Target, "the name of a failure domain")
	case TargetRegion:
		checkReference(r, "target", v.Target, f.config.Regions, KindRegion)
		return v.Target
	default:
		r.add("targetKind", v.TargetKind, "server, domain or region")
	}
	return ""
}

func (f *faults) checkMoves() {
	for _, n := range f.config.Moves.Names() {
		v := f.config.Moves[n]
		r := f.forRecord(KindMove, n, v.Name)
		checkReference(r, "service", v.Service, f.config.Services, KindService)
		checkReference(r, "from", v.From, f.config.Regions, KindRegion)
		checkReference(r, "to", v.To, f.config.Regions, KindRegion)
		if v.From == v.To {
			r.add("to", v.To, "another region than from")
		}
		r.checkShare("share", v.Share)
		r.checkShare("stepShare", v.StepShare)
		r.checkMs("stepMs", v.StepMs, 0)
		r.checkRate("capRate", v.CapRate)
		r.checkRate("capMbps", v.CapMbps)
		f.checkMoveLink(r, v)
	}
}

// checkMoveLink checks that a link connects the move's regions and that its capacity
// is not below the move's cap. A configuration that declares no link at all
// passes, because its link capacities are unknown.
func (f *faults) checkMoveLink(r recordFaults, v Move) {
	if len(f.config.Links) == 0 || v.From == v.To {
		return
	}
	for _, l := range f.config.Links {
		if l.From != v.From || l.To != v.To {
			continue
		}
		if v.CapMbps > l.Mbps {
			r.add("capMbps", v.CapMbps, fmt.Sprintf("at most %g, the capacity of link %s", l.Mbps, l.Name))
		}
		return
	}
	r.add("to", v.To, "a region with a link from "+v.From)
}

// DeleteFaults returns a fault for each record that the change deletes but
// that doesn't exist in c.
func (c *Config) DeleteFaults(ch Change) []Fault {
	var out []Fault
	for _, r := range ch.Deletes {
		if !c.has(r) {
			out = append(out, Fault{r.Kind, r.Name, "name", r.Name, "a " + string(r.Kind) + " that exists; it may have ended or been cancelled already"})
		}
	}
	return out
}

// has reports whether the record exists.
func (c *Config) has(r Ref) bool {
	ok := false
	switch r.Kind {
	case KindRegion:
		_, ok = c.Regions[r.Name]
	case KindService:
		_, ok = c.Services[r.Name]
	case KindServer:
		_, ok = c.Servers[r.Name]
	case KindLink:
		_, ok = c.Links[r.Name]
	case KindProfile:
		_, ok = c.Profiles[r.Name]
	case KindDrain:
		_, ok = c.Drains[r.Name]
	case KindMove:
		_, ok = c.Moves[r.Name]
	case KindRoute:
		_, ok = c.Routes[r.Name]
	}
	return ok
}
