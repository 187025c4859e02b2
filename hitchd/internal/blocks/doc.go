// Package blocks loads the block tables, which map blocks of caller addresses
// (IP prefixes) to sites and so to the callers' home regions.
//
// A table is an immutable object in the object store. Its key is
// "blocks/DIGEST", where DIGEST is the SHA-256 digest of the stored bytes in
// hexadecimal; a profile selects its table by this digest. The object is CSV
// text compressed with gzip: first a line "site,NAME,REGION" for each site,
// then a line "block,PREFIX,NAME" for each block, where NAME is the block's
// site.
package blocks
