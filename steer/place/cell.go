// Package place assigns cells to hosts and selects the hosts that callers should
// use. A cell is a limit that a single host, the cell's keeper, administers: the
// slots of a service in a region, the rate of a link, or the cap of a shift. The
// keeper is the cell's leaseholder.
package place

import "strings"

// Kind is what a cell limits.
type Kind string

// Kinds of cells.
const (
	// Capacity cells limit the slots of a service's servers in a region.
	Capacity Kind = "capacity"
	// Link cells limit the rate of one direction of a link between two regions.
	Link Kind = "link"
	// Shift cells limit the traffic of a shift by its cap.
	Shift Kind = "shift"
)

// Key identifies a cell of any kind. Its keeper is a host of the region.
type Key struct {
	Kind   Kind   `json:"kind"`
	Region string `json:"region"`
	Name   string `json:"name"`
}

// String returns "kind/region/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Region + "/" + k.Name }

// Cell identifies the capacity cell of a service in a region.
type Cell struct {
	Region  string `json:"region"`
	Service string `json:"service"`
}

// Key returns the cell's key.
func (c Cell) Key() Key { return Key{Capacity, c.Region, c.Service} }

// String returns "region/service".
func (c Cell) String() string { return c.Region + "/" + c.Service }

// ParseCell parses the form of [Cell.String]. It reports false if the region or
// the service is missing.
func ParseCell(s string) (Cell, bool) {
	region, service, ok := strings.Cut(s, "/")
	return Cell{region, service}, ok && region != "" && service != ""
}
