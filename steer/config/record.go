package config

// Kind is the type of a configuration record.
type Kind string

// Kinds of configuration records.
const (
	KindRegion  Kind = "region"
	KindService Kind = "service"
	KindServer  Kind = "server"
	KindLink    Kind = "link"
	KindProfile Kind = "profile"
	KindDrain   Kind = "drain"
	KindMove    Kind = "move"
	KindRoute   Kind = "route"
)

// Class is the priority class of a request.
type Class string

// Priority classes, most urgent first.
const (
	ClassInteractive Class = "interactive"
	ClassBooking     Class = "booking"
	ClassBulk        Class = "bulk"
)

// Region is a location with upstream servers and with entry hosts, which
// receive the requests of callers.
type Region struct {
	Name string `json:"name" ini:"-"`
	// Domains are the region's failure domains.
	Domains []string `json:"domains" ini:"domains"`
}

// Service is an upstream application.
type Service struct {
	Name string `json:"name" ini:"-"`
	// Profile is the name of the profile that steers the service's traffic.
	Profile string `json:"profile" ini:"profile"`
	// Class is the priority class of requests to the service.
	Class Class `json:"class" ini:"class"`
	// DeadlineMs is the deadline of requests that carry none and the upper bound
	// of the deadlines that callers set, in milliseconds.
	DeadlineMs int `json:"deadlineMs" ini:"deadlineMs"`
}

// Server is one upstream server.
type Server struct {
	Name    string `json:"name" ini:"-"`
	Service string `json:"service" ini:"service"`
	Region  string `json:"region" ini:"region"`
	// Domain is the failure domain of the region in which the server runs.
	Domain string `json:"domain" ini:"domain"`
	// Addr is the server's IP address and port.
	Addr string `json:"addr" ini:"addr"`
	// Slots is the number of requests that the server runs at once.
	Slots int `json:"slots" ini:"slots"`
	// Connections is the number of connections that the server accepts from all
	// hosts together.
	Connections int `json:"connections" ini:"connections"`
}

// Link is the network connection between two regions in one direction.
type Link struct {
	Name string `json:"name" ini:"-"`
	From string `json:"from" ini:"from"`
	To   string `json:"to" ini:"to"`
	// Mbps is the capacity for all traffic in Mbit/s.
	Mbps float64 `json:"mbps" ini:"mbps"`
	// FloorShare is the share of the capacity that forms the floor: the part of a
	// budget that is never lent and that is divided equally between the entry hosts.
	FloorShare float64 `json:"floorShare" ini:"floorShare"`
	// MaxHosts is the number of equal parts of the floor, which is the largest
	// supported number of entry hosts. Zero means [DefaultMaxHosts].
	MaxHosts int `json:"maxHosts,omitempty" ini:"maxHosts"`
}

// DefaultMaxHosts is the number of entry hosts between which a floor is divided
// if the configuration doesn't set it.
const DefaultMaxHosts = 20

