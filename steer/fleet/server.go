package fleet

import "time"

// Server is the record that one upstream server registers in the store.
type Server struct {
	ID      string
	Service string
	Addr    string
	Domain  string
	Region  string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Draining reports that the record says so. [View.Availability] tells whether the
	// server gets requests.
	Draining bool
	// Incarnation is the Unix time in milliseconds at which the server started. It
	// identifies one run of the server.
	Incarnation int64
	// Sequence counts the changes of the record since the server's start.
	Sequence int64
	// ColdUntil is the end of the server's warm-up.
	ColdUntil time.Time
	// ReadAt is when this host read the record from the store.
	ReadAt time.Time
	// WrittenAfter is a time before the server wrote the record: this host's table was
	// still current then, without the record. It is zero if no such time is known.
	WrittenAfter time.Time
}

// Cold reports whether the server is warming up.
func (s *Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }

// supersedes reports whether the record is at least as new as old, a record of the same id.
func (s *Server) supersedes(old *Server) bool {
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	return s.Sequence >= old.Sequence
}
