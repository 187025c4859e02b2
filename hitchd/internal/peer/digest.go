package peer

import (
	"hash"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// headerDigest is the header of a request, or the trailer of a response, with
// the length and the checksum of the body.
const headerDigest = "Hitch-Digest"

// errBodyMismatch reports a body that doesn't match its digest or came without one.
var errBodyMismatch = errors.New("body was truncated or altered in transit")

// bodyDigest computes the length and the xxHash checksum of the bytes written to it.
type bodyDigest struct {
	hash   hash.Hash64
	length int64
}

func newBodyDigest() *bodyDigest { return &bodyDigest{hash: xxhash.New()} }

// Write adds p to the digest. It never fails.
func (d *bodyDigest) Write(p []byte) (int, error) {
	d.length += int64(len(p))
	return d.hash.Write(p)
}

// String returns the digest as "length-checksum", the length in decimal and the
// checksum in hexadecimal digits.
func (d *bodyDigest) String() string {
	return strconv.FormatInt(d.length, 10) + "-" + strconv.FormatUint(d.hash.Sum64(), 16)
}

// checkedBody is a body that is verified at its end: if it doesn't match the
// expected digest, the last read returns [errBodyMismatch] instead of io.EOF.
type checkedBody struct {
	io.ReadCloser
	computed *bodyDigest
	// expected returns the digest of the complete body. It is called at the end
	// of the body, since a trailer isn't available before.
	expected func() string
}

// Read reads from the body and verifies the digest at the end.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	_, _ = b.computed.Write(p[:n])
	if errors.Is(err, io.EOF) && b.expected() != b.computed.String() {
		return n, errBodyMismatch
	}
	return n, err
}
