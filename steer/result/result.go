// Package result defines the outcome of a request and the reasons for failures.
//
// There are three outcomes. [NotRun] is certain: no byte of the request was
// written to an upstream connection, or the upstream refused it without running
// it. [Done] means that the upstream's complete response was received. [Unknown]
// covers everything else. A request that isn't idempotent may be retried only
// after NotRun.
package result

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Outcome states whether a request ran. The zero value is [Unknown].
type Outcome uint8

// Outcomes of a request.
const (
	// Unknown is a request that may have run.
	Unknown Outcome = iota
	// NotRun is a request that provably did not run.
	NotRun
	// Done is a request whose complete response was received.
	Done
)

// String returns the name of the outcome in headers and logs.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "notRun"
	case Done:
		return "done"
	}
	return "unknown"
}

// ParseOutcome returns the outcome with the name; any other text is [Unknown].
func ParseOutcome(s string) Outcome {
	switch s {
	case "notRun":
		return NotRun
	case "done":
		return Done
	}
	return Unknown
}

// Reason is a machine-readable cause of a refusal or a failure.
type Reason string

// Reasons why a caller received no upstream response, or an incomplete one.
const (
	// ReasonNoHost means that no host can take requests for the service.
	ReasonNoHost Reason = "noHost"
	// ReasonNoKeeper means that the cell has no reachable keeper.
	ReasonNoKeeper Reason = "noKeeper"
	// ReasonNotKeeper means that the host isn't the keeper of the cell.
	ReasonNotKeeper Reason = "notKeeper"
	// ReasonFenced means that a fencing check stopped the request before it was sent:
	// the lease or the decision behind it may have expired.
	ReasonFenced Reason = "fenced"
	// ReasonNoServer means that no server may run the request: each one is drained,
	// ejected or has failed it.
	ReasonNoServer Reason = "noServer"
	// ReasonQueueFull means that the predicted wait for a slot exceeds its limit.
	ReasonQueueFull Reason = "queueFull"
	// ReasonOverloaded means that the host has more requests than processor time.
	ReasonOverloaded Reason = "overloaded"
	// ReasonMemory means that the host holds as many bytes as it may.
	ReasonMemory Reason = "memory"
	// ReasonNotServer means that the request was meant for a server, which the host isn't.
	ReasonNotServer Reason = "notServer"
	// ReasonStale means that the host's replica of the store is too old to decide by.
	ReasonStale Reason = "stale"
	// ReasonDeadline means that the deadline has passed or can't be met.
	ReasonDeadline Reason = "deadline"
	// ReasonShiftCap means that the budget of a shift between regions is used up.
	ReasonShiftCap Reason = "shiftCap"
	// ReasonLinkBudget means that the budget of a link between regions is used up.
	ReasonLinkBudget Reason = "linkBudget"
	// ReasonStoreDown means that the claim of the operation couldn't be stored.
	ReasonStoreDown Reason = "storeDown"
	// ReasonNoOperationID means that the request lacks a required operation id.
	ReasonNoOperationID Reason = "noOperationId"
	// ReasonOperationMismatch means that the operation id was used for a different request.
	ReasonOperationMismatch Reason = "operationMismatch"
	// ReasonOperationInProgress means that a request with the same operation id is running.
	ReasonOperationInProgress Reason = "operationInProgress"
	// ReasonOperationUnknown means that the outcome of an earlier request with the same operation
	// id isn't known.
	ReasonOperationUnknown Reason = "operationUnknown"
	// ReasonOperationDone means that the operation is done, but its response isn't kept.
	ReasonOperationDone Reason = "operationDone"
	// ReasonSuspect means that the request may crash servers, see package crash.
	ReasonSuspect Reason = "suspectRequest"
	// ReasonUpstream means that the server or the connection to it failed.
	ReasonUpstream Reason = "upstreamFailed"
	// ReasonShed means that the server refused the request as overloaded.
	ReasonShed Reason = "upstreamShed"
	// ReasonHoldOff means that the servers want no requests of the host for a time.
	ReasonHoldOff Reason = "serversHoldOff"
	// ReasonPeer means that forwarding to another host failed.
	ReasonPeer Reason = "peerFailed"
	// ReasonCanceled means that the caller canceled the request.
	ReasonCanceled Reason = "canceled"
	// ReasonStopping means that the host is shutting down.
	ReasonStopping Reason = "stopping"
	// ReasonNoConfig means that the host has no configuration yet.
	ReasonNoConfig  Reason = "noConfig"
	ReasonNoRoute   Reason = "noRoute"
	ReasonNoService Reason = "noService"
	// ReasonRegion means that the request may not run in the region.
	ReasonRegion     Reason = "regionNotAllowed"
	ReasonBadRequest Reason = "badRequest"
	ReasonTooLarge   Reason = "tooLarge"
	// ReasonSlowCaller means that the caller didn't send the body in time.
	ReasonSlowCaller Reason = "slowCaller"
	ReasonInternal   Reason = "internal"
	// ReasonResponseCut means that the response to the caller was cut short.
	ReasonResponseCut Reason = "answerCut"
)

// Error is the error of a request without an upstream response.
type Error struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is how long the caller should wait before a retry, zero when there is
	// no advice.
	RetryAfter time.Duration
	// Step is the operation that failed, Peer the host or server it involved.
	Step, Peer string
	// Err is the cause, if any.
	Err error
}

// NewNotRun returns an [Error] with outcome [NotRun].
func NewNotRun(reason Reason, step, peer string) *Error {
	return &Error{Outcome: NotRun, Reason: reason, Step: step, Peer: peer}
}

// NewUnknown returns an [Error] with outcome [Unknown] and its cause.
func NewUnknown(reason Reason, step, peer string, err error) *Error {
	return &Error{Outcome: Unknown, Reason: reason, Step: step, Peer: peer, Err: err}
}

// WithRetryAfter returns a copy of the error with the time to wait before a retry.
func (e Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return &e
}

// Error returns the step, the peer, the reason, the outcome and the cause.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s at %s: %s (%s)", e.Step, e.Peer, e.Reason, e.Outcome)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Err }

// OutcomeOf returns the outcome of the first [Error] in the chain of err: [Done] if
// err is nil, [Unknown] if there is none.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return Done
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return Unknown
}

// From returns the first [Error] in the chain of err. Any other error becomes the
// cause of an Error with outcome [Unknown] and reason [ReasonUpstream].
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewUnknown(ReasonUpstream, "serve request", "this host", err)
}
