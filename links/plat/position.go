package plat

import (
	"time"

	"magnoliahitch/steer/eras"
)

// Position is a point in the history of the store.
type Position = eras.Position

// Later returns the later of two positions.
func Later(p, q Position) Position { return eras.Later(p, q) }

// Moment is a position of the store and a time of this host's clock at which the store had
// not passed it yet. The answer may have arrived much later.
type Moment struct {
	Position
	Current time.Time
}
