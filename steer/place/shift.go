package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliahitch/steer/config"
)

// MoveKey returns the cell of the move's cap. Its keeper stands in the region
// that the traffic goes to: when that one is lost, nothing moves there.
func MoveKey(m config.Move) Key { return Key{Shift, m.To, "move/" + m.Name} }

// DrainKey returns the cell of the cap of a region's drain. Its keeper stands
// in another region. It reports false when there is no other.
func DrainKey(c *config.Config, d config.Drain) (Key, bool) {
	return awayFrom(c, d.Target, "drain/"+d.Name)
}

// FailureKey returns the cell of the cap of traffic that leaves the region
// because it fails or is full, for the services of a profile. Its keeper
// stands in another region. It reports false when there is no other.
func FailureKey(c *config.Config, region, profile string) (Key, bool) {
	return awayFrom(c, region, "region/"+region+"/"+profile)
}

// awayFrom picks the keeper's region among all but one by rendezvous hashing.
func awayFrom(c *config.Config, region, name string) (Key, bool) {
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
