package blocks

import (
	"bytes"
	"compress/gzip"
	"encoding/csv"
	"io"
	"net/netip"
	"strings"

	"github.com/go-faster/errors"

	"magnoliahitch/steer/place"
)

// maxText bounds the text of a table, in bytes.
const maxText = 256 << 20

// fields is the number of fields of a line.
const fields = 3

// Decode reads a table. Its error names the line.
func Decode(data []byte) (*place.Blocks, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	text := &io.LimitedReader{R: z, N: maxText}
	r := csv.NewReader(text)
	r.FieldsPerRecord = fields
	r.ReuseRecord = true
	var b place.Builder
	for {
		line, err := r.Read()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
		if err := addLine(&b, line); err != nil {
			n, _ := r.FieldPos(0)
			return nil, errors.Wrapf(err, "line %d", n)
		}
	}
	if text.N <= 0 {
		return nil, errors.Errorf("want at most %d bytes of text", maxText)
	}
	return b.Build()
}

func addLine(b *place.Builder, line []string) error {
	switch line[0] {
	case "site":
		// A field would keep the memory of its whole line.
		return b.AddSite(place.Site{Name: strings.Clone(line[1]), Region: strings.Clone(line[2])})
	case "block":
		p, err := netip.ParsePrefix(line[1])
		if err != nil {
			return errors.Wrap(err, "read prefix")
		}
		return b.AddBlock(p, line[2])
	}
	return errors.Errorf("unknown kind %q; want site or block", line[0])
}
