package claim

import "time"

// Decision says what to do with an operation.
type Decision uint8

// Decisions on an operation.
const (
	// Take claims the operation over the found record.
	Take Decision = iota
	// Replay answers with the kept answer.
	Replay
	// Gone tells the caller that the operation ran and its answer wasn't kept.
	Gone
	// Mismatch refuses another request under the same operation id.
	Mismatch
	// Ask asks the holder how far it is.
	Ask
	// Unknown tells the caller that the outcome isn't known.
	Unknown
)

// Decide returns what to do when the found record stands in the table already.
// Now is wall time. HolderAlive tells whether the incarnation that claimed it
// can still be asked.
func Decide(now time.Time, found Record, fingerprint string, holderAlive bool) Decision {
	if now.After(found.Expires) {
		return Take
	}
	if found.Fingerprint != fingerprint {
		return Mismatch
	}
	switch found.State {
	case Released:
		return Take
	case Done:
		if found.Answer == nil {
			return Gone
		}
		return Replay
	case Claimed:
		if holderAlive {
			return Ask
		}
	}
	return Unknown
}
