package shift

import (
	"fmt"
	"slices"

	"magnoliahitch/steer/config"
)

// Faults returns the reasons why the drains and moves of the configuration
// can't be carried out: caps that aren't set, moves that cross or lead nowhere,
// and drains that leave a service no place. It comes after [config.Config.Faults],
// which checks names and ranges.
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
	f.lastPlace()
	return f.list
}

type faults struct {
	conf *config.Config
	list []config.Fault
}

func (f *faults) add(k config.Kind, name, key string, value any, want string) {
	f.list = append(f.list, config.Fault{Kind: k, Name: name, Key: key, Value: fmt.Sprint(value), Want: want})
}

func (f *faults) share(k config.Kind, name, key string, v float64) {
	if !(v > 0 && v <= 1) {
		f.add(k, name, key, v, "above 0 and up to 1")
	}
}

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
	f.total(m)
	f.destination(m)
	if path := f.cycle(m); path != "" {
		f.add(k, m.Name, "to", m.To, "a move that doesn't cross others; with these the traffic goes round: "+path)
	}
}

// destination checks that the region that a move leads to can serve.
func (f *faults) destination(m config.Move) {
	k := config.KindMove
	if m.From == m.To {
		return
	}
	if !serves(f.conf, m.Service, m.To) {
		f.add(k, m.Name, "to", m.To, "a region with a server of "+m.Service+" that takes new work")
	}
	if d, ok := regionDrain(f.conf, m.To); ok {
		f.add(k, m.Name, "to", m.To, "a region that is not being drained; drain "+d.Name+" empties it")
	}
	for _, p := range [][2]string{{m.From, m.To}, {m.To, m.From}} {
		if ok := f.linked(p[0], p[1]); !ok {
			f.add(k, m.Name, "to", m.To, "a region with a link record from "+p[0]+" to "+p[1])
		}
	}
}

func (f *faults) linked(from, to string) bool {
	for _, l := range f.conf.Links {
		if l.From == from && l.To == to {
			return true
		}
	}
	return false
}

// total checks that moves away from one place don't add up to more than all.
func (f *faults) total(m config.Move) {
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

// cycle returns the way from the move's destination back to its source by
// moves of the same service, or nothing.
func (f *faults) cycle(m config.Move) string {
	var walk func(at string, seen []string) string
	walk = func(at string, seen []string) string {
		for _, n := range f.conf.Moves.Names() {
			o := f.conf.Moves[n]
			if o.Service != m.Service || o.From != at || slices.Contains(seen, n) {
				continue
			}
			if o.To == m.From {
				return n
			}
			if rest := walk(o.To, append(seen, n)); rest != "" {
				return n + ", " + rest
			}
		}
		return ""
	}
	if m.From == m.To {
		return ""
	}
	return walk(m.To, []string{m.Name})
}

func (f *faults) drain(d config.Drain) {
	k := config.KindDrain
	if d.TargetKind == config.TargetRegion {
		f.caps(k, d.Name, d.CapRate, d.CapMbps)
		f.sameTarget(d)
	}
	if d.StepShare != 0 {
		f.share(k, d.Name, "stepShare", d.StepShare)
	}
	if d.StepMs < 0 {
		f.add(k, d.Name, "stepMs", d.StepMs, "a number of milliseconds, or 0 for the default")
	}
}

// sameTarget refuses a second drain of a region, as only one cap can hold.
func (f *faults) sameTarget(d config.Drain) {
	if o, ok := regionDrain(f.conf, d.Target); ok && o.Name != d.Name {
		f.add(config.KindDrain, d.Name, "target", d.Target, "a region without a drain; drain "+o.Name+" empties it")
	}
}

// lastPlace refuses drains that together leave a service no server.
func (f *faults) lastPlace() {
	for _, s := range f.conf.Services.Names() {
		left, had := 0, false
		for _, v := range f.conf.Servers {
			if v.Service != s {
				continue
			}
			had = true
			if _, ok := f.conf.Draining(v); !ok {
				left++
			}
		}
		if had && left == 0 {
			f.add(config.KindDrain, f.drainOf(s), "target", s, "drains that leave the service a server; these empty the last one")
		}
	}
}

// drainOf returns the names of the drains that cover servers of the service.
func (f *faults) drainOf(service string) string {
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
