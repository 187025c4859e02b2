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

// Members gives this host and those that may be given work.
type Members interface {
	Self() member.Host
	Live() []member.Host
}

// Peers sends messages to other hosts.
type Peers interface {
	Tell(ctx context.Context, to member.Host, path string, in, out any) error
}

// Times of the loops.
const (
	// askInterval is the time between two questions to other hosts.
	askInterval = 2 * time.Second
	// tellTimeout bounds a message to another host.
	tellTimeout = time.Second
	// tableTimeout bounds a reading of the table.
	tableTimeout = 3 * time.Second
	// DefaultCurrentLimit is how long a host that hears nothing holds its
	// configuration for current.
	DefaultCurrentLimit = 10 * time.Second
)

// Spread keeps this host's view up to date.
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

	// wakePush and wakeAsk start the loops before their time.
	wakePush, wakeAsk chan struct{}
	// slots bounds the messages under way.
	slots chan struct{}

	mu      sync.Mutex
	changes config.Log
	known   knowledge
	hosts   map[string]*host
	// pushTo says which hosts the next push goes to.
	pushTo scope
	// turn counts the hosts that were asked.
	turn int
	// tableSeen is set when this host polls the table itself.
	tableSeen bool
	// snapshotRevision and snapshotAt are those of the last snapshot written.
	snapshotRevision uint64
	snapshotAt       time.Time
}

// host is what is known of another host's configuration.
type host struct {
	mark config.Mark
	// busy is set while a push to the host is under way.
	busy bool
	// forkAt is when the host last showed another history.
	forkAt time.Time
}

// Option changes a spread.
type Option func(*Spread)

// WithPeers makes the hosts exchange changes. Without it the host polls the
// table alone.
func WithPeers(m Members, p Peers) Option {
	return func(s *Spread) { s.members, s.peers = m, p }
}

// WithObjects keeps snapshots in the object store.
func WithObjects(o plat.Objects) Option {
	return func(s *Spread) { s.objects = o }
}

// WithClock sets the source of the present time.
func WithClock(now func() time.Time) Option {
	return func(s *Spread) { s.now = now }
}

// WithCurrentLimit sets how long a host that hears nothing holds its
// configuration for current.
func WithCurrentLimit(d time.Duration) Option {
	return func(s *Spread) { s.currentLimit = d }
}

// maxMessages bounds the messages under way at once.
const maxMessages = 32

// New returns a spread that advances the view.
func New(table plat.Table, v *view.View, log hclog.Logger, options ...Option) *Spread {
	s := &Spread{
		table:        table,
		view:         v,
		log:          log,
		now:          clock.Now,
		currentLimit: DefaultCurrentLimit,
		meters:       newMeters(),
		wakePush:     make(chan struct{}, 1),
		wakeAsk:      make(chan struct{}, 1),
		slots:        make(chan struct{}, maxMessages),
		hosts:        make(map[string]*host),
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
		g.Go(func() { loop(ctx, askInterval, s.wakeAsk, s.askTurn) })
		g.Go(func() { s.pushLoop(ctx) })
	}
	g.Wait()
	return nil
}

// loop calls f at each interval and when woken, until the context ends.
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

// signal wakes a loop without waiting for it.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// adopt brings the entries that follow the present revision into force and
// reports whether there were any. It returns an error that is
// [config.ErrFork] when they belong to another history.
func (s *Spread) adopt(source string, to scope, entries []config.Entry) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, changes := s.view.Config(), s.changes
	for _, e := range entries {
		if e.Change.Revision <= c.Revision {
			if config.Decide(changes, e.Mark(), 0) == config.StepFork {
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
	if !s.view.Advance(c) {
		return false, nil
	}
	s.changes = changes
	s.advanced(source, to, c)
	return true, nil
}

// adoptSnapshot brings a whole configuration into force when it is newer. The
// tail holds the last changes that led to it, which may be none.
func (s *Spread) adoptSnapshot(source string, to scope, data []byte, tail []config.Entry) error {
	c, err := config.DecodeSnapshot(data)
	if err != nil {
		return err
	}
	changes := config.NewLog(c.Mark())
	if len(tail) > 0 {
		first := tail[0].Change
		changes = config.NewLog(config.Mark{Revision: first.Revision - 1, Digest: first.Prev})
		for _, e := range tail {
			changes = changes.With(e)
		}
		if changes.End() != c.Mark() {
			return errors.Wrap(config.ErrSnapshot, "changes don't lead to the snapshot")
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view.Advance(c) {
		s.changes = changes
		s.advanced(source, to, c)
	}
	return nil
}

// advanced tells of a configuration that came into force. The caller holds mu.
func (s *Spread) advanced(source string, to scope, c *config.Config) {
	s.meters.revision.Set(float64(c.Revision))
	s.log.Info("configuration in force", "revision", c.Revision, "from", source)
	s.pushTo = max(s.pushTo, to)
	signal(s.wakePush)
}

// held returns the changes that this host holds.
func (s *Spread) held() config.Log {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}
