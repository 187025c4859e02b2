package config

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// ErrSnapshot reports a snapshot that is damaged.
var ErrSnapshot = errors.New("snapshot doesn't match its digest")

// snapshot is the encoded form of a configuration.
type snapshot struct {
	Mark    Mark    `json:"mark"`
	Records Records `json:"records"`
}

// envelope carries an encoded snapshot with its digest.
type envelope struct {
	Sum  string          `json:"sum"`
	Body json.RawMessage `json:"body"`
}

// EncodeSnapshot returns the configuration as a whole with its digest.
func EncodeSnapshot(c *Config) ([]byte, error) {
	body, err := json.Marshal(snapshot{c.Mark(), c.Records()})
	if err != nil {
		return nil, errors.Wrapf(err, "encode snapshot %d", c.Revision)
	}
	return json.Marshal(envelope{digest(body), body})
}

// DecodeSnapshot reads what [EncodeSnapshot] wrote. It returns
// [ErrSnapshot] when a part of it was changed or lost.
func DecodeSnapshot(data []byte) (*Config, error) {
	var e envelope
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
	c := &Config{Revision: s.Mark.Revision, Digest: s.Mark.Digest}
	c.put(s.Records)
	return c, nil
}
