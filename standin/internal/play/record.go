package play

import "time"

// Attempt is what a caller saw of one attempt.
type Attempt struct {
	// ID is the request id, unique for each attempt.
	ID   string
	Host string
	// Outcome and Reason are those that the host reported; empty when the connection
	// failed.
	Outcome string
	Reason  string
	Status  int
	// Wrong is set when the body of a response with outcome done and status 200 isn't
	// the expected one: it belongs to another request or is truncated.
	Wrong bool
	// Cut is set when the connection failed, except when it was refused: the request
	// may have been sent.
	Cut bool
	// Failed is the text of the error that the attempt failed with, if any.
	Failed string
}

// Record is what a caller saw of one request.
type Record struct {
	Service   string
	Operation string
	Region    string
	// Allowed are the regions that may serve the request; any region if empty.
	Allowed  []string
	Start    time.Time
	Latency  time.Duration
	Attempts []Attempt
	// Answered is set when the caller received the complete and expected response
	// with status 200 before its deadline.
	Answered bool
}
