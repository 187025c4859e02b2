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

// prefix is the prefix of the objects' keys; the digest follows.
const prefix = "blocks/"

// Viewer gives the configuration in force.
type Viewer interface {
	Config() *config.Config
}

// Blocks holds the tables that the profiles in force name.
type Blocks struct {
	objects plat.Objects
	view    Viewer
	log     hclog.Logger

	mu sync.RWMutex
	// tables holds the table in use by profile.
	tables map[string]table
}

// table is a table and its digest.
type table struct {
	digest string
	blocks *place.Blocks
}

var (
	loads    = metrics.NewCounter("hitch_block_table_loads_total")
	failures = metrics.NewCounter("hitch_block_table_failures_total")
)

// New returns a holder without tables.
func New(objects plat.Objects, v Viewer, log hclog.Logger) *Blocks {
	return &Blocks{objects: objects, view: v, log: log, tables: make(map[string]table)}
}

// For returns the table of the profile, or nil when it has none yet.
func (b *Blocks) For(profile string) *place.Blocks {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.tables[profile].blocks
}

// Run brings the tables up to date at each interval until the context ends.
func (b *Blocks) Run(ctx context.Context, interval time.Duration) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		if err := b.Update(ctx); err != nil && ctx.Err() == nil {
			failures.Inc()
			b.log.Error("table of blocks in use stays", "error", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// Update loads the tables that the profiles in force name. A table that can't
// be loaded leaves the one before in use.
func (b *Blocks) Update(ctx context.Context) error {
	conf := b.view.Config()
	b.forget(conf)
	var out []error
	for _, n := range conf.Profiles.Names() {
		if err := b.update(ctx, n, conf.Profiles[n].BlockTable); err != nil {
			out = append(out, errors.Wrapf(err, "profile %s", n))
		}
	}
	return errors.Join(out...)
}

// forget drops the tables of profiles that name none.
func (b *Blocks) forget(conf *config.Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n := range b.tables {
		if conf.Profiles[n].BlockTable == "" {
			delete(b.tables, n)
		}
	}
}

func (b *Blocks) update(ctx context.Context, profile, digest string) error {
	if digest == "" || b.inUse(profile, digest) {
		return nil
	}
	found, ok := b.shared(digest)
	if !ok {
		var err error
		if found, err = b.load(ctx, digest); err != nil {
			return err
		}
	}
	b.mu.Lock()
	b.tables[profile] = found
	b.mu.Unlock()
	b.log.Info("table of blocks in use", "profile", profile, "digest", digest)
	return nil
}

func (b *Blocks) inUse(profile, digest string) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.tables[profile].digest == digest
}

// shared returns the table with the digest when a profile uses it already.
func (b *Blocks) shared(digest string) (table, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, t := range b.tables {
		if t.digest == digest {
			return t, true
		}
	}
	return table{}, false
}

func (b *Blocks) load(ctx context.Context, digest string) (table, error) {
	data, err := b.objects.Load(ctx, prefix+digest)
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
