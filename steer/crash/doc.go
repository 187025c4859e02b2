// Package crash limits the damage of requests that crash every server that runs
// them and that their callers send again (queries of death).
//
// A request becomes a suspect when its server crashes while it runs, which the loss of
// the connection indicates. A suspect is identified by its fingerprint, [Fingerprint]. It is
// run again only in a trial: one attempt at a time on each host, on a server without
// another suspect. For a short time after the crash only the host that saw the first
// crash, the origin, may do so, and the other hosts refuse the request. With
// [WithoutTrials] suspects run like other requests.
//
// The crash of a second server, or of as many as [WithCrashThreshold] sets, confirms it
// (verdict Confirmed): every host refuses it for a while, and each refused attempt extends
// that time.
//
// # Requests beside the cause
//
// All requests in flight at a server become suspects when it crashes. Four things tell those
// that only ran beside the cause: the first crash of a request that succeeded recently doesn't
// make it a suspect; a success at any host clears it; another request that crashed the same
// servers and more explains its crashes; and with [WithProbation] it runs in a trial once
// it is confirmed.
//
// # Reports
//
// Hosts exchange a [Report] on each record. Merging is a union within an epoch, which a success
// ends, so that order and repetition don't matter and all hosts come to the same verdict. A report
// carries its age, so that a record ends at the same time everywhere. [Suspects.Changes] returns what
// another host lacks.
package crash
