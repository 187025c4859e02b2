// Package delay tells how late a process runs what is ready to run.
//
// On a host with more work than processor time each step waits for those before it:
// those of requests as well as the polls and reads by which the host follows the store.
// Such a host takes its own lateness for the silence of others, and decides by what has
// changed meanwhile. The load pattern is a small host that gets the requests of a large
// one.
//
// A [Meter] holds the delays that were recorded lately. Decisions ask it whether the end
// of a wait tells anything of the other side ([Conclusive]), and whether this host may
// take a request ([Limiter], by [Meter.Standing]).
package delay
