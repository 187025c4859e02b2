// Package plat defines the interfaces to the platform's store: a transactional
// table, an object store and a feed of changes.
//
// A write whose response is lost may have taken effect. [Table.Commit] then
// returns [ErrUnknown], and the caller finds out the outcome by a read.
package plat
