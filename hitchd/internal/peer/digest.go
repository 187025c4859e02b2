package peer

import (
	"hash"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// headerDigest is the header or trailer with the length and the digest of a body.
const headerDigest = "Hitch-Digest"

// errCut reports a body that ended before its digest, or doesn't match it.
var errCut = errors.New("body was cut or changed on its way")

// summer adds up the length and the digest of what passes.
type summer struct {
	hash   hash.Hash64
	length int64
}

func newSummer() *summer { return &summer{hash: xxhash.New()} }

// Write adds p.
func (s *summer) Write(p []byte) (int, error) {
	s.length += int64(len(p))
	return s.hash.Write(p)
}

// String returns "length-digest".
func (s *summer) String() string {
	return strconv.FormatInt(s.length, 10) + "-" + strconv.FormatUint(s.hash.Sum64(), 16)
}

// checkedBody yields an error in place of the end when the body isn't whole.
type checkedBody struct {
	io.ReadCloser
	sum *summer
	// digest gives the digest of the whole body, which is known at the end.
	digest func() string
}

// Read reads on, and checks the digest at the end.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	_, _ = b.sum.Write(p[:n])
	if errors.Is(err, io.EOF) && b.digest() != b.sum.String() {
		return n, errCut
	}
	return n, err
}
