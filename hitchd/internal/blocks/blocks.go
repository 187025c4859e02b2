package blocks

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"magnoliahitch/links/plat"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/place"
)

// prefix precedes the digest in the key of a table's object.
const prefix = "blocks/"

// Viewer returns the configuration in force.
type Viewer interface {
	Config() *config.Config
}

// Tables holds the block tables of the profiles in force. It is safe for
// concurrent use.
type Tables struct {
	objects plat.Objects
	view    Viewer
	log     hclog.Logger

	mu sync.RWMutex
	// tables maps a profile's name to its table in use.
	tables map[string]table
}

// table is a decoded block table and the digest of its object.
type table struct {
	digest string
	blocks *place.SiteTable
}

var (
	loads    = metrics.NewCounter("hitch_block_table_loads_total")
	failures = metrics.NewCounter("hitch_block_table_failures_total")
)

// New returns a Tables without tables; Run or Update loads them.
func New(objects plat.Objects, v Viewer, log hclog.Logger) *Tables {
	return &Tables{objects: objects, view: v, log: log, tables: make(map[string]table)}
}

// For returns the table in use of the profile, or nil when the profile names
// none or none was loaded yet.
func (ts *Tables) For(profile string) *place.SiteTable {
	ts.mu.RLock()
	defer ts.mu.RUnlock()
	return ts.tables[profile].blocks
}

// Run calls Update at once and then at each interval until the context ends. It
// logs and counts failed updates.
func (ts *Tables) Run(ctx context.Context, interval time.Duration) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		if err := ts.Update(ctx); err != nil && ctx.Err() == nil {
			failures.Inc()
			ts.log.Error("update of block tables failed, tables in use are kept", "error", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// Update loads each table that a profile in force names and that is not loaded
// yet. When a table can't be loaded, the profile's previous table stays in use;
// the error joins the failures of all profiles.
func (ts *Tables) Update(ctx context.Context) error {
	conf := ts.view.Config()
	ts.dropUnnamed(conf)
	var out []error
	for _, n := range conf.Profiles.Names() {
		if err := ts.update(ctx, n, conf.Profiles[n].BlockTable); err != nil {
			out = append(out, errors.Wrapf(err, "profile %s", n))
		}
	}
	return errors.Join(out...)
}

// dropUnnamed removes the tables of profiles that name no table or no longer exist.
func (ts *Tables) dropUnnamed(conf *config.Config) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for n := range ts.tables {
		if conf.Profiles[n].BlockTable == "" {
			delete(ts.tables, n)
		}
	}
}

// update puts the table with the digest into use for the profile.
func (ts *Tables) update(ctx context.Context, profile, digest string) error {
	if digest == "" || ts.inUse(profile, digest) {
		return nil
	}
	found, ok := ts.shared(digest)
	if !ok {
		var err error
		if found, err = ts.load(ctx, digest); err != nil {
			return err
		}
	}
	ts.mu.Lock()
	ts.tables[profile] = found
	ts.mu.Unlock()
	ts.log.Info("block table in use", "profile", profile, "digest", digest)
	return nil
}

func (ts *Tables) inUse(profile, digest string) bool {
	ts.mu.RLock()
	defer ts.mu.RUnlock()
	return ts.tables[profile].digest == digest
}

// shared returns the table with the digest if any profile already uses it, so
// that it is loaded and held in memory once.
func (ts *Tables) shared(digest string) (table, bool) {
	ts.mu.RLock()
	defer ts.mu.RUnlock()
	for _, t := range ts.tables {
		if t.digest == digest {
			return t, true
		}
	}
	return table{}, false
}

// load reads the table's object, verifies its digest and decodes it.
func (ts *Tables) load(ctx context.Context, digest string) (table, error) {
	data, err := ts.objects.Load(ctx, prefix+digest)
	if err != nil {
		return table{}, err
	}
	sum := sha256.Sum256(data)
	if got := hex.EncodeToString(sum[:]); got != digest {
		return table{}, errors.Errorf("load table %s: its digest is %s", digest, got)
	}
	t, err := Decode(data)
	if err != nil {
		return table{}, errors.Wrapf(err, "decode table %s", digest)
	}
	loads.Inc()
	return table{digest, t}, nil
}
