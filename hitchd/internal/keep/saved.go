package keep

import (
	"context"
	"time"

	"magnoliahitch/hitchd/internal/record"
	"magnoliahitch/links/plat"
	"magnoliahitch/steer/crash"
)

// recordsPrefix begins the keys of the rows with records of suspect requests.
const recordsPrefix = "crashes/"

// savedReport is a saved report on a request of a service that isn't known yet: its fingerprint
// contains the service.
type savedReport struct {
	crash.Report
	readAt time.Time
}

// WithTable makes the keeper save the records of suspect requests in the table, where they outlive all
// hosts. RunRecords must run then.
func WithTable(t plat.Table) Option {
	return func(k *Keeper) {
		k.records = record.New(t, recordsPrefix, k.crashes, func() bool { return true }, k.log.Named("records"))
		k.crashes.onCrash, k.crashes.onClear = k.records.Crashed, k.records.Cleared
	}
}

// RunRecords reads and saves the records of suspect requests until the context ends.
func (k *Keeper) RunRecords(ctx context.Context) error { return k.records.Run(ctx) }

// Revision returns the number of changes of the records of all services.
func (t *crashTracker) Revision() uint64 {
	var sum uint64
	for _, s := range t.all() {
		s.mu.Lock()
		sum += s.state.Revision() + s.paths.Revision()
		s.mu.Unlock()
	}
	return sum
}

// Unsaved returns the reports that the saved ones lack, and the fingerprints of saved ones to remove.
func (t *crashTracker) Unsaved(now time.Time, saved map[crash.Fingerprint]crash.Report) (save []crash.Report, remove []crash.Fingerprint) {
	known := make(map[crash.Fingerprint]bool)
	for _, s := range t.all() {
		s.mu.Lock()
		for _, x := range [...]*crash.Suspects{s.state, s.paths} {
			own := make(map[crash.Fingerprint]crash.Report)
			for p, r := range saved {
				if x.Known(now, p) {
					own[p], known[p] = r, true
				}
			}
			missing, obsolete := x.Unsaved(now, own)
			save, remove = append(save, missing...), append(remove, obsolete...)
		}
		s.mu.Unlock()
	}
	for p, r := range saved {
		if !known[p] && r.Age >= crash.Retention && !t.holds(now, p) {
			remove = append(remove, p)
		}
	}
	return save, remove
}

// MergeSaved merges saved reports. It holds those of unknown requests until such a request comes.
func (t *crashTracker) MergeSaved(now time.Time, reports []crash.Report) {
	unknown := make(map[crash.Fingerprint]crash.Report, len(reports))
	for _, r := range reports {
		unknown[r.Fingerprint] = r
	}
	for _, s := range t.all() {
		s.mu.Lock()
		for _, x := range [...]*crash.Suspects{s.state, s.paths} {
			for p, r := range unknown {
				if x.Known(now, p) {
					x.Merge(now, r)
					delete(unknown, p)
				}
			}
		}
		s.mu.Unlock()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, r := range unknown {
		t.saved[p] = savedReport{r, now}
	}
	t.expire(now)
}

// adopt merges the saved reports on the request into the records of its service.
func (t *crashTracker) adopt(now time.Time, j *job, s *suspects) {
	if t.held.Load() == 0 {
		return
	}
	t.mu.Lock()
	r, hasRequest := t.saved[j.fingerprint]
	path, hasPath := t.saved[j.path]
	delete(t.saved, j.fingerprint)
	delete(t.saved, j.path)
	t.expire(now)
	t.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if hasRequest {
		s.state.Merge(now, r.at(now))
	}
	if hasPath {
		s.paths.Merge(now, path.at(now))
	}
}

// at returns the report with its age at the time.
func (r savedReport) at(now time.Time) crash.Report {
	x := r.Report
	x.Age += now.Sub(r.readAt)
	return x
}

// holds reports whether a saved report on an unknown request is held.
func (t *crashTracker) holds(now time.Time, p crash.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	_, held := t.saved[p]
	return held
}

// expire removes held reports whose retention has ended. The lock is held.
func (t *crashTracker) expire(now time.Time) {
	for p, r := range t.saved {
		if r.at(now).Age >= crash.Retention {
			delete(t.saved, p)
		}
	}
	t.held.Store(int64(len(t.saved)))
}

// all returns the suspects of all services.
func (t *crashTracker) all() []*suspects {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]*suspects, 0, len(t.services))
	for _, s := range t.services {
		out = append(out, s)
	}
	return out
}
