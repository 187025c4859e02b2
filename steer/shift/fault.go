package shift

import (
	"fmt"
	"slices"

	"magnoliahitch/steer/config"
)

// Faults returns the reasons why the drains and moves of the configuration can't be
// carried out: caps that aren't set, moves that form a cycle or lead to a region that
// can't serve, and drains that leave a service without a server. It expects a
// configuration that has passed [config.Config.Faults], which checks names and ranges.
func Faults(c *config.Config) []config.Fault {
	f := faults{conf: c}
	for _, n := range c.Links.Names() {
		f.hosts(config.KindLink, n, c.Links[n].MaxHosts)
	}
	for _, n := range c.Profiles.Names() {
		f.profile(c.Profiles[n])
	}
	for _, n := range c.Moves.Names() {
		f.move(c.Moves[n])
	}
	for _, n := range c.Drains.Names() {
		f.drain(c.Drains[n])
	}
	f.lastServer()
	return f.list
}

// faults collects the faults of a configuration.
type faults struct {
	conf *config.Config
	list []config.Fault
}

func (f *faults) add(k config.Kind, name, key string, value any, want string) {
	f.list = append(f.list, config.Fault{Kind: k, Name: name, Key: key, Value: fmt.Sprint(value), Want: want})
}

// share checks a share above 0 and up to 1. NaN is a fault.
func (f *faults) share(k config.Kind, name, key string, v float64) {
	if !(v > 0 && v <= 1) {
		f.add(k, name, key, v, "above 0 and up to 1")
	}
}

// caps checks that both caps of a shift are set. NaN is a fault.
func (f *faults) caps(k config.Kind, name string, rate, mbps float64) {
	if !(rate >= 1) {
		f.add(k, name, "capRate", rate, "1 request/s or more")
	}
	if !(mbps > 0) {
		f.add(k, name, "capMbps", mbps, "a number of Mbit/s above 0")
	}
}

func (f *faults) hosts(k config.Kind, name string, hosts int) {
	if hosts < 0 {
		f.add(k, name, "maxHosts", hosts, "a number of hosts, or 0 for the default")
	}
}

func (f *faults) profile(p config.Profile) {
	f.hosts(config.KindProfile, p.Name, p.MaxHosts)
	for _, s := range []struct {
		key   string
		value float64
	}{{"shiftFloorShare", p.ShiftFloorShare}, {"refusedShare", p.RefusedShare}} {
		if !(s.value >= 0 && s.value <= 1) {
			f.add(config.KindProfile, p.Name, s.key, s.value, "a share from 0 to 1")
		}
	}
}

func (f *faults) move(m config.Move) {
	k := config.KindMove
	f.share(k, m.Name, "share", m.Share)
	f.share(k, m.Name, "stepShare", m.StepShare)
	if m.StepMs <= 0 {
		f.add(k, m.Name, "stepMs", m.StepMs, "a number of milliseconds above 0")
	}
	f.caps(k, m.Name, m.CapRate, m.CapMbps)
	f.moveTotal(m)
	f.destination(m)
	if path := f.cycle(m); path != "" {
		f.add(k, m.Name, "to", m.To, "a move that forms no cycle with other moves; it forms one with: "+path)
	}
}

// destination checks that a move leads to a region that can serve: one with a server
// of the service, not being drained, and with links in both directions.
func (f *faults) destination(m config.Move) {
	k := config.KindMove
	if m.From == m.To {
		return
	}
	if !hasAvailableServer(f.conf, m.Service, m.To) {
		f.add(k, m.Name, "to", m.To, "a region with a server of "+m.Service+" that takes new work")
	}
	if d, ok := regionDrain(f.conf, m.To); ok {
		f.add(k, m.Name, "to", m.To, "a region that is not being drained; drain "+d.Name+" covers it")
	}
	for _, p := range [][2]string{{m.From, m.To}, {m.To, m.From}} {
		if ok := f.linked(p[0], p[1]); !ok {
			f.add(k, m.Name, "to", m.To, "a region with a link record from "+p[0]+" to "+p[1])
		}
	}
}

// linked reports whether a link leads from one region to the other.
func (f *faults) linked(from, to string) bool {
	for _, l := range f.conf.Links {
		if l.From == from && l.To == to {
			return true
		}
	}
	return false
}

// moveTotal checks that the shares of a service's moves away from one region add up
// to 1 at most. In the order of names, the fault is reported for the move with which
// the total exceeds 1 and for those after it.
func (f *faults) moveTotal(m config.Move) {
	sum := 0.0
	for _, n := range f.conf.Moves.Names() {
		if o := f.conf.Moves[n]; o.Service == m.Service && o.From == m.From && n <= m.Name {
			sum += o.Share
		}
	}
	if sum > 1 && m.Share <= 1 {
		f.add(config.KindMove, m.Name, "share", m.Share, fmt.Sprintf("a total of 1 or less for %s from %s; with it the total is %g", m.Service, m.From, sum))
	}
}

// cycle returns the names of the moves of the same service that lead from the move's
// destination back to its source, or an empty string when there are none.
func (f *faults) cycle(m config.Move) string {
	var search func(region string, seen []string) string
	search = func(region string, seen []string) string {
		for _, n := range f.conf.Moves.Names() {
			o := f.conf.Moves[n]
			if o.Service != m.Service || o.From != region || slices.Contains(seen, n) {
				continue
			}
			if o.To == m.From {
				return n
			}
			if rest := search(o.To, append(seen, n)); rest != "" {
				return n + ", " + rest
			}
		}
		return ""
	}
	if m.From == m.To {
		return ""
	}
	return search(m.To, []string{m.Name})
}

func (f *faults) drain(d config.Drain) {
	k := config.KindDrain
	if d.TargetKind == config.TargetRegion {
		f.caps(k, d.Name, d.CapRate, d.CapMbps)
		f.duplicateTarget(d)
	}
	if d.StepShare != 0 {
		f.share(k, d.Name, "stepShare", d.StepShare)
	}
	if d.StepMs < 0 {
		f.add(k, d.Name, "stepMs", d.StepMs, "a number of milliseconds, or 0 for the default")
	}
}

// duplicateTarget checks that a region has only one drain, as each drain has a cap of
// its own and only one cap can apply to the region.
func (f *faults) duplicateTarget(d config.Drain) {
	if o, ok := regionDrain(f.conf, d.Target); ok && o.Name != d.Name {
		f.add(config.KindDrain, d.Name, "target", d.Target, "a region without a drain; drain "+o.Name+" covers it")
	}
}

// lastServer checks that all drains together leave each service at least one server.
func (f *faults) lastServer() {
	for _, s := range f.conf.Services.Names() {
		left, found := 0, false
		for _, v := range f.conf.Servers {
			if v.Service != s {
				continue
			}
			found = true
			if _, ok := f.conf.Draining(v); !ok {
				left++
			}
		}
		if found && left == 0 {
			f.add(config.KindDrain, f.drainsOf(s), "target", s, "drains that leave the service at least one server; these cover all of its servers")
		}
	}
}

// drainsOf returns the names of the drains that cover servers of the service.
func (f *faults) drainsOf(service string) string {
	var out []string
	for _, n := range f.conf.Drains.Names() {
		for _, v := range f.conf.Servers {
			if v.Service == service && f.conf.Drains[n].Covers(v) {
				out = append(out, n)
				break
			}
		}
	}
	return fmt.Sprint(out)
}
