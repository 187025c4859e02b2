package record

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
	"magnoliahitch/steer/crash"
)

// Intervals and limits.
const (
	// startInterval is the time between two checks whether a host that starts reads the store, during
	// startPeriod, and checkInterval between two later ones, or two for changes of the records.
	startInterval = 100 * time.Millisecond
	startPeriod   = 5 * time.Second
	checkInterval = time.Second
	// lookInterval is the time after which a host looks for unsaved records although nothing changed:
	// records expire.
	lookInterval = 10 * time.Second
	// writeInterval is the least time between two writes of this host.
	writeInterval = time.Second
	// saveDelay is the mean delay before a host that reads the store saves what others recorded,
	// removeDelay before one that doesn't removes rows, and listInterval the mean time
	// between two reads of the rows.
	saveDelay    = 3 * time.Second
	removeDelay  = 10 * time.Second
	listInterval = 30 * time.Second
	// crowd is the number of unsaved records from which a host waits up to crowdDelay before it saves them:
	// after the loss of a failure domain many hosts record the same crashes at the same time.
	crowd      = 8
	crowdDelay = 2 * time.Second
	// conflictDelay is the mean delay after the first conflict. minBackoff and maxBackoff bound the one after a
	// failed call, maxStartBackoff the one of a host that hasn't read the rows yet.
	conflictDelay   = 100 * time.Millisecond
	minBackoff      = 250 * time.Millisecond
	maxBackoff      = 8 * time.Second
	maxStartBackoff = time.Second
	// lateWrite is the time after which a write of unknown outcome isn't done any more.
	lateWrite = 30 * time.Second
	// callTimeout bounds a call.
	callTimeout = 2 * time.Second
	// maxRows bounds the rows that are read, maxSaved the records in them, to which hosts that write at the same
	// time may add a few, and maxBatch the rows of one write.
	maxRows  = 500
	maxSaved = 200
	maxBatch = 40
	// maxOdd bounds the rows of other writers that are remembered as logged.
	maxOdd = 100
	// maxStartAge is the age of a record that a host takes over when it starts, if the row is older
	// by its clock but not older than maxClockStep: the clock may have been set.
	maxStartAge  = crash.Retention / 2
	maxClockStep = 24 * time.Hour
)

// Records are the records of requests that crash servers.
type Records interface {
	// Revision returns the number of changes of the records.
	Revision() uint64
	// Unsaved returns the reports that the saved ones lack, and the fingerprints of saved ones to remove.
	Unsaved(now time.Time, saved map[crash.Fingerprint]crash.Report) ([]crash.Report, []crash.Fingerprint)
	// MergeSaved merges saved reports.
	MergeSaved(now time.Time, reports []crash.Report)
}

// Saver saves records in the table and reads them.
type Saver struct {
	table   plat.Table
	prefix  string
	records Records
	// reads reports whether this host reads the store itself.
	reads func() bool
	log   hclog.Logger
	wake  chan struct{}
	// crashed is set when this host has recorded a crash since the last step, cleared when a success has cleared a
	// record that may be saved.
	crashed, cleared atomic.Bool

	// rows holds the rows as last read or written. listed is set while it is taken for complete, started
	// once the rows were read.
	rows            map[crash.Fingerprint]row
	listed, started bool
	// odd holds the keys of rows of other writers.
	odd map[string]bool
	// own is set while this host has recorded a crash and not saved it, clearing while it hasn't removed the row of a
	// record that a success here has cleared.
	own, clearing bool
	// due is when the rows are read and written next, after the time before which no call is made. A zero
	// time is none. crowded is set while due is the end of a wait for a crowd.
	due, after time.Time
	crowded    bool
	// began is when Run began.
	began time.Time
	// looked is set while the numbers of unsaved records and of rows to remove are those of the rows, at the time
	// and revision.
	looked           bool
	lookedAt         time.Time
	revision         uint64
	toSave, toRemove int
	// unknown is when the outcome of a write was last unknown, zero once the rows were read long after that.
	unknown time.Time
	// failures and conflicts count the calls that failed in a row and the conflicts since a whole save.
	failures, conflicts int
}

// New returns a Saver for the rows of the table whose keys begin with the prefix.
func New(table plat.Table, prefix string, records Records, reads func() bool, log hclog.Logger) *Saver {
	return &Saver{
		table: table, prefix: prefix, records: records, reads: reads, log: log, wake: make(chan struct{}, 1),
		rows: make(map[crash.Fingerprint]row), odd: make(map[string]bool),
	}
}

