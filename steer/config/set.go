package config

import (
	"maps"
	"slices"
)

// recordType is the constraint that permits the types of records.
type recordType interface {
	Region | Service | Server | Link | Profile | Drain | Move | Route
}

// Set is an immutable set of records by name.
type Set[T recordType] map[string]T

// With returns the set with the records added or replaced. The name function
// returns the name of a record.
func (s Set[T]) With(name func(T) string, records ...T) Set[T] {
	if len(records) == 0 {
		return s
	}
	out := maps.Clone(s)
	if out == nil {
		out = make(Set[T], len(records))
	}
	for _, r := range records {
		out[name(r)] = r
	}
	return out
}

// Without returns the set without the named record.
func (s Set[T]) Without(name string) Set[T] {
	if _, ok := s[name]; !ok {
		return s
	}
	out := maps.Clone(s)
	delete(out, name)
	return out
}

// Names returns the sorted names of the set.
func (s Set[T]) Names() []string {
	return slices.Sorted(maps.Keys(s))
}
