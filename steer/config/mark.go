package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/go-faster/errors"
)

// ErrFork reports a change that doesn't continue the history it is applied to.
var ErrFork = errors.New("histories of the configuration differ")

// Mark names a point in a history of accepted changes. Two histories with
// the same mark are the same up to it.
type Mark struct {
	Revision uint64 `json:"revision"`
	// Digest is the SHA-256 of the encoded change that made the revision. As
	// each change holds its predecessor's digest, it covers all of them.
	Digest string `json:"digest"`
}

// Entry is an accepted change as it was encoded when it was accepted. Hosts
// exchange and store the encoded form, so that its digest is the same on
// hosts of different versions.
type Entry struct {
	Change Change
	Raw    []byte
	digest string
}

// Encode returns the entry of a change.
func Encode(ch Change) (Entry, error) {
	raw, err := json.Marshal(ch)
	if err != nil {
		return Entry{}, errors.Wrapf(err, "encode change %d", ch.Revision)
	}
	return Entry{ch, raw, digest(raw)}, nil
}

// Decode reads what [Encode] wrote.
func Decode(raw []byte) (Entry, error) {
	e := Entry{Raw: raw, digest: digest(raw)}
	if err := json.Unmarshal(raw, &e.Change); err != nil {
		return Entry{}, errors.Wrap(err, "decode change")
	}
	return e, nil
}

// Mark returns the point in the history that the entry makes.
func (e Entry) Mark() Mark { return Mark{e.Change.Revision, e.digest} }

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Mark returns the configuration's point in its history.
func (c *Config) Mark() Mark { return Mark{c.Revision, c.Digest} }

// WithEntry returns the configuration after the entry. It returns
// [ErrRevision] when the entry doesn't follow c's revision, and [ErrFork] when
// it was accepted after another history.
func (c *Config) WithEntry(e Entry) (*Config, error) {
	out, err := c.WithChange(e.Change)
	if err != nil {
		return nil, err
	}
	if e.Change.Prev != c.Digest {
		return nil, errors.Wrapf(ErrFork, "apply change %d", e.Change.Revision)
	}
	out.Digest = e.digest
	return out, nil
}

// Step is what a host does about a history that somebody else holds.
type Step uint8

// Steps of a host.
const (
	// StepNone: both hold the same history.
	StepNone Step = iota
	// StepChanges: the other is ahead, its missing changes are pulled.
	StepChanges
	// StepSnapshot: the other is ahead and no longer holds every missing
	// change, so its records are pulled as a whole.
	StepSnapshot
	// StepOffer: the other lags, it is given what it misses.
	StepOffer
	// StepFork: the histories differ, neither follows the other.
	StepFork
)

// String returns the step's name.
func (s Step) String() string {
	return [...]string{"none", "changes", "snapshot", "offer", "fork"}[s]
}

// Decide returns what the holder of a log does about a history that ends at
// theirs. Base is the revision after which the other still holds every change.
func Decide(own Log, theirs Mark, base uint64) Step {
	end := own.End()
	switch {
	case theirs.Revision > end.Revision && base > end.Revision:
		return StepSnapshot
	case theirs.Revision > end.Revision:
		return StepChanges
	}
	if d, ok := own.DigestAt(theirs.Revision); ok && d != theirs.Digest {
		return StepFork
	}
	if theirs.Revision == end.Revision {
		return StepNone
	}
	return StepOffer
}
