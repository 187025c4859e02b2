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
	hostsPrefix = "hosts/"
	assignName  = "assign"
	leaseName   = "lease/"
)

func regionPrefix(region string) string { return hostsPrefix + region + "/" }

func assignKey(region string) string { return regionPrefix(region) + assignName }

func leaseKey(region, host string) string { return regionPrefix(region) + leaseName + host }

// leaseRow is the value of a host's lease row.
type leaseRow struct {
	Lease lease.Row   `json:"lease"`
	Host  member.Host `json:"host"`
}

// region is the state of a region in the table: the leases and hosts, and the assignment of
// cells with the position of its row. It is not modified after it was stored in Hosts.
type region struct {
	leases []lease.Stored
	hosts  map[string]member.Host
	cells  place.Assignment
	at     plat.Position
}

func newRegion() *region {
	return &region{hosts: make(map[string]member.Host)}
}

// live returns the hosts whose lease hasn't ended, whose process hasn't ended either by the
// table, and that aren't about to stop.
func (r *region) live() []member.Host {
	var out []member.Host
	for _, s := range r.leases {
		if !s.Ended && !s.ProcessEnded && !s.Leaving {
			out = append(out, r.hosts[s.Host])
		}
	}
	return out
}

// decode decodes the rows and groups them by region.
func decode(rows []plat.Row) (map[string]*region, error) {
	out := make(map[string]*region)
	for _, row := range rows {
		name, rest, _ := strings.Cut(strings.TrimPrefix(row.Key, hostsPrefix), "/")
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

// add decodes a row. The name is its key after the prefix of the region.
func (r *region) add(name string, row plat.Row) error {
	if name == assignName {
		r.at = row.At
		return json.Unmarshal(row.Value, &r.cells)
	}
	var l leaseRow
	if err := json.Unmarshal(row.Value, &l); err != nil {
		return err
	}
	r.leases = append(r.leases, lease.Stored{Row: l.Lease, At: row.At})
	r.hosts[l.Host.Name] = l.Host
	return nil
}
