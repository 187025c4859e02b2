package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliahitch/steer/config"
)

// MoveKey returns the key of the cell of the move's cap. Its keeper is in the
// region to which traffic moves: if that region fails, no traffic moves there.
func MoveKey(m config.Move) Key { return Key{Shift, m.To, "move/" + m.Name} }

// DrainKey returns the key of the cell of the cap of a region's drain. Its keeper
// is in another region. It reports false if there is no other region.
func DrainKey(c *config.Config, d config.Drain) (Key, bool) {
	return keyOutside(c, d.Target, "drain/"+d.Name)
}

// FailureKey returns the key of the cell that caps the traffic leaving a region
// because the region fails or is full, for the services of a profile. Its keeper
// is in another region. It reports false if there is no other region.
func FailureKey(c *config.Config, region, profile string) (Key, bool) {
	return keyOutside(c, region, "region/"+region+"/"+profile)
}

// keyOutside returns the key of a shift cell whose region is selected by
// rendezvous hashing among all regions but the given one. It reports false if
// there is no other region.
func keyOutside(c *config.Config, region, name string) (Key, bool) {
	others := slices.DeleteFunc(c.Regions.Names(), func(r string) bool { return r == region })
	if len(others) == 0 {
		return Key{}, false
	}
	best := slices.MaxFunc(others, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(name, a), score(name, b)), cmp.Compare(b, a))
	})
	return Key{Shift, best, name}, true
}

func score(name, region string) uint64 { return xxhash.Sum64String(name + "\x00" + region) }

// ShiftKeys returns the keys of the cells of all shifts.
func ShiftKeys(c *config.Config) []Key {
	var out []Key
	add := func(k Key, ok bool) {
		if ok {
			out = append(out, k)
		}
	}
	for _, n := range c.Moves.Names() {
		out = append(out, MoveKey(c.Moves[n]))
	}
	for _, n := range c.Drains.Names() {
		if d := c.Drains[n]; d.TargetKind == config.TargetRegion {
			add(DrainKey(c, d))
		}
	}
	for _, r := range c.Regions.Names() {
		for _, p := range c.Profiles.Names() {
			add(FailureKey(c, r, p))
		}
	}
	return out
}