// Crashed tells that this host has recorded a crash.
func (s *Saver) Crashed() {
	s.crashed.Store(true)
	s.wakeUp()
}

// Cleared tells that a success at this host has cleared a record with as many crashes as saved ones.
func (s *Saver) Cleared() {
	s.cleared.Store(true)
	s.wakeUp()
}

// wakeUp makes Run take the next step now.
func (s *Saver) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run reads and saves records until the context ends.
func (s *Saver) Run(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	s.began = clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-s.wake:
		}
		t.Reset(s.step(ctx, clock.Now()))
	}
}

// step reads and writes the rows if that is due, and returns the time until the next step.
func (s *Saver) step(ctx context.Context, now time.Time) time.Duration {
	s.own = s.crashed.Swap(false) || s.own
	s.clearing = s.cleared.Swap(false) || s.clearing
	if now.Before(s.after) {
		return s.after.Sub(now)
	}
	if s.crowded && now.Before(s.due) {
		return s.pause(now)
	}
	if !s.looked || s.records.Revision() != s.revision || now.Sub(s.lookedAt) >= lookInterval {
		s.unsaved(now)
	}
	s.own = s.own && s.toSave > 0
	s.plan(now, s.reads(), s.toSave, s.toRemove)
	if s.due.IsZero() || now.Before(s.due) {
		return s.pause(now)
	}
	// A crash of this host is saved at once, by the rows that it knows. Many are bounded by those of all hosts. The
	// row of a cleared record may be another host's.
	s.listed = s.listed && s.own && s.toSave <= crowd && !s.clearing
	wrote, err := s.sync(ctx)
	now = clock.Now()
	switch {
	case err == nil:
		if s.failures > 0 {
			s.log.Info("store has the crash records again")
		}
		if wrote || s.clearing {
			s.after = now.Add(writeInterval)
		}
		s.own, s.clearing, s.due, s.failures, s.conflicts = false, false, time.Time{}, 0, 0
		if now.Sub(s.unknown) >= lateWrite {
			s.unknown = time.Time{}
		}
	case ctx.Err() != nil:
	case errors.Is(err, plat.ErrConflict):
		count("conflict").Inc()
		s.listed, s.after = false, now.Add(spread(min(maxBackoff, conflictDelay<<min(s.conflicts, 7))))
		s.conflicts++
	default:
		if errors.Is(err, plat.ErrUnknown) {
			s.unknown = now
		}
		count("failed").Inc()
		if s.failures == 0 {
			s.log.Warn("store lost for crash records", "error", err)
		}
		limit := maxBackoff
		if !s.started {
			limit = maxStartBackoff
		}
		s.listed, s.after = false, now.Add(spread(min(limit, minBackoff<<min(s.failures, 5))))
		s.failures++
	}
	return s.pause(now)
}

// plan sets when the rows are read and written next.
func (s *Saver) plan(now time.Time, reads bool, save, remove int) {
	at := func(d time.Duration) {
		if next := now.Add(d); s.due.IsZero() || next.Before(s.due) {
			s.due = next
		}
	}
	// later keeps a time that was drawn before.
	later := func(mean time.Duration) {
		if s.due.IsZero() || s.due.After(now.Add(2*mean)) {
			s.due = now.Add(spread(mean))
		}
	}
	s.crowded = s.own && save > crowd && (s.started || !reads)
	switch {
	case !s.started && reads:
		at(0)
	case s.crowded:
		later(crowdDelay / 2)
	case s.own, s.clearing:
		at(0)
	case reads && save+remove > 0:
		later(saveDelay)
	case remove > 0:
		later(removeDelay)
	case reads && len(s.rows) > 0:
		later(listInterval)
	case !s.unknown.IsZero():
		later(lateWrite)
	default:
		s.due = time.Time{}
	}
}

// pause returns the time from now until the next step.
func (s *Saver) pause(now time.Time) time.Duration {
	d := checkInterval
	if !s.started && now.Sub(s.began) < startPeriod {
		d = startInterval
	}
	if !s.due.IsZero() {
		d = min(d, s.due.Sub(now))
	}
	return max(d, s.after.Sub(now), time.Millisecond)
}

