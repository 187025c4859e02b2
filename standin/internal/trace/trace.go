// Package trace generates, reads and writes traces: requests, faults and expected
// outcomes as JSON lines, which package play replays and package judge checks.
package trace

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// maxLine is the largest length of a line of a trace, in bytes.
const maxLine = 1 << 20

// Line is a line of a trace. Exactly one of Request, Fault and Outcome is set.
type Line struct {
	// At is the offset from the start of the trace, in milliseconds.
	At      int      `json:"at"`
	Request *Request `json:"request,omitempty"`
	Fault   *Fault   `json:"fault,omitempty"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Request is a request of a caller.
type Request struct {
	// Region is the caller's home region.
	Region string `json:"region"`
	// Service is the service that the request names. For a request with a host name
	// it is only the name under which the outcomes are counted.
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Host is the host name by which the request is routed, "" for a request that
	// names its service.
	Host string `json:"host,omitempty"`
	// Object is the key for affinity, Allowed the regions that may serve the request;
	// any region if empty.
	Object  string   `json:"object,omitempty"`
	Allowed []string `json:"allowed,omitempty"`
	// Operation is the operation id of a non-idempotent request.
	Operation string `json:"operation,omitempty"`
	// CostMs is the service time, in milliseconds.
	CostMs int `json:"costMs"`
	// Size is the length of the response body, in bytes.
	Size int `json:"size"`
	// DeadlineMs is the timeout of the caller, in milliseconds.
	DeadlineMs int `json:"deadlineMs"`
}

// FaultKind is the kind of a fault.
type FaultKind string

// Kinds of faults. The target is the name of a process or region, and for drains
// the drained server, failure domain or region. Store faults have no target.
// FaultPause pauses a process by SIGSTOP.
const (
	FaultKill        FaultKind = "kill"
	FaultStop        FaultKind = "stop"
	FaultStart       FaultKind = "start"
	FaultPause       FaultKind = "freeze"
	FaultResume      FaultKind = "resume"
	FaultDrain       FaultKind = "drain"
	FaultCancelDrain FaultKind = "cancelDrain"
	FaultStoreDown   FaultKind = "storeDown"
	FaultStoreSlow   FaultKind = "storeSlow"
	FaultStoreUp     FaultKind = "storeUp"
	FaultKillRegion  FaultKind = "killRegion"
	// FaultKillKeeper, FaultPauseKeeper and FaultResumeKeeper have a cell as their
	// target, such as "norte/inventory", and apply to its keeper, the host that
	// holds its lease. The last one resumes the host that was paused as keeper.
	FaultKillKeeper   FaultKind = "killKeeper"
	FaultPauseKeeper  FaultKind = "freezeKeeper"
	FaultResumeKeeper FaultKind = "resumeKeeper"
)

// Fault is a fault or an operator's action that is applied to the deployment.
type Fault struct {
	Kind   FaultKind `json:"act"`
	Target string    `json:"target,omitempty"`
}

// Outcome is an expected outcome: the measure must lie between Min and Max, both
// inclusive. A bound that is nil isn't checked.
type Outcome struct {
	Measure string `json:"measure"`
	// Service restricts the measure to one service; empty for all.
	Service string   `json:"service,omitempty"`
	Min     *float64 `json:"min,omitempty"`
	Max     *float64 `json:"max,omitempty"`
}

// Read reads a trace. It fails on the first line that isn't valid JSON.
func Read(r io.Reader) ([]Line, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	var out []Line
	for n := 1; s.Scan(); n++ {
		var l Line
		if err := json.Unmarshal(s.Bytes(), &l); err != nil {
			return nil, errors.Wrapf(err, "trace line %d", n)
		}
		out = append(out, l)
	}
	if err := s.Err(); err != nil {
		return nil, errors.Wrap(err, "read trace")
	}
	return out, nil
}

// Write writes a trace, one JSON object a line.
func Write(w io.Writer, lines []Line) error {
	e := json.NewEncoder(w)
	for _, l := range lines {
		if err := e.Encode(l); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return nil
}
