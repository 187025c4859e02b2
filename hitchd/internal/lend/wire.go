package lend

import (
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/shift"
)

// path is the path of the message that asks a keeper for shares.
const path = "/lend"

// asksPerMessage bounds the size of a message.
const asksPerMessage = 128

// request asks for shares of several budgets of one keeper.
type request struct {
	Process string     `msgpack:"process"`
	Asks    []askEntry `msgpack:"asks"`
}

type askEntry struct {
	Kind     place.Kind `msgpack:"kind"`
	Region   string     `msgpack:"region"`
	Name     string     `msgpack:"name"`
	Unit     shift.Unit `msgpack:"unit"`
	Sequence uint64     `msgpack:"sequence"`
	Applied  uint64     `msgpack:"applied"`
	Want     int64      `msgpack:"want"`
	// Moved is the share of a planned shift that the host knows of.
	Moved float64 `msgpack:"moved"`
}

func (e askEntry) key() place.Key { return place.Key{Kind: e.Kind, Region: e.Region, Name: e.Name} }

// answer holds one entry for each ask, in the same order.
type answer struct {
	Grants []grantEntry `msgpack:"grants"`
}

type grantEntry struct {
	// Held is false when the host doesn't keep the cell.
	Held     bool   `msgpack:"held"`
	Granted  bool   `msgpack:"granted"`
	Sequence uint64 `msgpack:"sequence"`
	Share    int64  `msgpack:"share"`
	// Moved is the present share of a planned shift.
	Moved float64 `msgpack:"moved"`
	// Known is false until the keeper has learnt the present share.
	Known bool `msgpack:"known"`
}
