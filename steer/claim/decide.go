package claim

import "time"

// Decision is what to do with an operation whose id has a record already.
type Decision uint8

// Decisions on an operation.
const (
	// Claim replaces the record by a new claim.
	Claim Decision = iota
	// Replay returns the stored response.
	Replay
	// NotStored reports that the operation ran, but its response wasn't stored.
	NotStored
	// Mismatch refuses a different request with the same operation id.
	Mismatch
	// QueryHolder queries the holder for the state of the operation.
	QueryHolder
	// Unknown reports that the outcome is unknown.
	Unknown
)

// Decide returns what to do with an operation whose record is found in the
// table. Now is wall time. HolderAlive tells whether the incarnation of the host
// that made the claim can still be queried.
func Decide(now time.Time, found Record, fingerprint string, holderAlive bool) Decision {
	if now.After(found.Expires) {
		return Claim
	}
	if found.Fingerprint != fingerprint {
		return Mismatch
	}
	switch found.State {
	case Released:
		return Claim
	case Done:
		if found.Response == nil {
			return NotStored
		}
		return Replay
	case Claimed:
		if holderAlive {
			return QueryHolder
		}
	}
	return Unknown
}
