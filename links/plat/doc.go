// Package plat reaches the platform's transactional table and object store.
//
// A write whose answer is lost may have taken effect. [Client.Commit] then
// returns [ErrUnknown] and the caller settles the outcome by reading back.
package plat
