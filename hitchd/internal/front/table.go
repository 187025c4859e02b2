package front

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

// lookupTableTTL is how long a lookup table is used before it is compared with the live
// hosts and keepers again.
const lookupTableTTL = 250 * time.Millisecond

// Blocks provides the table of caller blocks of a profile, nil if there is
// none.
type Blocks interface {
	For(profile string) *place.SiteTable
}

// noBlocks provides no tables.
type noBlocks struct{}

func (noBlocks) For(string) *place.SiteTable { return nil }

// cachedLookup is a lookup table with the inputs that it was built from and the time of
// the last comparison with them.
type cachedLookup struct {
	*place.LookupTable
	config    *config.Config
	hosts     []member.Host
	keepers   []member.Host
	checkedAt time.Time
}

// tableCache holds the lookup table for lookups. It is rebuilt when the configuration,
// the hosts or the keepers changed. Lookups wait for the first lookup table and for
// the rebuild after a change of the configuration; otherwise they use the
// previous lookup table meanwhile.
type tableCache struct {
	mu      sync.Mutex
	current atomic.Pointer[cachedLookup]
}

// lookupTable returns the lookupTable of the configuration. It was compared with the hosts
// and keepers less than lookupTableTTL ago, unless another lookup is replacing it.
func (f *Front) lookupTable(now time.Time, c *config.Config) *place.LookupTable {
	g := f.tables.current.Load()
	if g != nil && g.config == c && now.Sub(g.checkedAt) < lookupTableTTL {
		return g.LookupTable
	}
	if g == nil || g.config != c {
		f.tables.mu.Lock()
	} else if !f.tables.mu.TryLock() {
		return g.LookupTable
	}
	defer f.tables.mu.Unlock()
	next := f.newLookupTable(now, c, f.tables.current.Load())
	f.tables.current.Store(next)
	return next.LookupTable
}

// newLookupTable returns the lookup table of the current inputs. If they equal those of old, it
// reuses old's lookup table with the new time of comparison.
func (f *Front) newLookupTable(now time.Time, c *config.Config, old *cachedLookup) *cachedLookup {
	hosts := f.members.Live()
	slices.SortFunc(hosts, func(a, b member.Host) int { return cmp.Compare(a.Name, b.Name) })
	next := &cachedLookup{config: c, hosts: hosts, checkedAt: now}
	byKey := make(map[place.Key]member.Host)
	for _, k := range place.Keys(c) {
		if k.Kind == place.Capacity {
			h, _ := f.members.Keeper(now, k)
			byKey[k] = h
			next.keepers = append(next.keepers, h)
		}
	}
	if old != nil && old.config == c && slices.Equal(old.hosts, hosts) && slices.Equal(old.keepers, next.keepers) {
		next.LookupTable = old.LookupTable
		return next
	}
	keeper := func(k place.Key) (member.Host, bool) {
		h := byKey[k]
		return h, h.Name != ""
	}
	next.LookupTable = place.NewLookupTable(c, hosts, keeper, f.limits.LookupHosts)
	return next
}
