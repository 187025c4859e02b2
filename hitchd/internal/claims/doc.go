// Package claims makes non-idempotent requests run at most once.
//
// # Claims
//
// It is the stage before the keeper, the host that holds the lease of a cell. A
// claim is a record of an operation id in the platform's table, which a host
// writes before it dispatches the request. Claims of several operations may
// share one transaction.
//
// # Repeated operations
//
// A caller that repeats an operation gets its first response, or the error that
// it is still running, that its response wasn't stored, or that its outcome is
// unknown. An operation is refused as not run while the table can't be reached.
package claims