// Profile holds the parameters by which the traffic of a service is steered.
type Profile struct {
	Name string `json:"name" ini:"-"`
	// QueueWaitMs is the longest predicted queue delay at which a request is
	// still admitted, in milliseconds.
	QueueWaitMs int `json:"queueWaitMs" ini:"queueWaitMs"`
	// ReserveShare is the share of slots reserved for the booking class.
	ReserveShare float64 `json:"reserveShare" ini:"reserveShare"`
	// RetryShare is the retry budget as a share of recent requests.
	RetryShare float64 `json:"retryShare" ini:"retryShare"`
	// HedgeQuantile is the quantile of the latency after which an idempotent
	// request is hedged. Zero disables hedging.
	HedgeQuantile float64 `json:"hedgeQuantile" ini:"hedgeQuantile"`
	// ShiftRate caps the traffic that is shifted from a failed region, in requests/s.
	ShiftRate float64 `json:"shiftRate" ini:"shiftRate"`
	// ShiftMbps caps the traffic that is shifted from a failed region, in Mbit/s.
	ShiftMbps float64 `json:"shiftMbps" ini:"shiftMbps"`
	// ShiftFloorShare is the share of ShiftRate and ShiftMbps that forms their
	// floor, see [Link.FloorShare].
	ShiftFloorShare float64 `json:"shiftFloorShare,omitempty" ini:"shiftFloorShare"`
	// MaxHosts is the number of entry hosts between which the floor of shifts is
	// divided. Zero means [DefaultMaxHosts].
	MaxHosts int `json:"maxHosts,omitempty" ini:"maxHosts"`
	// RefusedShare is the largest share of refused requests in the destination region
	// at which a move takes its next step. With zero, any refused request stops
	// the steps.
	RefusedShare float64 `json:"refusedShare,omitempty" ini:"refusedShare"`
	// SlowStartMs is the time in which a new or returning server reaches its full
	// number of slots, in milliseconds.
	SlowStartMs int `json:"slowStartMs" ini:"slowStartMs"`
	// EjectShare is the largest share of a cell's servers that may be ejected at
	// the same time.
	EjectShare float64 `json:"ejectShare" ini:"ejectShare"`
	// LookupTTLMs is the time to live of lookup responses, in milliseconds.
	LookupTTLMs int `json:"lookupTtlMs" ini:"lookupTtlMs"`
	// BlockTable is the SHA-256 digest in hexadecimal of the table that maps
	// blocks of caller addresses to regions for lookups. Without a table, the home
	// region of a caller is the region of the host that receives the lookup.
	BlockTable string `json:"blockTable,omitempty" ini:"blockTable"`
}

// TargetKind is the type of a drain's target.
type TargetKind string

// Kinds of drain targets.
const (
	TargetServer TargetKind = "server"
	TargetDomain TargetKind = "domain"
	TargetRegion TargetKind = "region"
)

// Drain takes a target out of service: it gets no new requests, and requests in
// flight complete.
type Drain struct {
	Name       string     `json:"name" ini:"-"`
	TargetKind TargetKind `json:"targetKind" ini:"targetKind"`
	// Target is the name of the server, failure domain or region.
	Target string `json:"target" ini:"target"`
	// CapRate caps the shifted traffic in requests/s.
	CapRate float64 `json:"capRate" ini:"capRate"`
	// CapMbps caps the shifted traffic in Mbit/s.
	CapMbps float64 `json:"capMbps" ini:"capMbps"`
	// Until is the planned end in RFC 3339 format, for the information of
	// operators. The drain ends only when it is cancelled.
	Until string `json:"until,omitempty" ini:"until"`
	// StepShare is the share of a region's traffic that each step of its drain
	// shifts to other regions. Zero means [DefaultDrainStepShare].
	StepShare float64 `json:"stepShare,omitempty" ini:"stepShare"`
	// StepMs is the minimum time between two steps, in milliseconds. Zero means
	// [DefaultDrainStepMs].
	StepMs int `json:"stepMs,omitempty" ini:"stepMs"`
}

// Defaults of [Drain.StepShare] and [Drain.StepMs].
const (
	DefaultDrainStepShare = 0.25
	DefaultDrainStepMs    = 1000
)

// Move shifts a share of a service's traffic from one region to another in
// steps.
type Move struct {
	Name    string `json:"name" ini:"-"`
	Service string `json:"service" ini:"service"`
	From    string `json:"from" ini:"from"`
	To      string `json:"to" ini:"to"`
	// Share is the share of the traffic that is moved after the last step, 0 to 1.
	Share float64 `json:"share" ini:"share"`
	// StepShare is the share of the traffic that each step adds.
	StepShare float64 `json:"stepShare" ini:"stepShare"`
	// StepMs is the minimum time between two steps, in milliseconds.
	StepMs int `json:"stepMs" ini:"stepMs"`
	// CapRate caps the moved traffic in requests/s.
	CapRate float64 `json:"capRate" ini:"capRate"`
	// CapMbps caps the moved traffic in Mbit/s.
	CapMbps float64 `json:"capMbps" ini:"capMbps"`
	// Paused keeps the move at its current step.
	Paused bool `json:"paused" ini:"paused"`
}
