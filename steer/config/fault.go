package config

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Fault is one reason to reject a configuration: a key of a record whose value
// is not allowed.
type Fault struct {
	Kind  Kind   `json:"kind"`
	Name  string `json:"name"`
	Key   string `json:"key"`
	Value string `json:"value"`
	// Want describes the allowed values.
	Want string `json:"want"`
}

// Error returns the record, the key, its value and the allowed values.
func (f Fault) Error() string {
	record := strings.TrimSpace(string(f.Kind) + " " + f.Name)
	if record == "" {
		record = "text"
	}
	return fmt.Sprintf("%s: %s = %s: want %s", record, f.Key, f.Value, f.Want)
}

// namePattern matches the names of records and failure domains.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// wantName describes namePattern.
const wantName = "1 to 63 letters, digits, '.', '_' or '-', the first a letter or digit"

// maxMs is the upper bound of durations: one day, in milliseconds.
const maxMs = int(24 * time.Hour / time.Millisecond)

// maxCount is the upper bound of the numbers of slots, connections and hosts.
const maxCount = 1_000_000

// Faults returns all faults of the configuration, grouped by kind and sorted by
// the name of the record.
func (c *Config) Faults() []Fault {
	f := &faults{config: c}
	f.checkRegions()
	f.checkServices()
	f.checkServers()
	f.checkLinks()
	f.checkProfiles()
	f.checkDrains()
	f.checkMoves()
	f.checkRoutes()
	return f.list
}

// faults collects the faults of a configuration.
type faults struct {
	config *Config
	list   []Fault
}

// recordFaults collects the faults of one record.
type recordFaults struct {
	faults *faults
	kind   Kind
	name   string
}

// forRecord returns a collector for the faults of a record and checks that the record's
// name is valid and equals its key.
func (f *faults) forRecord(k Kind, key, name string) recordFaults {
	r := recordFaults{f, k, key}
	if !namePattern.MatchString(name) || key != name {
		r.add("name", strconv.Quote(name), wantName)
	}
	return r
}

// add appends a fault of the key.
func (r recordFaults) add(key string, value any, want string) {
	r.faults.list = append(r.faults.list, Fault{r.kind, r.name, key, fmt.Sprint(value), want})
}

// checkReference checks that the value is the name of a record in the set, and
// reports whether it is.
func checkReference[T recordType](r recordFaults, key, value string, set Set[T], kind Kind) bool {
	_, ok := set[value]
	if !ok {
		r.add(key, value, "the name of a "+string(kind))
	}
	return ok
}

// checkShare checks that the value is from 0 to 1.
func (r recordFaults) checkShare(key string, v float64) {
	if !(v >= 0 && v <= 1) {
		r.add(key, v, "a share from 0 to 1")
	}
}

// checkRate checks that the value is finite and not negative.
func (r recordFaults) checkRate(key string, v float64) {
	if !(v >= 0) || math.IsInf(v, 0) {
		r.add(key, v, "0 or more")
	}
}

// checkCount checks that the value is from minimum to maxCount.
func (r recordFaults) checkCount(key string, v, minimum int) {
	if v < minimum || v > maxCount {
		r.add(key, v, fmt.Sprintf("%d to %d", minimum, maxCount))
	}
}

// checkMs checks that the value is from minimum to maxMs.
func (r recordFaults) checkMs(key string, v, minimum int) {
	if v < minimum || v > maxMs {
		r.add(key, v, fmt.Sprintf("%d to %d milliseconds", minimum, maxMs))
	}
}
