// Package retry implements retry budgets and hedge delays.
//
// A [Budget] limits second attempts, retries and hedges alike, to a share of the
// recent requests, so that a failing upstream doesn't receive much more load than
// a healthy one. A [Latency] estimates latency quantiles. A hedge, a second attempt
// on another server while the first still runs, is sent only after a high quantile,
// and so for few requests.
package retry
