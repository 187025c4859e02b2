package claims

import (
	"context"
	"encoding/json"
	"time"

	"magnoliahitch/links/plat"
	"magnoliahitch/steer/claim"
	"magnoliahitch/steer/place"
)

// Times and sizes of the sweep.
const (
	// sweepInterval is the time between the reads of two pages.
	sweepInterval = 5 * time.Second
	// sweepPage is the maximum number of rows in a page.
	sweepPage = 500
)

// sweep deletes expired claims, one page at a time. Only the host that ranks
// first for the sweep does it.
func (c *Claims) sweep(ctx context.Context) {
	after := ""
	for {
		pause(ctx, sweepInterval)
		if ctx.Err() != nil {
			return
		}
		if !c.isSweeper() {
			after = ""
			continue
		}
		rows, err := c.table.List(ctx, keyPrefix, after, sweepPage)
		if err != nil {
			continue
		}
		after = ""
		if len(rows) == sweepPage {
			after = rows[len(rows)-1].Key
		}
		c.deleteExpired(ctx, time.Now(), rows)
	}
}

// isSweeper reports whether this host ranks first for the sweep among the live
// hosts.
func (c *Claims) isSweeper() bool {
	ranked := place.Rank("claims/sweep", c.members.Live())
	return len(ranked) > 0 && ranked[0].Name == c.members.Self().Name
}

// deleteExpired deletes the rows whose claims have expired at now, which is
// wall time. Rows that don't decode stay.
func (c *Claims) deleteExpired(ctx context.Context, now time.Time, rows []plat.Row) {
	var t plat.Txn
	for _, r := range rows {
		var rec claim.Record
		if json.Unmarshal(r.Value, &rec) != nil || !now.After(rec.Expires) {
			continue
		}
		t.Checks = append(t.Checks, plat.Check{Key: r.Key, At: r.At})
		t.Deletes = append(t.Deletes, r.Key)
	}
	if len(t.Deletes) == 0 {
		return
	}
	if _, err := c.table.Commit(ctx, t); err != nil {
		c.log.Warn("delete expired claims", "rows", len(t.Deletes), "error", err)
	}
}
