package watch

import (
	"bytes"
	"time"

	"magnoliahitch/links/plat"
)

// maxRemoved is the number of removed rows that a replica retains, so that it can
// list them as changes.
const maxRemoved = 512

// currentMargin is the margin of the times at which a replica was certainly current. Hosts
// may have less exact ones from each other.
const currentMargin = 500 * time.Millisecond

// replica is this host's replica of a table.
//
// When the store begins a new era from an older copy, the replica takes the new
// table without undoing what it knows. Rows that the copy lacks stay until their
// writers had time to write them again. Rows that the copy brings back although
// they were removed are doubtful until those that nobody writes have expired. Of
// two records of a row the newer one stays, by their content.
type replica struct {
	rows map[string]plat.Change
	// at is the position of the store at which the replica was read.
	at plat.Position
	// confirmed is when the replica was last known to be current.
	confirmed time.Time
	// unanswered is when the store was due to answer the last read of the table that it
	// didn't answer, or refused; zero for none.
	unanswered time.Time
	// removed holds the last record of removed rows, with the position of the removal.
	// Removals up to the position floor may have been discarded.
	removed map[string]plat.Change
	floor   plat.Position

	// merged is the last position of an older era of which the replica has the changes.
	merged plat.Position
	// doubtful holds the rows of the present era that an older one had removed.
	doubtful map[string]plat.Change
	// missingUntil and doubtfulUntil are until when rows of an older era that are
	// missing stay, and rows that it had removed are doubtful; zero when that is over.
	missingUntil, doubtfulUntil time.Time

	// enteredFrom is the position before the present era until its start was logged.
	enteredFrom plat.Position

	// compare returns -1, 0 or 1 if the content of record a of a row is older than, as
	// old as or newer than that of record b. It returns 1 if the content doesn't tell.
	compare func(key string, a, b []byte) int
	grace   grace
}

// grace is the time that the writers of a table have after the start of an era.
type grace struct {
	// missing is the time within which rows are written again that the copy lacks.
	missing time.Duration
	// doubtful is the time within which rows expire that nobody writes.
	doubtful time.Duration
}

func newReplica(compare func(key string, a, b []byte) int, g grace) replica {
	return replica{
		rows: make(map[string]plat.Change), removed: make(map[string]plat.Change), doubtful: make(map[string]plat.Change),
		compare: compare, grace: g,
	}
}

// compareBytes is the order of records whose content doesn't tell which is newer.
func compareBytes(_ string, a, b []byte) int {
	if bytes.Equal(a, b) {
		return 0
	}
	return 1
}

// confirm records that the replica at the position was current at the time.
func (c *replica) confirm(at plat.Position, read time.Time) {
	c.at = at
	if read.After(c.confirmed) {
		c.confirmed = read
	}
}

// lastCurrent returns a time at which the replica was certainly current, so that all
// changes which it lacks are later; zero if there is none.
func (c *replica) lastCurrent() time.Time {
	if c.confirmed.IsZero() {
		return time.Time{}
	}
	return c.confirmed.Add(-currentMargin)
}

// settled reports whether the writers had time to write again what the present era
// lacks.
func (c *replica) settled() bool { return c.missingUntil.IsZero() }

// update applies rows of the position, which are the complete table or changes, and
// returns what they change in this replica. It reports false for a position before the
// replica's.
func (c *replica) update(now time.Time, rows []plat.Change, full bool, at plat.Position) ([]plat.Change, bool) {
	switch {
	case at.Before(c.at), at.Era > c.at.Era && !full:
		return nil, false
	case at.Era > c.at.Era:
		return c.enter(now, rows, at), true
	}
	var out []plat.Change
	if c.at.IsZero() {
		// What was removed before isn't known.
		c.floor = at
	}
	if full {
		out = c.removeMissing(rows, at)
	}
	// What an older era had removed tells which rows of this one are doubtful.
	for _, r := range rows {
		if r.At.Era < at.Era {
			out = c.merge(out, r)
		}
	}
	for _, r := range rows {
		switch {
		case r.At.Era < at.Era:
		case r.Removed:
			out = c.remove(out, r)
		default:
			out = c.put(out, r, full)
		}
	}
	return out, true
}

// enter replaces the replica by the complete table of a newer era, at now, and returns
// what that changes.
func (c *replica) enter(now time.Time, rows []plat.Change, at plat.Position) []plat.Change {
	old := *c
	*c = newReplica(old.compare, old.grace)
	c.enteredFrom = old.at
	c.at, c.floor, c.confirmed, c.merged = at, at, old.confirmed, plat.Later(old.at, old.merged)
	c.unanswered = old.unanswered
	c.missingUntil, c.doubtfulUntil = now.Add(c.grace.missing), now.Add(c.grace.doubtful)
	var older []plat.Change
	for _, r := range rows {
		if r.Removed || r.At.Era < at.Era {
			older = append(older, r)
			continue
		}
		c.rows[r.Key] = r
	}
	for _, r := range old.rows {
		c.merge(nil, r)
	}
	for _, r := range old.removed {
		c.merge(nil, r)
	}
	for _, r := range older {
		c.merge(nil, r)
	}
	return c.changesFrom(old.rows)
}

// changesFrom returns the changes that lead from the held rows to those of c.
func (c *replica) changesFrom(held map[string]plat.Change) []plat.Change {
	var out []plat.Change
	for key, r := range c.rows {
		if h, ok := held[key]; !ok || !bytes.Equal(h.Value, r.Value) {
			out = append(out, r)
		}
	}
	for key, h := range held {
		if _, ok := c.rows[key]; !ok {
			h.Removed = true
			out = append(out, h)
		}
	}
	return out
}

