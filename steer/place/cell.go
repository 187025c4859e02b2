// Package place decides which host keeps a cell and which hosts a caller is
// told to use.
package place

import "strings"

// Kind says what a cell limits.
type Kind string

// Kinds of cells.
const (
	// Capacity cells own the slots of a service's servers in a region.
	Capacity Kind = "capacity"
	// Link cells own the rate of a link direction between two regions.
	Link Kind = "link"
	// Shift cells own the cap of a shift.
	Shift Kind = "shift"
)

// Key names a cell of any kind. Its keeper is a host of the region.
type Key struct {
	Kind   Kind   `json:"kind"`
	Region string `json:"region"`
	Name   string `json:"name"`
}

// String returns "kind/region/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Region + "/" + k.Name }

// Cell names the capacity cell of a service in a region.
type Cell struct {
	Region  string `json:"region"`
	Service string `json:"service"`
}

// Key returns the cell's key.
func (c Cell) Key() Key { return Key{Capacity, c.Region, c.Service} }

// String returns "region/service".
func (c Cell) String() string { return c.Region + "/" + c.Service }

// ParseCell reads the form that [Cell.String] writes.
func ParseCell(s string) (Cell, bool) {
	region, service, ok := strings.Cut(s, "/")
	return Cell{region, service}, ok && region != "" && service != ""
}
