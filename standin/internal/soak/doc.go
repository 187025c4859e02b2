// Package soak is a randomized fault test: it runs hitchd as separate processes
// on loopback addresses, injects faults from outside and checks invariants on
// what callers and upstream servers observe.
//
// # Parts
//
// A [World] holds the hosts, which are processes of hitchd. The platform's
// store, the upstream servers and the callers run in the test process.
// Connections between callers and hosts, hosts and the store, and hosts and
// servers go through a [Link], a TCP proxy that delays, blocks or resets them. A
// [Plan] is the list of faults; it is a function of the seed and the length.
//
// # Checks
//
// The [Ledger] matches what callers sent with what servers ran, by request id,
// and records a [Violation] as soon as an [Invariant] is broken. Most invariants
// with a time bound are only checked on hosts that had no fault for some time
// before: [Disturbances] records when each host, server, link and the store had faults.
package soak
