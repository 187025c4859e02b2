package claim

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is how far an operation got.
type State string

// States of an operation.
const (
	// Claimed operations may be running.
	Claimed State = "claimed"
	// Released operations did not run and may be claimed again.
	Released State = "released"
	// Done operations were answered.
	Done State = "done"
	// Lost operations have an outcome that nobody knows.
	Lost State = "lost"
)

// Answer is a kept answer.
type Answer struct {
	Status int         `json:"status" msgpack:"status"`
	Header http.Header `json:"header" msgpack:"header"`
	Body   []byte      `json:"body" msgpack:"body"`
}

// Record is the claim of an operation as it stands in the table.
type Record struct {
	// ID is unique to the claim.
	ID string `json:"id"`
	// Holder and Incarnation name the host that claimed the operation.
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Fingerprint is the digest of the request.
	Fingerprint string `json:"fingerprint"`
	State       State  `json:"state"`
	// Expires is when the record may be deleted, in wall time.
	Expires time.Time `json:"expires"`
	// Answer is kept when it is small enough.
	Answer *Answer `json:"answer,omitempty"`
}

// WithState returns the record in another state.
func (r Record) WithState(s State) Record {
	r.State = s
	return r
}

// WithAnswer returns the record as done with its answer, which may be nil.
func (r Record) WithAnswer(a *Answer) Record {
	r.State = Done
	r.Answer = a
	return r
}

// Fingerprint returns the digest by which a re-sent operation is compared
// with the first one.
func Fingerprint(method, path, query string, body []byte) string {
	d := xxhash.New()
	for _, s := range []string{method, path, query} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return strconv.FormatUint(d.Sum64(), 16) + "-" + strconv.Itoa(len(body))
}
