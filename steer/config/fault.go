package config

import (
	"fmt"
	"net"
)

// Fault is one reason why a configuration is not accepted.
type Fault struct {
	Kind  Kind   `json:"kind"`
	Name  string `json:"name"`
	Key   string `json:"key"`
	Value string `json:"value"`
	// Want says which values are allowed.
	Want string `json:"want"`
}

// Error describes the fault.
func (f Fault) Error() string {
	return fmt.Sprintf("%s %s: %s = %s: want %s", f.Kind, f.Name, f.Key, f.Value, f.Want)
}

// Faults returns every fault of the configuration, in the order of records.
func (c *Config) Faults() []Fault {
	var out []Fault
	add := func(k Kind, name, key string, value any, want string) {
		out = append(out, Fault{k, name, key, fmt.Sprint(value), want})
	}
	for _, n := range c.Services.Names() {
		s := c.Services[n]
		if _, ok := c.Profiles[s.Profile]; !ok {
			add(KindService, n, "profile", s.Profile, "the name of a profile")
		}
		switch s.Class {
		case ClassInteractive, ClassBooking, ClassBulk:
		default:
			add(KindService, n, "class", s.Class, "interactive, booking or bulk")
		}
		if s.DeadlineMs <= 0 {
			add(KindService, n, "deadlineMs", s.DeadlineMs, "a number of milliseconds above 0")
		}
	}
	for _, n := range c.Servers.Names() {
		s := c.Servers[n]
		if _, ok := c.Services[s.Service]; !ok {
			add(KindServer, n, "service", s.Service, "the name of a service")
		}
		if _, ok := c.Regions[s.Region]; !ok {
			add(KindServer, n, "region", s.Region, "the name of a region")
		}
		if _, _, err := net.SplitHostPort(s.Addr); err != nil {
			add(KindServer, n, "addr", s.Addr, "an IP address and a port")
		}
		if s.Slots <= 0 {
			add(KindServer, n, "slots", s.Slots, "1 or more")
		}
		if s.Connections < s.Slots {
			add(KindServer, n, "connections", s.Connections, "at least the number of slots")
		}
	}
	return out
}
