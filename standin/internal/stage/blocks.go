package stage

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/platform"
)

// storeTimeout is the timeout of the upload of a block table.
const storeTimeout = time.Minute

// firstBlock is the second byte of the first region's addresses: the callers
// of region n are 127.(firstBlock+n).0.0/16.
const firstBlock = 10

// CallerIP returns the address from which a region's callers connect, 127.0.0.1 for
// an unknown region.
func (d Deployment) CallerIP(region string) string {
	for i, r := range d.Regions {
		if r == region {
			return fmt.Sprintf("127.%d.0.1", firstBlock+i)
		}
	}
	return "127.0.0.1"
}

// blockTable returns the gzip-compressed table with the regions' address blocks.
func (d Deployment) blockTable() ([]byte, error) {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	for i, r := range d.Regions {
		if _, err := fmt.Fprintf(z, "site,%s,%s\nblock,127.%d.0.0/16,%s\n", r, r, firstBlock+i, r); err != nil {
			return nil, err
		}
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// BlockDigest returns the SHA-256 digest of the block table in hex, by which a
// profile refers to the table.
func (d Deployment) BlockDigest() (string, error) {
	table, err := d.blockTable()
	if err != nil {
		return "", errors.Wrap(err, "make block table")
	}
	sum := sha256.Sum256(table)
	return hex.EncodeToString(sum[:]), nil
}

// UploadBlockTable uploads the block table to the platform's object store.
func (d Deployment) UploadBlockTable(ctx context.Context) error {
	table, err := d.blockTable()
	if err != nil {
		return errors.Wrap(err, "make block table")
	}
	digest, err := d.BlockDigest()
	if err != nil {
		return err
	}
	return platform.NewStore(d.Platform(), platform.WithTimeout(storeTimeout)).Store(ctx, "blocks/"+digest, table)
}
