// Package retry implements retry budgets and hedge delays.
//
// A [Budget] limits second attempts, retries and hedges alike, to a share of the
// recent requests, so that a failing upstream doesn't receive much more load than
// a healthy one. A [Latency] estimates latency quantiles. A hedge is a second
// attempt on another server while the first still runs. It is sent only for the few
// requests that take longer than a high quantile of the latency.
package retry
