// Package claim decides who may run an operation, so that it runs at most
// once.
//
// # Claims
//
// A host claims an operation id by a transaction in the platform's table
// before it dispatches the work. The [Record] carries a claim id that no other
// claim has, so a lost answer is settled by reading the record back. Whoever
// finds a record there already gets a [Decision] from [Decide]: replay the
// answer, wait for the holder, or tell the caller that the outcome is unknown.
//
// # Taking over
//
// A record is taken over only when its holder itself said that the work never
// left it, or when the record expired. The death of the holder proves nothing:
// the work may have run.
package claim
