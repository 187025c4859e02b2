// Package claims makes non-idempotent requests run at most once.
//
// It is the stage before the keeper. An operation's id is claimed in the
// platform's table before the work is dispatched; several claims share one
// transaction. A re-sent operation gets its first answer, or is told that it
// runs already or that its outcome is unknown. When the table can't be
// reached the operation is refused as not run.
package claims
