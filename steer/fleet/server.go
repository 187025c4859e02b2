package fleet

import "time"

// Server is the record of one upstream server.
type Server struct {
	ID      string
	Service string
	Addr    string
	Domain  string
	Region  string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining servers get no new work.
	Draining bool
	// Born is the Unix time in milliseconds of the server's start.
	Born int64
	// Sequence counts the changes of the record since the server's start.
	Sequence int64
	// ColdUntil is when the server will have warmed up.
	ColdUntil time.Time
	// Read is when this host took the record in.
	Read time.Time
}

// Cold reports whether the server is warming up.
func (s *Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }

// succeeds reports whether the record is not older than the other one of the same id.
func (s *Server) succeeds(old *Server) bool {
	if s.Born != old.Born {
		return s.Born > old.Born
	}
	return s.Sequence >= old.Sequence
}
