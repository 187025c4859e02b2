// Package crash keeps queries of death off the servers: requests that crash
// each server that runs them, and that their callers send again.
//
// A request that ran when the connection to its server died is a suspect, known
// by its [Print]. For a short time only the host that saw the death runs it
// again, one run at a time and on a server without another suspect; the other
// hosts refuse it. A success anywhere clears it. The death of a second server
// convicts it: every host refuses it for a while, and each further try extends
// that time. Requests that succeeded lately aren't suspected for their first
// death, so that those which only ran beside a query of death go on.
package crash
