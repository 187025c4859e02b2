package claim

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the progress of an operation.
type State string

// States of an operation.
const (
	// Claimed means that the operation may be running.
	Claimed State = "claimed"
	// Released means that the operation did not run and may be claimed again.
	Released State = "released"
	// Done means that the operation ran and a response was received.
	Done State = "done"
	// Lost means that the outcome of the operation can't be determined.
	Lost State = "lost"
)

// Response is the stored response to an operation.
type Response struct {
	Status int         `json:"status" msgpack:"status"`
	Header http.Header `json:"header" msgpack:"header"`
	Body   []byte      `json:"body" msgpack:"body"`
}

// Record is the claim of an operation in the table.
type Record struct {
	// ID is the unique id of the claim.
	ID string `json:"id"`
	// Holder and Incarnation identify the host that claimed the operation.
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Fingerprint is the digest of the request.
	Fingerprint string `json:"fingerprint"`
	State       State  `json:"state"`
	// Expires is when the record expires, in wall time: from then on it may be
	// deleted or replaced.
	Expires time.Time `json:"expires"`
	// Response is the response of a done operation, if small enough to be stored.
	Response *Response `json:"answer,omitempty"`
}

// WithState returns the record with another state.
func (r Record) WithState(s State) Record {
	r.State = s
	return r
}

// WithResponse returns the record in state [Done] with the response, nil if it
// isn't stored.
func (r Record) WithResponse(a *Response) Record {
	r.State = Done
	r.Response = a
	return r
}

// Fingerprint returns the digest of a request, by which [Decide] detects a
// different request with the same operation id.
func Fingerprint(method, path, query string, body []byte) string {
	d := xxhash.New()
	for _, s := range []string{method, path, query} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return strconv.FormatUint(d.Sum64(), 16) + "-" + strconv.Itoa(len(body))
}
