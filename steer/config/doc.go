// Package config holds the configuration that operators declare: regions,
// services, servers, links, profiles, drains and moves.
//
// # Revisions
//
// A [Config] is an immutable value at one revision. A [Change] leads from one
// revision to the next, and [Config.WithChange] applies it. Changes are what
// hosts exchange, so the cost of spreading follows the size of the change and
// not the size of the configuration.
//
// # Validation
//
// [Config.Faults] checks the configuration as a whole and returns every fault
// at once. A change is accepted only when its result has none.
package config
