// Package crash limits the damage of requests that crash every server that runs
// them and that their callers send again (queries of death).
//
// A request whose server crashed while it ran, with the loss of the connection,
// becomes a suspect, identified by its fingerprint, [Print]. For a short time after
// the crash only the host that saw the first crash, the origin, may run it again, in
// a trial: one attempt at a time, on a server without another suspect. The other
// hosts refuse it.
//
// A success at any host clears the suspect. The crash of a second server, or of as
// many as [WithConviction] sets, confirms it (verdict Convicted): every host refuses
// it for a while, and each refused attempt extends that time.
//
// The first crash of a request that succeeded recently doesn't make it a suspect,
// so that requests that only ran beside a crashing one continue.
package crash
