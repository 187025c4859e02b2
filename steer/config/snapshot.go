package config

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// ErrSnapshot reports a corrupt snapshot.
var ErrSnapshot = errors.New("snapshot doesn't match its digest")

// snapshot is the encoded form of a configuration with its position.
type snapshot struct {
	Position Position `json:"mark"`
	Records  Records  `json:"records"`
}

// checkedSnapshot is an encoded snapshot with its SHA-256 digest.
type checkedSnapshot struct {
	Sum  string          `json:"sum"`
	Body json.RawMessage `json:"body"`
}

// EncodeSnapshot returns the complete configuration in encoded form with a digest.
func EncodeSnapshot(c *Config) ([]byte, error) {
	body, err := json.Marshal(snapshot{c.Position(), c.Records()})
	if err != nil {
		return nil, errors.Wrapf(err, "encode snapshot %d", c.Revision)
	}
	return json.Marshal(checkedSnapshot{digest(body), body})
}

// DecodeSnapshot returns the configuration that [EncodeSnapshot] encoded. It
// returns [ErrSnapshot] if the data is truncated or doesn't match its digest.
func DecodeSnapshot(data []byte) (*Config, error) {
	var e checkedSnapshot
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrapf(ErrSnapshot, "decode snapshot: %v", err)
	}
	if digest(e.Body) != e.Sum {
		return nil, ErrSnapshot
	}
	var s snapshot
	if err := json.Unmarshal(e.Body, &s); err != nil {
		return nil, errors.Wrapf(ErrSnapshot, "decode snapshot: %v", err)
	}
	c := &Config{Revision: s.Position.Revision, Digest: s.Position.Digest}
	c.put(s.Records)
	return c, nil
}
