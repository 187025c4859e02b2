package place

import (
	"cmp"
	"slices"

	"magnoliahitch/steer/config"
)

// Keys returns the keys of all cells that the configuration requires, sorted.
func Keys(c *config.Config) []Key {
	seen := make(map[Key]bool)
	for _, s := range c.Servers {
		seen[Cell{s.Region, s.Service}.Key()] = true
	}
	for n, l := range c.Links {
		seen[Key{Link, l.From, n}] = true
	}
	for _, k := range ShiftKeys(c) {
		seen[k] = true
	}
	out := make([]Key, 0, len(seen))
	for k := range seen {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b Key) int { return cmp.Compare(a.String(), b.String()) })
	return out
}
