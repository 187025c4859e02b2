package plat

import "magnoliahitch/steer/eras"

// Position is a point in the history of the store.
type Position = eras.Position

// Later returns the later of two positions.
func Later(p, q Position) Position { return eras.Later(p, q) }
