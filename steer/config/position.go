package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/go-faster/errors"
)

// ErrFork reports that two histories diverge, for example that a change continues a
// history other than that of the configuration it is applied to.
var ErrFork = errors.New("histories of the configuration differ")

// Position identifies a point in a history of accepted changes. Two histories that
// contain the same position are identical up to it.
type Position struct {
	Revision uint64 `json:"revision"`
	// Digest is the SHA-256 digest of the encoded change of the revision. Each
	// change holds the digest of its predecessor, so the digest covers the history.
	Digest string `json:"digest"`
}

// Entry is an accepted change with its original encoding. Hosts exchange and
// store the encoded form unchanged, so that hosts that run different versions
// compute the same digest.
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

// Decode returns the entry of a change that [Encode] encoded.
func Decode(raw []byte) (Entry, error) {
	e := Entry{Raw: raw, digest: digest(raw)}
	if err := json.Unmarshal(raw, &e.Change); err != nil {
		return Entry{}, errors.Wrap(err, "decode change")
	}
	return e, nil
}

// Position returns the point in the history after the entry.
func (e Entry) Position() Position { return Position{e.Change.Revision, e.digest} }

// digest returns the SHA-256 digest of the data in hexadecimal.
func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Position returns the configuration's point in its history.
func (c *Config) Position() Position { return Position{c.Revision, c.Digest} }

// WithEntry returns the configuration after the entry. It returns [ErrRevision]
// unless the entry's revision is the successor of c's, and [ErrFork] if the
// entry continues a history other than c's.
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

// SyncAction is the action of a host after it compared its history with a remote one.
type SyncAction uint8

// Results of [CompareHistories].
const (
	// SyncNone means that the histories are equal, so nothing is done.
	SyncNone SyncAction = iota
	// SyncChanges means that the remote history is ahead: the host fetches the
	// missing changes.
	SyncChanges
	// SyncSnapshot means that the remote history is ahead and that its log lacks
	// some of the missing changes: the host fetches a snapshot.
	SyncSnapshot
	// SyncOffer means that the remote history lags: the host offers the missing
	// changes.
	SyncOffer
	// SyncFork means that the histories diverge: neither continues the other.
	SyncFork
)

// String returns the action's name.
func (a SyncAction) String() string {
	return [...]string{"none", "changes", "snapshot", "offer", "fork"}[a]
}

// CompareHistories compares the history of the local log with a remote history
// that ends at the position, and returns the action to take. The remote log holds
// every change after the revision remoteBase. A fork is detected only if the
// remote history isn't ahead and the local log reaches back to its end.
func CompareHistories(local Log, remote Position, remoteBase uint64) SyncAction {
	end := local.End()
	switch {
	case remote.Revision > end.Revision && remoteBase > end.Revision:
		return SyncSnapshot
	case remote.Revision > end.Revision:
		return SyncChanges
	}
	if d, ok := local.DigestAt(remote.Revision); ok && d != remote.Digest {
		return SyncFork
	}
	if remote.Revision == end.Revision {
		return SyncNone
	}
	return SyncOffer
}
