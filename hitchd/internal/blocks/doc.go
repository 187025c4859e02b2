// Package blocks keeps the tables that map blocks of caller addresses to
// sites.
//
// A profile names its table by the SHA-256 digest of an object, which is
// stored at "blocks/DIGEST" and never changes. The object is CSV, compressed
// with gzip: first a line "site,NAME,REGION" for each site, then a line
// "block,PREFIX,NAME" for each block.
package blocks
