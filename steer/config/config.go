package config

import (
	"time"

	"github.com/go-faster/errors"
)

// ErrRevision reports a change whose revision isn't the successor of the
// revision that it is applied to.
var ErrRevision = errors.New("change does not follow the revision")

// Ref identifies a record by kind and name.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Records holds lists of records, one for each kind.
type Records struct {
	Regions  []Region  `json:"regions,omitempty"`
	Services []Service `json:"services,omitempty"`
	Servers  []Server  `json:"servers,omitempty"`
	Links    []Link    `json:"links,omitempty"`
	Profiles []Profile `json:"profiles,omitempty"`
	Drains   []Drain   `json:"drains,omitempty"`
	Moves    []Move    `json:"moves,omitempty"`
	Routes   []Route   `json:"routes,omitempty"`
}

// Change is the accepted transition from one revision to the next.
type Change struct {
	// Revision is the revision of the configuration after the change.
	Revision uint64 `json:"revision"`
	// Prev is the digest of the preceding change, empty for the first change.
	Prev string `json:"prev"`
	// WriteID distinguishes concurrent writes of the same revision.
	WriteID string    `json:"writeId"`
	Author  string    `json:"author"`
	Reason  string    `json:"reason"`
	At      time.Time `json:"at"`
	// Puts are the records that the change adds or replaces.
	Puts Records `json:"puts"`
	// Deletes are the records that the change removes. They are removed before
	// the records of Puts are added.
	Deletes []Ref `json:"deletes,omitempty"`
}

// Config is the configuration at one revision. It is immutable.
type Config struct {
	Revision uint64
	// Digest is the digest of the history up to the revision, see [Position]. It is empty
	// in the result of [Config.WithChange].
	Digest   string
	Regions  Set[Region]
	Services Set[Service]
	Servers  Set[Server]
	Links    Set[Link]
	Profiles Set[Profile]
	Drains   Set[Drain]
	Moves    Set[Move]
	Routes   Set[Route]
}

// WithChange returns a preview of the configuration after the change, without the
// digest of its history. It returns [ErrRevision] unless the change's revision is the
// successor of c's. [Config.WithEntry] applies a change with its digest.
func (c *Config) WithChange(ch Change) (*Config, error) {
	if ch.Revision != c.Revision+1 {
		return nil, errors.Wrapf(ErrRevision, "apply change %d to revision %d", ch.Revision, c.Revision)
	}
	out := *c
	out.Revision, out.Digest = ch.Revision, ""
	for _, r := range ch.Deletes {
		out.remove(r)
	}
	out.put(ch.Puts)
	return &out, nil
}

func (c *Config) put(r Records) {
	c.Regions = c.Regions.With(func(v Region) string { return v.Name }, r.Regions...)
	c.Services = c.Services.With(func(v Service) string { return v.Name }, r.Services...)
	c.Servers = c.Servers.With(func(v Server) string { return v.Name }, r.Servers...)
	c.Links = c.Links.With(func(v Link) string { return v.Name }, r.Links...)
	c.Profiles = c.Profiles.With(func(v Profile) string { return v.Name }, r.Profiles...)
	c.Drains = c.Drains.With(func(v Drain) string { return v.Name }, r.Drains...)
	c.Moves = c.Moves.With(func(v Move) string { return v.Name }, r.Moves...)
	c.Routes = c.Routes.With(func(v Route) string { return v.Name }, r.Routes...)
}

func (c *Config) remove(r Ref) {
	switch r.Kind {
	case KindRegion:
		c.Regions = c.Regions.Without(r.Name)
	case KindService:
		c.Services = c.Services.Without(r.Name)
	case KindServer:
		c.Servers = c.Servers.Without(r.Name)
	case KindLink:
		c.Links = c.Links.Without(r.Name)
	case KindProfile:
		c.Profiles = c.Profiles.Without(r.Name)
	case KindDrain:
		c.Drains = c.Drains.Without(r.Name)
	case KindMove:
		c.Moves = c.Moves.Without(r.Name)
	case KindRoute:
		c.Routes = c.Routes.Without(r.Name)
	}
}

// Records returns all records of the configuration, sorted by name.
func (c *Config) Records() Records {
	return Records{
		Regions:  sortedRecords(c.Regions),
		Services: sortedRecords(c.Services),
		Servers:  sortedRecords(c.Servers),
		Links:    sortedRecords(c.Links),
		Profiles: sortedRecords(c.Profiles),
		Drains:   sortedRecords(c.Drains),
		Moves:    sortedRecords(c.Moves),
		Routes:   sortedRecords(c.Routes),
	}
}

// sortedRecords returns the records of the set, sorted by name.
func sortedRecords[T recordType](s Set[T]) []T {
	out := make([]T, 0, len(s))
	for _, n := range s.Names() {
		out = append(out, s[n])
	}
	return out
}

// ServersOf returns the servers of a service in a region, sorted by name.
func (c *Config) ServersOf(service, region string) []Server {
	var out []Server
	for _, n := range c.Servers.Names() {
		s := c.Servers[n]
		if s.Service == service && s.Region == region {
			out = append(out, s)
		}
	}
	return out
}

// Draining returns the drain whose target includes the server, if there is one.
// Of several drains the first by name is returned.
func (c *Config) Draining(s Server) (Drain, bool) {
	for _, n := range c.Drains.Names() {
		if d := c.Drains[n]; d.Covers(s) {
			return d, true
		}
	}
	return Drain{}, false
}

// Covers reports whether the drain's target includes the server.
func (d Drain) Covers(s Server) bool {
	switch d.TargetKind {
	case TargetServer:
		return d.Target == s.Name
	case TargetDomain:
		return d.Target == s.Domain
	case TargetRegion:
		return d.Target == s.Region
	}
	return false
}
