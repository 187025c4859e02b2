// Package retry decides whether a request may be tried once more.
//
// A [Budget] bounds second attempts (retries and hedges alike) to a share of
// recent requests, so that a failing upstream is not sent more work than a
// healthy one. A [Latency] tells after which delay a request counts as slow, so
// that a hedge is sent for few requests only.
package retry
