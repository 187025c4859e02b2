// Package crash limits the damage of requests that crash every server that runs
// them and that their callers send again (queries of death).
//
// A request becomes a suspect when its server crashes while it runs, which the loss of
// the connection indicates. A suspect is identified by its fingerprint, [Fingerprint]. It is
// run again only in a trial: one attempt at a time on each host, on a server without
// another suspect. For a short time after the crash only the host that saw the first
// crash, the origin, may do so, and the other hosts refuse the request.
//
// A success at any host clears the suspect. The crash of a second server, or of as
// many as [WithCrashThreshold] sets, confirms it (verdict Confirmed): every host refuses
// it for a while, and each refused attempt extends that time.
//
// The first crash of a request that succeeded recently doesn't make it a suspect,
// so that requests that only ran beside a crashing one continue.
package crash
