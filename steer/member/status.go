package member

import "time"

// Load is a keeper's summary of a capacity cell.
type Load struct {
	Region  string `msgpack:"region"`
	Service string `msgpack:"service"`
	// Slots is the number of slots that may be used, Free those not in use.
	Slots int `msgpack:"slots"`
	Free  int `msgpack:"free"`
	// QueueDelay is the predicted wait of a new request.
	QueueDelay time.Duration `msgpack:"queueDelay"`
	// RefusedShare is the share of recent requests that were refused.
	RefusedShare float64 `msgpack:"refusedShare"`
}

// Status is what a host tells the others of itself in each period.
type Status struct {
	Host Host `msgpack:"host"`
	// Sequence grows with each status of an incarnation.
	Sequence uint64 `msgpack:"sequence"`
	// Revision is the configuration in force on the host.
	Revision uint64 `msgpack:"revision"`
	// Loads are the summaries of the capacity cells that the host keeps.
	Loads []Load `msgpack:"loads"`
}
