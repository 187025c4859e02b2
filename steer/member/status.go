package member

import "time"

// Load is the summary of a capacity cell that its keeper reports.
type Load struct {
	Region  string `msgpack:"region"`
	Service string `msgpack:"service"`
	// Slots is the number of usable slots, Free the number of those not in use.
	Slots int `msgpack:"slots"`
	Free  int `msgpack:"free"`
	// QueueDelay is the predicted time that a new request waits in the queue.
	QueueDelay time.Duration `msgpack:"queueDelay"`
	// RefusedShare is the fraction of recent requests that were refused.
	RefusedShare float64 `msgpack:"refusedShare"`
}

// Status is the state of a host that it sends to the others in each period.
type Status struct {
	Host Host `msgpack:"host"`
	// Sequence increases with each status of an incarnation.
	Sequence uint64 `msgpack:"sequence"`
	// Revision is the configuration revision in force on the host.
	Revision uint64 `msgpack:"revision"`
	// Loads summarises the capacity cells whose keeper is the host.
	Loads []Load `msgpack:"loads"`
}