// sync reads the rows, unless they are known, and then writes and removes what differs. It reports
// whether it wrote.
func (s *Saver) sync(ctx context.Context) (wrote bool, err error) {
	if !s.listed || !s.started {
		if err := s.list(ctx); err != nil {
			return false, err
		}
	}
	for {
		now := clock.Now()
		save, remove := s.unsaved(now)
		save, remove = save[:min(len(save), maxBatch)], remove[:min(len(remove), maxBatch)]
		if len(save)+len(remove) == 0 || ctx.Err() != nil {
			return wrote, ctx.Err()
		}
		if len(save) > 0 {
			remove = nil
		}
		if err := s.commit(ctx, now, save, remove); err != nil {
			return wrote, err
		}
		wrote = true
	}
}

// list reads the rows and merges those that changed. A table that is missing has none.
func (s *Saver) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := s.table.List(ctx, s.prefix, "", maxRows)
	if err != nil && !errors.Is(err, plat.ErrMissing) {
		return errors.Wrap(err, "read crash records")
	}
	now := clock.Now()
	rows := make(map[crash.Fingerprint]row, len(list))
	var reports []crash.Report
	for _, x := range list {
		r, err := s.decode(x)
		if err != nil {
			s.logOdd(x.Key, err)
			if r.odd {
				rows[r.report.Fingerprint] = r
			}
			continue
		}
		p := r.report.Fingerprint
		rows[p] = r
		if old, known := s.rows[p]; known && old.at == r.at {
			continue
		}
		report := r.reportAt(now)
		if !s.started && report.Age < maxClockStep {
			report.Age = min(report.Age, maxStartAge)
		}
		reports = append(reports, report)
	}
	s.records.MergeSaved(now, reports)
	if !s.started {
		s.log.Info("crash records read from the store", "rows", len(list), "records", len(reports))
	}
	count("read").Add(len(reports))
	s.rows, s.listed, s.started, s.looked = rows, true, true, false
	return nil
}

// commit writes the reports and removes the rows in one transaction.
func (s *Saver) commit(ctx context.Context, now time.Time, save []crash.Report, remove []crash.Fingerprint) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var t plat.Txn
	written := make([]row, 0, len(save))
	for _, r := range save {
		x, value, err := encode(now, r)
		if err != nil {
			return errors.Wrap(err, "encode crash record")
		}
		key := s.keyOf(r.Fingerprint)
		t.Checks = append(t.Checks, plat.Check{Key: key, At: s.rows[r.Fingerprint].at})
		t.Puts = append(t.Puts, plat.Put{Key: key, Value: value})
		written = append(written, x)
	}
	for _, p := range remove {
		key := s.keyOf(p)
		t.Checks = append(t.Checks, plat.Check{Key: key, At: s.rows[p].at})
		t.Deletes = append(t.Deletes, key)
	}
	at, err := s.table.Commit(ctx, t)
	if err != nil {
		return errors.Wrap(err, "write crash records")
	}
	s.looked = false
	for _, x := range written {
		x.at = at
		s.rows[x.report.Fingerprint] = x
		s.log.Info("crash record written", "print", uint64(x.report.Fingerprint), "crashed", len(x.report.Servers), "epoch", x.report.Epoch)
	}
	for _, p := range remove {
		delete(s.rows, p)
		s.log.Info("crash record removed", "print", uint64(p))
	}
	count("written").Add(len(written))
	count("removed").Add(len(remove))
	return nil
}

// unsaved returns the reports that the rows lack, as far as there is room for them, and the fingerprints of
// rows to remove.
func (s *Saver) unsaved(now time.Time) ([]crash.Report, []crash.Fingerprint) {
	s.looked, s.lookedAt, s.revision = true, now, s.records.Revision()
	saved := s.saved(now)
	save, remove := s.records.Unsaved(now, saved)
	room := maxSaved - len(saved)
	save = slices.DeleteFunc(save, func(r crash.Report) bool {
		if _, there := saved[r.Fingerprint]; there {
			return false
		}
		room--
		return room < 0
	})
	s.toSave, s.toRemove = len(save), len(remove)
	return save, remove
}

// saved returns the reports of the rows at the time.
func (s *Saver) saved(now time.Time) map[crash.Fingerprint]crash.Report {
	out := make(map[crash.Fingerprint]crash.Report, len(s.rows))
	for p, r := range s.rows {
		if !r.odd {
			out[p] = r.reportAt(now)
		}
	}
	return out
}

// logOdd logs a row of another writer once.
func (s *Saver) logOdd(key string, err error) {
	if s.odd[key] || len(s.odd) >= maxOdd {
		return
	}
	s.odd[key] = true
	s.log.Warn("row is not a crash record", "key", key, "error", err)
}

// spread returns a random duration with the mean.
func spread(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

// count counts rows and calls by their result.
func count(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_crash_records_total{result=%q}`, result))
}
