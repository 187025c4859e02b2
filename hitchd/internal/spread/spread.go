package spread

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/view"
	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
)

// Members returns this host and the live hosts that may receive requests.
type Members interface {
	Self() member.Host
	Live() []member.Host
}

// Peers sends messages to other hosts.
type Peers interface {
	Call(ctx context.Context, to member.Host, path string, in, out any) error
}

// Intervals and timeouts.
const (
	// queryInterval is the time between two queries to other hosts.
	queryInterval = 2 * time.Second
	// messageTimeout bounds a message to another host.
	messageTimeout = time.Second
	// tableTimeout bounds a comparison with the table or a read of its history.
	tableTimeout = 3 * time.Second
	// DefaultCurrentLimit is how long the configuration counts as current after
	// it was last confirmed to be the greatest accepted revision.
	DefaultCurrentLimit = 10 * time.Second
)

// Spread keeps the configuration of this host up to date.
type Spread struct {
	table        plat.Table
	objects      plat.Objects
	view         *view.View
	members      Members
	peers        Peers
	log          hclog.Logger
	now          func() time.Time
	currentLimit time.Duration
	meters       meters

	// wakePush starts a push, wakeQuery a query before its interval ends.
	wakePush, wakeQuery chan struct{}
	// sendSlots bounds the concurrent messages.
	sendSlots chan struct{}

	mu         sync.Mutex
	changes    config.Log
	status     syncStatus
	peerStates map[string]*peerState
	// pushTo is the scope of the next push.
	pushTo scope
	// queries counts the choices of a host to query; nextTarget takes the kinds
	// of hosts in turn by it.
	queries int
	// pollsTable is set while this host polls the table itself.
	pollsTable bool
	// snapshotRevision and snapshotAt are the revision and the time of the last
	// snapshot that this host wrote or found up to date.
	snapshotRevision uint64
	snapshotAt       time.Time
}

// peerState is the recorded state of another host.
type peerState struct {
	position config.Position
	// pushing is set while a push to the host is in progress.
	pushing bool
	// forkAt is when the host last reported a different history.
	forkAt time.Time
}

// Option configures a [Spread].
type Option func(*Spread)

// WithPeers enables the exchange of changes with other hosts. By default the
// host only polls the table.
func WithPeers(m Members, p Peers) Option {
	return func(s *Spread) { s.members, s.peers = m, p }
}

// WithObjects enables snapshots in the object store.
func WithObjects(o plat.Objects) Option {
	return func(s *Spread) { s.objects = o }
}

// WithClock sets the clock. The default is that of package clock.
func WithClock(now func() time.Time) Option {
	return func(s *Spread) { s.now = now }
}

// WithCurrentLimit sets how long the configuration counts as current after its
// last confirmation. The default is [DefaultCurrentLimit].
func WithCurrentLimit(d time.Duration) Option {
	return func(s *Spread) { s.currentLimit = d }
}

// maxMessages is the maximum number of concurrent messages to other hosts.
const maxMessages = 32

// New returns a Spread that advances the configuration of the view.
func New(table plat.Table, v *view.View, log hclog.Logger, options ...Option) *Spread {
	s := &Spread{
		table:        table,
		view:         v,
		log:          log,
		now:          clock.Now,
		currentLimit: DefaultCurrentLimit,
		meters:       newMeters(),
		wakePush:     make(chan struct{}, 1),
		wakeQuery:    make(chan struct{}, 1),
		sendSlots:    make(chan struct{}, maxMessages),
		peerStates:   make(map[string]*peerState),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Run polls the table at each interval and exchanges changes with other hosts
// until the context ends.
func (s *Spread) Run(ctx context.Context, interval time.Duration) error {
	s.start(ctx)
	var g sync.WaitGroup
	g.Go(func() { loop(ctx, interval, nil, s.pollTurn) })
	g.Go(func() { loop(ctx, snapshotInterval, nil, s.snapshotTurn) })
	if s.peers != nil {
		g.Go(func() { loop(ctx, queryInterval, s.wakeQuery, s.queryTurn) })
		g.Go(func() { s.pushLoop(ctx) })
	}
	g.Wait()
	return nil
}

// loop calls f at once, at each interval and after each wake signal, until the
// context ends.
func loop(ctx context.Context, interval time.Duration, wake <-chan struct{}, f func(context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-wake:
		}
	}
}

// signal wakes a loop. It does nothing if a signal is already pending.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// apply brings the entries after the present revision into force and reports
// whether the configuration changed. It returns [config.ErrFork] if they belong
// to a different history, and [config.ErrRevision] if they leave a gap.
func (s *Spread) apply(source string, to scope, entries []config.Entry) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, changes := s.view.Config(), s.changes
	for _, e := range entries {
		if e.Change.Revision <= c.Revision {
			if config.CompareHistories(changes, e.Position(), 0) == config.SyncFork {
				return false, config.ErrFork
			}
			continue
		}
		var err error
		if c, err = c.WithEntry(e); err != nil {
			return false, err
		}
		changes = changes.With(e)
	}
	if !s.view.Update(c) {
		return false, nil
	}
	s.changes = changes
	s.announce(source, to, c)
	return true, nil
}

// applySnapshot brings a complete configuration into force if it is newer. The
// tail holds the last changes before it and may be empty.
func (s *Spread) applySnapshot(source string, to scope, data []byte, tail []config.Entry) error {
	c, err := config.DecodeSnapshot(data)
	if err != nil {
		return err
	}
	changes := config.NewLog(c.Position())
	if len(tail) > 0 {
		first := tail[0].Change
		changes = config.NewLog(config.Position{Revision: first.Revision - 1, Digest: first.Prev})
		for _, e := range tail {
			changes = changes.With(e)
		}
		if changes.End() != c.Position() {
			return errors.Wrap(config.ErrSnapshot, "changes end at a different position than the snapshot")
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view.Update(c) {
		s.changes = changes
		s.announce(source, to, c)
	}
	return nil
}

// announce updates the metric, logs the configuration that came into force and
// schedules a push. The caller holds mu.
func (s *Spread) announce(source string, to scope, c *config.Config) {
	s.meters.revision.Set(float64(c.Revision))
	s.log.Info("configuration in force", "revision", c.Revision, "from", source)
	s.pushTo = max(s.pushTo, to)
	signal(s.wakePush)
}

// heldChanges returns the log of the changes that this host holds.
func (s *Spread) heldChanges() config.Log {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}
