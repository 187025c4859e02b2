// Package plat says what the product needs of the platform's store: a
// transactional table, an object store and a feed of changes.
//
// A write whose answer is lost may have taken effect. [Table.Commit] then
// returns [ErrUnknown] and the caller settles the outcome by reading back.
package plat
