package hosts

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"

	"magnoliahitch/links/plat"
	"magnoliahitch/steer/lease"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

// Keys of the rows: hosts/REGION/assign and hosts/REGION/lease/HOST.
const (
	prefix     = "hosts/"
	assignName = "assign"
	leaseName  = "lease/"
)

func regionPrefix(region string) string { return prefix + region + "/" }

func assignKey(region string) string { return regionPrefix(region) + assignName }

func leaseKey(region, host string) string { return regionPrefix(region) + leaseName + host }

// leaseRow is the value of a host's row.
type leaseRow struct {
	Lease lease.Row   `json:"lease"`
	Host  member.Host `json:"host"`
}

// region is what the table holds of a region.
type region struct {
	leases  []lease.Stored
	hosts   map[string]member.Host
	cells   place.Assignment
	version int64
}

func newRegion() *region {
	return &region{hosts: make(map[string]member.Host)}
}

// live returns the hosts whose lease is neither over nor about to end.
func (r *region) live() []member.Host {
	var out []member.Host
	for _, s := range r.leases {
		if !s.Over && !s.Gone && !s.Leaving {
			out = append(out, r.hosts[s.Host])
		}
	}
	return out
}

// decode sorts rows by region.
func decode(rows []plat.Row) (map[string]*region, error) {
	out := make(map[string]*region)
	for _, row := range rows {
		name, rest, _ := strings.Cut(strings.TrimPrefix(row.Key, prefix), "/")
		r := out[name]
		if r == nil {
			r = newRegion()
			out[name] = r
		}
		if err := r.add(rest, row); err != nil {
			return nil, errors.Wrapf(err, "decode row %s", row.Key)
		}
	}
	return out, nil
}

func (r *region) add(name string, row plat.Row) error {
	if name == assignName {
		r.version = row.Version
		return json.Unmarshal(row.Value, &r.cells)
	}
	var l leaseRow
	if err := json.Unmarshal(row.Value, &l); err != nil {
		return err
	}
	r.leases = append(r.leases, lease.Stored{Row: l.Lease, Version: row.Version})
	r.hosts[l.Host.Name] = l.Host
	return nil
}
