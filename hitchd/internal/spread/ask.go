package spread

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
)

// askPath is the path of questions for changes.
const askPath = "/config/changes"

// Bounds of questions.
const (
	// maxAsked is the number of hosts that are asked at once.
	maxAsked = 16
	// maxRounds bounds the answers that are fetched from one host in a turn.
	maxRounds = 64
)

// askMessage tells what the asking host holds.
type askMessage struct {
	From     string `msgpack:"from"`
	Revision uint64 `msgpack:"revision"`
	Digest   string `msgpack:"digest"`
	// Short asks for no changes.
	Short bool `msgpack:"short"`
}

// askAnswer tells what the answering host holds and knows.
type askAnswer struct {
	Revision uint64 `msgpack:"revision"`
	Digest   string `msgpack:"digest"`
	// Entries follow the asking host's revision. When they no longer can,
	// Snapshot holds the configuration as a whole and Entries the last changes
	// that led to it.
	Entries  [][]byte `msgpack:"entries,omitempty"`
	Snapshot []byte   `msgpack:"snapshot,omitempty"`
	// CurrentAge is how long ago the revision was known to be the greatest,
	// negative when it never was.
	CurrentAge time.Duration `msgpack:"currentAge"`
	// StoreKnown is set when the host knows the state of the table, and
	// StoreDownAge how long it has been down, zero when it is up.
	StoreKnown   bool          `msgpack:"storeKnown"`
	StoreDownAge time.Duration `msgpack:"storeDownAge"`
}

// mark returns what the answering host holds.
func (a askAnswer) mark() config.Mark { return config.Mark{Revision: a.Revision, Digest: a.Digest} }

// takeAsk answers a question.
func (s *Spread) takeAsk(in askMessage) (askAnswer, error) {
	held := s.held()
	end := held.End()
	a := s.answer(end)
	if in.From != "" && !in.Short {
		s.heard(in.From, config.Mark{Revision: in.Revision, Digest: in.Digest})
	}
	if in.Short || in.Revision >= end.Revision {
		return a, nil
	}
	if entries, ok := held.After(in.Revision, pushBytes); ok {
		a.Entries = raws(entries)
		return a, nil
	}
	c := s.view.Config()
	data, err := config.EncodeSnapshot(c)
	if err != nil {
		return askAnswer{}, err
	}
	a.Revision, a.Digest, a.Snapshot = c.Revision, c.Digest, data
	if tail := held.Tail(pushBytes); held.End() == c.Mark() {
		a.Entries = raws(tail)
	}
	return a, nil
}

// askTurn asks the host that is known to be ahead, or else the next one.
func (s *Spread) askTurn(ctx context.Context) {
	defer s.report()
	h, ok := s.ahead()
	if !ok {
		hosts := s.neighbours()
		if len(hosts) == 0 {
			return
		}
		s.mu.Lock()
		s.turn++
		h = hosts[s.turn%len(hosts)]
		s.mu.Unlock()
	}
	if err := s.ask(ctx, h); err != nil && ctx.Err() == nil {
		s.log.Debug("ask for changes", "host", h.Name, "error", err)
	}
}

// ahead returns the live host that is known to hold the greatest revision
// above this host's.
func (s *Spread) ahead() (member.Host, bool) {
	all := s.others()
	s.mu.Lock()
	defer s.mu.Unlock()
	var best member.Host
	greatest := s.view.Config().Revision
	for _, h := range all {
		if k := s.hosts[h.Name]; k != nil && k.mark.Revision > greatest && !s.within(s.now(), k.forkAt) {
			best, greatest = h, k.mark.Revision
		}
	}
	return best, best.Name != ""
}

// ask fetches what the host holds beyond this host's revision.
func (s *Spread) ask(ctx context.Context, to member.Host) error {
	for range maxRounds {
		sent := s.now()
		end := s.held().End()
		a, err := s.askOnce(ctx, to, askMessage{From: s.self(), Revision: end.Revision, Digest: end.Digest})
		if err != nil {
			return err
		}
		if err := s.take(to.Name, a); err != nil {
			s.forked(to.Name, err)
			return err
		}
		s.learn(sent, a)
		now := s.held().End()
		if now.Revision >= a.Revision || now == end {
			return nil
		}
	}
	return nil
}

// take brings the changes of an answer into force.
func (s *Spread) take(from string, a askAnswer) error {
	to := toNobody
	if s.polls() {
		to = toDomain
	}
	entries, err := decodeAll(a.Entries)
	if err != nil {
		return errors.Wrapf(err, "read changes of host %s", from)
	}
	if len(a.Snapshot) > 0 {
		err := s.adoptSnapshot("host "+from, to, a.Snapshot, entries)
		return errorAt(err, "apply snapshot of host "+from)
	}
	if _, err := s.adopt("host "+from, to, entries); err != nil && !errors.Is(err, config.ErrRevision) {
		return errors.Wrapf(err, "apply changes of host %s", from)
	}
	if config.Decide(s.held(), a.mark(), 0) == config.StepFork {
		return errors.Wrapf(config.ErrFork, "compare with host %s at revision %d", from, a.Revision)
	}
	return nil
}

// errorAt adds the step to an error.
func errorAt(err error, step string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, step)
}

// askOnce sends one question.
func (s *Spread) askOnce(ctx context.Context, to member.Host, m askMessage) (askAnswer, error) {
	var a askAnswer
	s.meters.asks.Inc()
	if err := s.tell(ctx, to, askPath, m, &a); err != nil {
		s.meters.askFailures.Inc()
		s.forget(to.Name)
		return a, err
	}
	s.heard(to.Name, a.mark())
	return a, nil
}

// askMany asks several hosts what they hold, then fetches the greatest.
func (s *Spread) askMany(ctx context.Context) {
	hosts := s.neighbours()
	s.askShort(ctx, hosts[:min(maxAsked, len(hosts))])
	s.followAhead(ctx)
}

// followAhead fetches from the hosts that are known to be ahead.
func (s *Spread) followAhead(ctx context.Context) {
	for range maxAsked {
		h, ok := s.ahead()
		if !ok || ctx.Err() != nil {
			return
		}
		if err := s.ask(ctx, h); err != nil {
			s.forget(h.Name)
		}
	}
}

// followPeers makes sure that no host that was heard holds a greater revision.
func (s *Spread) followPeers(ctx context.Context) {
	if s.alone() {
		s.askMany(ctx)
		return
	}
	s.followAhead(ctx)
}

// askShort asks the hosts for their revisions and returns those that answered.
func (s *Spread) askShort(ctx context.Context, hosts []member.Host) map[string]uint64 {
	var mu sync.Mutex
	out := make(map[string]uint64, len(hosts))
	var g sync.WaitGroup
	for _, h := range hosts {
		g.Go(func() {
			a, err := s.askOnce(ctx, h, askMessage{From: s.self(), Short: true})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[h.Name] = a.Revision
		})
	}
	g.Wait()
	return out
}

// Revisions asks the live hosts for the revisions in force. Hosts that don't
// answer are missing from the result.
func (s *Spread) Revisions(ctx context.Context) map[string]uint64 {
	out := s.askShort(ctx, s.others())
	if s.members != nil {
		out[s.self()] = s.view.Config().Revision
	}
	return out
}
