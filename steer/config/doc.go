// Package config holds the configuration that operators declare: regions,
// services, servers, links, profiles, drains, moves and routes.
//
// # Revisions
//
// A [Config] is an immutable value at one revision. A [Change] leads from one
// revision to the next, and [Config.WithChange] applies it. Hosts replicate
// changes rather than configurations, so the cost of replication depends on the
// size of the change and not on the size of the configuration.
//
// # Histories
//
// A [Position] identifies a history of changes by its last revision and digest, and
// [CompareHistories] compares two histories. A [Log] holds the latest changes. A
// host that lags further than a log reaches back gets a snapshot instead.
//
// # Validation
//
// [Config.Faults] checks a complete configuration and returns all its faults at
// once. A change is accepted only if the configuration after it has none.
package config
