package record

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/plat"
	"magnoliahitch/steer/crash"
)

// wireRecord is the value of a row: a [crash.Report] with the time of the last crash or
// refused attempt in milliseconds since 1970.
type wireRecord struct {
	Origin     string   `json:"origin"`
	Servers    []string `json:"servers"`
	Epoch      uint32   `json:"epoch"`
	Probations int      `json:"probations"`
	LastMs     int64    `json:"lastMs"`
}

// row is a row of the table.
type row struct {
	at plat.Position
	// report is without its age, which the time of the last crash or refused attempt gives.
	report crash.Report
	last   time.Time
	// odd is set for a row of another writer under the key of a fingerprint. A record replaces it.
	odd bool
}

// reportAt returns the report with its age at the time, which isn't negative: the clocks of hosts
// may differ.
func (r row) reportAt(now time.Time) crash.Report {
	x := r.report
	x.Age = max(0, now.Sub(r.last))
	return x
}

// keyOf returns the key of the row of the fingerprint.
func (s *Saver) keyOf(p crash.Fingerprint) string {
	return s.prefix + strconv.FormatUint(uint64(p), 16)
}

// encode returns the row of the report at the time, and its value.
func encode(now time.Time, r crash.Report) (row, []byte, error) {
	last := time.UnixMilli(now.Add(-r.Age).UnixMilli())
	value, err := json.Marshal(wireRecord{Origin: r.Origin, Servers: r.Servers, Epoch: r.Epoch, Probations: r.Probations, LastMs: last.UnixMilli()})
	r.Age = 0
	return row{report: r, last: last}, value, err
}

// decode returns the record of the row. It returns an error for a row of another writer, and the
// row's position if its key is that of a fingerprint.
func (s *Saver) decode(x plat.Row) (row, error) {
	p, err := strconv.ParseUint(strings.TrimPrefix(x.Key, s.prefix), 16, 64)
	if err != nil || s.keyOf(crash.Fingerprint(p)) != x.Key {
		return row{}, errors.Errorf("key %q: want a fingerprint", x.Key)
	}
	var w wireRecord
	odd := row{at: x.At, report: crash.Report{Fingerprint: crash.Fingerprint(p)}, odd: true}
	if err := json.Unmarshal(x.Value, &w); err != nil {
		return odd, errors.Wrap(err, "decode value")
	}
	if len(w.Servers) == 0 || w.Probations < 0 || w.LastMs <= 0 {
		return odd, errors.New("value: want servers, probations from 0 on and a time")
	}
	return row{
		at:     x.At,
		report: crash.Report{Fingerprint: crash.Fingerprint(p), Origin: w.Origin, Servers: w.Servers, Epoch: w.Epoch, Probations: w.Probations},
		last:   time.UnixMilli(w.LastMs),
	}, nil
}
