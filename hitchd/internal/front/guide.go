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

// guideAge is how old a guide may become before hosts and keepers are looked
// at again.
const guideAge = 250 * time.Millisecond

// Blocks gives the tables of caller blocks by profile, or nil.
type Blocks interface {
	For(profile string) *place.Blocks
}

// noBlocks has no tables.
type noBlocks struct{}

func (noBlocks) For(string) *place.Blocks { return nil }

// datedGuide is a guide with what it was made of.
type datedGuide struct {
	*place.Guide
	config *config.Config
	hosts  []member.Host
	keys   []member.Host
	at     time.Time
}

// guides makes a guide when the configuration, the hosts or the keepers
// changed. Look-ups go on with the old one meanwhile.
type guides struct {
	mu      sync.Mutex
	current atomic.Pointer[datedGuide]
}

func (f *Front) guide(now time.Time, c *config.Config) *place.Guide {
	g := f.guides.current.Load()
	if g != nil && g.config == c && now.Sub(g.at) < guideAge {
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

// newGuide returns old with a new date when it would come out the same.
func (f *Front) newGuide(now time.Time, c *config.Config, old *datedGuide) *datedGuide {
	hosts := f.members.Live()
	slices.SortFunc(hosts, func(a, b member.Host) int { return cmp.Compare(a.Name, b.Name) })
	next := &datedGuide{config: c, hosts: hosts, at: now}
	byKey := make(map[place.Key]member.Host)
	for _, k := range place.Keys(c) {
		if k.Kind == place.Capacity {
			h, _ := f.members.Keeper(now, k)
			byKey[k] = h
			next.keys = append(next.keys, h)
		}
	}
	if old != nil && old.config == c && slices.Equal(old.hosts, hosts) && slices.Equal(old.keys, next.keys) {
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
