// Package soak runs the real daemon as many processes on loopback, injects
// faults from outside and checks what callers and upstream servers see.
//
// # Parts
//
// A [World] has the hosts, which are processes of hitchd, and in this process
// the platform's store, the upstream servers and the callers. Connections
// between them go through a [Link], a proxy that delays, cuts, silences and
// resets. A [Plan] is the list of faults that a seed draws.
//
// # Checks
//
// The [Ledger] joins what callers sent with what servers ran, by the request's
// id, and reports a [Violation] as soon as an [Invariant] is broken. Those with a
// bound in time hold for hosts that were undisturbed for a while: the ledger
// keeps for each host, server and the store when it was disturbed.
package soak
