package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Operation is the effect of a change on a record.
type Operation string

// Operations on records.
const (
	OperationAdd    Operation = "add"
	OperationChange Operation = "change"
	OperationRemove Operation = "remove"
)

// Difference is one record that differs between two configurations.
type Difference struct {
	Operation Operation `json:"operation"`
	Kind      Kind      `json:"kind"`
	Name      string    `json:"name"`
	// Keys are the keys that differ, sorted by key.
	Keys []KeyDifference `json:"keys,omitempty"`
}

// KeyDifference is one key that differs between two records. Old or New is
// empty when the respective record lacks the key.
type KeyDifference struct {
	Key string `json:"key"`
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// Diff returns the records that were added, changed or removed from a to b,
// grouped by kind and sorted by name.
func Diff(a, b *Config) []Difference {
	var out []Difference
	out = append(out, diffSet(KindRegion, a.Regions, b.Regions)...)
	out = append(out, diffSet(KindService, a.Services, b.Services)...)
	out = append(out, diffSet(KindServer, a.Servers, b.Servers)...)
	out = append(out, diffSet(KindLink, a.Links, b.Links)...)
	out = append(out, diffSet(KindProfile, a.Profiles, b.Profiles)...)
	out = append(out, diffSet(KindDrain, a.Drains, b.Drains)...)
	out = append(out, diffSet(KindMove, a.Moves, b.Moves)...)
	return append(out, diffSet(KindRoute, a.Routes, b.Routes)...)
}

// diffSet returns the records of one kind that differ from a to b.
func diffSet[T recordType](k Kind, a, b Set[T]) []Difference {
	names := maps.Clone(a)
	if names == nil {
		names = make(Set[T])
	}
	maps.Copy(names, b)
	var out []Difference
	for _, n := range names.Names() {
		old, inA := a[n]
		current, inB := b[n]
		d := Difference{Operation: OperationChange, Kind: k, Name: n}
		switch {
		case !inA:
			d.Operation, d.Keys = OperationAdd, diffKeys(nil, keysOf(current))
		case !inB:
			d.Operation, d.Keys = OperationRemove, diffKeys(keysOf(old), nil)
		default:
			d.Keys = diffKeys(keysOf(old), keysOf(current))
		}
		if len(d.Keys) > 0 {
			out = append(out, d)
		}
	}
	return out
}

// keysOf returns the values of a record by JSON key, without its name. Values
// other than strings are returned as JSON text.
func keysOf(v any) map[string]string {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	values := make(map[string]json.RawMessage)
	if err := json.Unmarshal(raw, &values); err != nil {
		return nil
	}
	delete(values, "name")
	out := make(map[string]string, len(values))
	for k, r := range values {
		var text string
		if json.Unmarshal(r, &text) != nil {
			text = fmt.Sprintf("%s", r)
		}
		out[k] = text
	}
	return out
}

// diffKeys returns the keys whose values differ from a to b.
func diffKeys(a, b map[string]string) []KeyDifference {
	keys := maps.Clone(b)
	if keys == nil {
		keys = make(map[string]string)
	}
	maps.Copy(keys, a)
	var out []KeyDifference
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		if a[k] != b[k] {
			out = append(out, KeyDifference{k, a[k], b[k]})
		}
	}
	return out
}
