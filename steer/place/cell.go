// Package place decides which host keeps a cell and which hosts a caller is
// told to use.
package place

import "strings"

// Cell names the capacity cell of a service in a region.
type Cell struct {
	Region  string `json:"region"`
	Service string `json:"service"`
}

// String returns "region/service".
func (c Cell) String() string { return c.Region + "/" + c.Service }

// ParseCell reads the form that [Cell.String] writes.
func ParseCell(s string) (Cell, bool) {
	region, service, ok := strings.Cut(s, "/")
	return Cell{region, service}, ok && region != "" && service != ""
}