// merge applies a row, or the last record of a removed row, of an older era. Of a row of
// the present era it takes the content if that is newer.
func (c *replica) merge(out []plat.Change, r plat.Change) []plat.Change {
	held, present := c.rows[r.Key]
	gone, wasRemoved := c.removed[r.Key]
	_, isDoubtful := c.doubtful[r.Key]
	switch {
	case r.Removed && !present:
		if !isDoubtful && (!wasRemoved || gone.At.Before(r.At)) {
			c.retainRemoved(r)
		}
	case r.Removed && held.At.Era == c.at.Era:
		if c.doubtfulUntil.IsZero() || c.compare(r.Key, held.Value, r.Value) > 0 {
			return out
		}
		c.doubtful[r.Key] = held
		delete(c.rows, r.Key)
		c.retainRemoved(r)
		held.Removed = true
		return append(out, held)
	case r.Removed:
		if r.At.Before(held.At) {
			return out
		}
		delete(c.rows, r.Key)
		c.retainRemoved(r)
		held.Removed = true
		return append(out, held)
	case !present:
		if c.settled() || isDoubtful || r.At.Era == c.at.Era || wasRemoved && (r.At.Before(gone.At) || c.compare(r.Key, r.Value, gone.Value) <= 0) {
			return out
		}
		c.rows[r.Key] = r
		return append(out, r)
	case c.compare(r.Key, held.Value, r.Value) < 0:
		held.Value = r.Value
		c.rows[r.Key] = held
		return append(out, held)
	}
	return out
}

// put applies a row of the present era. A row of the complete table may be one that the
// copy brought back; changes are newer than the copy.
func (c *replica) put(out []plat.Change, r plat.Change, full bool) []plat.Change {
	if d, ok := c.doubtful[r.Key]; ok {
		if !d.At.Before(r.At) {
			return out
		}
		delete(c.doubtful, r.Key)
	}
	held, present := c.rows[r.Key]
	gone, wasRemoved := c.removed[r.Key]
	switch {
	case full && wasRemoved && gone.At.Era < r.At.Era && !c.doubtfulUntil.IsZero() && c.compare(r.Key, r.Value, gone.Value) <= 0:
		c.doubtful[r.Key] = r
		return out
	case present && !held.At.Before(r.At):
		return out
	case present && held.At.Era < r.At.Era && bytes.Equal(r.Value, held.Value):
		// Written again.
		c.rows[r.Key] = r
		return out
	case present && (held.At.Era < r.At.Era || !c.settled()) && c.compare(r.Key, r.Value, held.Value) < 0:
		// Not written again as it was yet.
		r.Value = held.Value
		c.rows[r.Key] = r
		return out
	}
	c.rows[r.Key] = r
	delete(c.removed, r.Key)
	return append(out, r)
}

// remove applies a removal of the present era.
func (c *replica) remove(out []plat.Change, r plat.Change) []plat.Change {
	held, present := c.rows[r.Key]
	d, isDoubtful := c.doubtful[r.Key]
	if isDoubtful {
		held = d
	}
	if gone, ok := c.removed[r.Key]; ok && !present && !gone.At.Before(r.At) {
		return out
	}
	if held.Value != nil {
		r.Value = held.Value
	}
	delete(c.doubtful, r.Key)
	delete(c.rows, r.Key)
	c.retainRemoved(r)
	if isDoubtful {
		return out
	}
	return append(out, r)
}

// removeMissing removes the rows that are missing in the complete table at the position.
// Rows of an older era stay while the replica isn't settled. A removal has the position
// of the table, because hosts that have read later than the row was written lack it too.
func (c *replica) removeMissing(table []plat.Change, at plat.Position) []plat.Change {
	present := make(map[string]bool, len(table))
	for _, r := range table {
		present[r.Key] = !r.Removed && r.At.Era == at.Era
	}
	var out []plat.Change
	for key, r := range c.rows {
		if !present[key] && (r.At.Era == c.at.Era || c.settled()) {
			r.At, r.Removed = at, true
			out = c.remove(out, r)
		}
	}
	for key, r := range c.doubtful {
		if !present[key] {
			r.At, r.Removed = at, true
			out = c.remove(out, r)
		}
	}
	return out
}

// settle ends the grace of the writers once the replica was current at the end of it:
// missing rows of an older era are removed and doubtful rows are used. It returns what
// that changes.
func (c *replica) settle() []plat.Change {
	var out []plat.Change
	if !c.settled() && !c.confirmed.Before(c.missingUntil) {
		out = c.dropMissing()
	}
	if !c.doubtfulUntil.IsZero() && !c.confirmed.Before(c.doubtfulUntil) {
		c.doubtfulUntil = time.Time{}
		for key, r := range c.doubtful {
			delete(c.removed, key)
			c.rows[key] = r
			out = append(out, r)
		}
		clear(c.doubtful)
	}
	return out
}

// dropMissing removes the rows of an older era, and returns them.
func (c *replica) dropMissing() []plat.Change {
	c.missingUntil = time.Time{}
	var out []plat.Change
	for _, r := range c.rows {
		if r.At.Era < c.at.Era {
			r.At, r.Removed = c.at, true
			out = c.remove(out, r)
		}
	}
	return out
}

func (c *replica) retainRemoved(r plat.Change) {
	if len(c.removed) >= maxRemoved {
		for _, g := range c.removed {
			c.floor = plat.Later(c.floor, g.At)
		}
		clear(c.removed)
	}
	c.removed[r.Key] = r
}
