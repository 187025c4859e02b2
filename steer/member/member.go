// Package member holds what a host knows of the other hosts.
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

// Host is an entry host.
type Host struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Domain string `json:"domain"`
	// CallerAddr, PeerAddr and OperatorAddr are IP addresses with ports.
	CallerAddr   string `json:"callerAddr"`
	PeerAddr     string `json:"peerAddr"`
	OperatorAddr string `json:"operatorAddr"`
	// Incarnation grows with each start of the host.
	Incarnation uint64 `json:"incarnation"`
	// Capacity is the host's share of processor cores.
	Capacity float64 `json:"capacity,omitempty"`
	// Leaving is set by a host that is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}
