// Package claim decides which host may run an operation, so that each operation
// runs at most once.
//
// # Claims
//
// Before a host dispatches an operation, it claims the operation id by a
// transaction in the platform's table. The [Record] carries a unique claim id:
// if the response to the write is lost, the host reads the record back and
// compares the id. If a record exists already, [Decide] returns a [Decision],
// such as to replay the response, to query the holder of the claim, or to report
// to the caller that the outcome is unknown.
//
// # Taking over
//
// A record is taken over only if its holder itself reported that it never
// dispatched the operation, or if the record has expired. A crash of the holder
// is not sufficient, because the operation may have run.
package claim
