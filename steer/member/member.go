// Package member holds a host's view of the other hosts: their last statuses,
// the states derived from when these were received, and digests of the other
// failure domains.
package member

// State is a host's state as seen by an observer.
type State uint8

// States of a host, from best to worst.
const (
	Live State = iota
	Suspect
	Leaving
	Dead
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"live", "suspect", "leaving", "dead"}[s]
}

// Host is a host that receives requests of callers.
type Host struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Domain string `json:"domain"`
	// CallerAddr, PeerAddr and OperatorAddr are IP addresses with ports.
	CallerAddr   string `json:"callerAddr"`
	PeerAddr     string `json:"peerAddr"`
	OperatorAddr string `json:"operatorAddr"`
	// Incarnation increases with each start of the host.
	Incarnation uint64 `json:"incarnation"`
	// Capacity is the number of processor cores assigned to the host.
	Capacity float64 `json:"capacity,omitempty"`
	// Leaving is set by a host that is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}
