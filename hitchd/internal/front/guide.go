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

// guideTTL is how long a guide is used before it is compared with the live
// hosts and keepers again.
const guideTTL = 250 * time.Millisecond

// Blocks provides the table of caller blocks of a profile, nil if there is
// none.
type Blocks interface {
	For(profile string) *place.Blocks
}

// noBlocks provides no tables.
type noBlocks struct{}

func (noBlocks) For(string) *place.Blocks { return nil }

// cachedGuide is a guide with the inputs that it was built from and the time of
// the last comparison with them.
type cachedGuide struct {
	*place.Guide
	config    *config.Config
	hosts     []member.Host
	keepers   []member.Host
	checkedAt time.Time
}

// guideCache holds the guide for lookups. It is rebuilt when the configuration,
// the hosts or the keepers changed. Lookups wait for the first guide and for
// the rebuild after a change of the configuration; otherwise they use the
// previous guide meanwhile.
type guideCache struct {
	mu      sync.Mutex
	current atomic.Pointer[cachedGuide]
}

// guide returns the guide of the configuration. It was compared with the hosts
// and keepers less than guideTTL ago, unless another lookup is replacing it.
func (f *Front) guide(now time.Time, c *config.Config) *place.Guide {
	g := f.guides.current.Load()
	if g != nil && g.config == c && now.Sub(g.checkedAt) < guideTTL {
		return g.Guide
	}
	if g == nil || g.config != c {
		f.guides.mu.Lock()
	} else if !f.guides.mu.TryLock() {
		return g.Guide
	}
	defer f.guides.mu.Unlock()
	next := f.newGuide(now, c, f.guides.current.Load())
	f.guides.current.Store(next)
	return next.Guide
}

// newGuide returns the guide of the current inputs. If they equal those of old, it
// reuses old's guide with the new time of comparison.
func (f *Front) newGuide(now time.Time, c *config.Config, old *cachedGuide) *cachedGuide {
	hosts := f.members.Live()
	slices.SortFunc(hosts, func(a, b member.Host) int { return cmp.Compare(a.Name, b.Name) })
	next := &cachedGuide{config: c, hosts: hosts, checkedAt: now}
	byKey := make(map[place.Key]member.Host)
	for _, k := range place.Keys(c) {
		if k.Kind == place.Capacity {
			h, _ := f.members.Keeper(now, k)
			byKey[k] = h
			next.keepers = append(next.keepers, h)
		}
	}
	if old != nil && old.config == c && slices.Equal(old.hosts, hosts) && slices.Equal(old.keepers, next.keepers) {
		next.Guide = old.Guide
		return next
	}
	keeper := func(k place.Key) (member.Host, bool) {
		h := byKey[k]
		return h, h.Name != ""
	}
	next.Guide = place.NewGuide(c, hosts, keeper, f.limits.LookupHosts)
	return next
}
