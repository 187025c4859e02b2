package slots

import (
	"time"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/result"
)

// Request holds what the cell needs to know about a request.
type Request struct {
	// ID identifies the request within the cell.
	ID       uint64
	Class    config.Class
	Deadline time.Time
	// Object identifies what the request concerns, "" when it isn't known. Requests
	// for one object go to the same server while it has a free slot.
	Object string
	// Avoid is the server of an earlier attempt, which this one must not use.
	Avoid string
	// Suspect marks a request that may have crashed a server. A server runs at most
	// one suspect at a time.
	Suspect bool
	// Hedge marks a second attempt that is refused instead of queued.
	Hedge bool
}

// Assignment assigns a request to a server on which it may run now.
type Assignment struct {
	ID     uint64
	Server config.Server
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
}

// Refusal is the refusal of a queued request.
type Refusal struct {
	ID     uint64
	Reason result.Reason
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
}

// Dispatch lists the requests that leave the queue, to start or as refused. It is valid
// until the next call of a method of the cell, which reuses its memory.
type Dispatch struct {
	Assignments []Assignment
	Refusals    []Refusal
}

// Decision is the result of submitting a request. The request is either Started,
// Queued, or refused with a Reason.
type Decision struct {
	Started    bool
	Queued     bool
	Assignment Assignment
	Reason     result.Reason
	// Wait is the predicted queue delay.
	Wait time.Duration
	// RetryAfter is how long the caller of a refused request should wait before it
	// tries again; zero when there is no advice.
	RetryAfter time.Duration
	// Dispatch lists the queued bulk requests that were shed because the predicted wait
	// of this request is above half of the limit.
	Dispatch Dispatch
}

// Completion is the outcome of a request on its server.
type Completion struct {
	ID      uint64
	Outcome result.Outcome
	Reason  result.Reason
	// HoldOff is how long the server wants no requests, with [result.ReasonShed].
	HoldOff time.Duration
}
