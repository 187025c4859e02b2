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

// maxTableSize limits the decompressed text of a table, in bytes.
const maxTableSize = 256 << 20

// fieldsPerLine is the number of fieldsPerLine in each line.
const fieldsPerLine = 3

// Decode decompresses and parses the object of a table. An error in a line names
// the line's number. Text of maxTableSize bytes or more is refused.
func Decode(data []byte) (*place.SiteTable, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	text := &io.LimitedReader{R: z, N: maxTableSize}
	r := csv.NewReader(text)
	r.FieldsPerRecord = fieldsPerLine
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
		return nil, errors.Errorf("decompressed text is too long: want less than %d bytes", maxTableSize)
	}
	return b.Build()
}

// addLine adds the site or block of a line to the table.
func addLine(b *place.Builder, line []string) error {
	switch line[0] {
	case "site":
		// A field shares the memory of its whole line and would keep it allocated.
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
