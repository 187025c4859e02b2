// Package client is the operators' command line: it reads the arguments,
// calls the operator port of a host and prints the answer.
//
// Every change is sent with a write id. When a host doesn't answer, the next
// address is tried with the same write id, so that the change is made once.
package client
