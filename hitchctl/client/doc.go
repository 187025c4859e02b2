// Package client implements the operators' command line: it parses the
// arguments, calls the operator port of a host and prints the response.
//
// Every change carries a write id, which makes it idempotent: when a host can't
// be reached or can't tell the outcome, the same request is sent to the next
// address, and the change is made at most once.
package client
