package fresh

import "time"

// Bounds are the times that the platform sets.
type Bounds struct {
	// Age is the age of a table up to which decisions may follow it; 0 is no bound.
	Age time.Duration
	// Contact is the time after the end of a cut within which a host must have noticed
	// that it reaches the store again.
	Contact time.Duration
}

// Table is what a host knows of the age of its replica.
type Table struct {
	// Read is when the replica was last known to be current.
	Read time.Time
	// Unanswered is when the store was due to answer the last read that it didn't answer,
	// or refused, zero for none.
	Unanswered time.Time
}

// Usable reports whether decisions may follow the table: it is recent enough, or the store
// hasn't answered since and may still not.
func (t Table) Usable(now time.Time, b Bounds) bool {
	return b.Age <= 0 || now.Sub(t.Read) <= b.Age || t.Unanswered.After(t.Read) && now.Sub(t.Unanswered) < b.Contact
}
