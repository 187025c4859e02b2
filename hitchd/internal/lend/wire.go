package lend

import (
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/shift"
)

// lendPath is the path of the message with which a host requests shares from a keeper.
const lendPath = "/lend"

// maxRequestsPerMessage limits the number of share requests in a message. Further share requests are sent
// with a later one.
const maxRequestsPerMessage = 128

// request contains the share requests of a process for several budgets of one keeper.
type request struct {
	Process string         `msgpack:"process"`
	Entries []requestEntry `msgpack:"asks"`
}

// requestEntry is a [budget.ShareRequest] with the budget that it is for.
type requestEntry struct {
	Kind     place.Kind `msgpack:"kind"`
	Region   string     `msgpack:"region"`
	Name     string     `msgpack:"name"`
	Unit     shift.Unit `msgpack:"unit"`
	Sequence uint64     `msgpack:"sequence"`
	Applied  uint64     `msgpack:"applied"`
	Want     int64      `msgpack:"want"`
	// ShiftShare is the share of a planned shift that the host received last.
	ShiftShare float64 `msgpack:"moved"`
}

func (e requestEntry) key() place.Key { return place.Key{Kind: e.Kind, Region: e.Region, Name: e.Name} }

// response contains one entry for each share request, in the same order.
type response struct {
	Grants []grantEntry `msgpack:"grants"`
}

// grantEntry is the keeper's response to a share request.
type grantEntry struct {
	// Held is false when the host doesn't keep the cell. The other fields are
	// unset then.
	Held bool `msgpack:"held"`
	// Granted is set when Sequence and Share are a [budget.Grant].
	Granted  bool   `msgpack:"granted"`
	Sequence uint64 `msgpack:"sequence"`
	Share    int64  `msgpack:"share"`
	// ShiftShare is the current share of a planned shift.
	ShiftShare float64 `msgpack:"moved"`
	// ShiftShareKnown is false while the keeper still recovers the current share.
	ShiftShareKnown bool `msgpack:"known"`
}
