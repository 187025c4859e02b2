package spread

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
)

// queryPath is the path of queries for changes.
const queryPath = "/config/changes"

// Limits of queries.
const (
	// maxQueried is the maximum number of hosts that are queried at once.
	maxQueried = 16
	// turnsPerRound is the number of turns after which nextTarget starts again
	// with the first kind of host.
	turnsPerRound = 4
	// maxFetches bounds the queries to one host in a turn.
	maxFetches = 64
)

// queryRequest holds the position of the querying host.
type queryRequest struct {
	From     string `msgpack:"from"`
	Revision uint64 `msgpack:"revision"`
	Digest   string `msgpack:"digest"`
	// Short requests the position and the state only, without changes.
	Short bool `msgpack:"short"`
}

// queryResponse holds the position and the state of the queried host, and the
// changes that the querying host lacks.
type queryResponse struct {
	Revision uint64 `msgpack:"revision"`
	Digest   string `msgpack:"digest"`
	// Entries follow the revision of the querying host. If the queried host no
	// longer holds those changes, Snapshot is the complete configuration and
	// Entries are the last changes before it.
	Entries  [][]byte `msgpack:"entries,omitempty"`
	Snapshot []byte   `msgpack:"snapshot,omitempty"`
	// CurrentAge is the time since the revision was confirmed to be the
	// greatest accepted one, negative if it never was.
	CurrentAge time.Duration `msgpack:"currentAge"`
	// StoreKnown is set if the host has recorded the state of the table.
	// StoreDownAge is how long the table has been down, zero if it is up.
	StoreKnown   bool          `msgpack:"storeKnown"`
	StoreDownAge time.Duration `msgpack:"storeDownAge"`
	// Fork describes a different history that was detected ForkAge ago.
	Fork    string        `msgpack:"fork,omitempty"`
	ForkAge time.Duration `msgpack:"forkAge,omitempty"`
}

// position returns the position of the queried host.
func (a queryResponse) position() config.Position {
	return config.Position{Revision: a.Revision, Digest: a.Digest}
}

// handleQuery returns the response to a query.
func (s *Spread) handleQuery(in queryRequest) (queryResponse, error) {
	held := s.heldChanges()
	end := held.End()
	a := s.statusResponse(end)
	if in.From != "" && !in.Short {
		s.recordPosition(in.From, config.Position{Revision: in.Revision, Digest: in.Digest})
	}
	if in.Short || in.Revision >= end.Revision {
		return a, nil
	}
	if entries, ok := held.After(in.Revision, pushBytes); ok {
		a.Entries = rawEntries(entries)
		return a, nil
	}
	c := s.view.Config()
	data, err := config.EncodeSnapshot(c)
	if err != nil {
		return queryResponse{}, err
	}
	a.Revision, a.Digest, a.Snapshot = c.Revision, c.Digest, data
	if tail := held.Tail(pushBytes); held.End() == c.Position() {
		a.Entries = rawEntries(tail)
	}
	return a, nil
}

// queryTurn fetches from a host that is recorded to be ahead, or else from the
// next target.
func (s *Spread) queryTurn(ctx context.Context) {
	defer s.report()
	h, ok := s.peerAhead()
	if !ok {
		h, ok = s.nextTarget()
	}
	if !ok {
		return
	}
	if err := s.fetch(ctx, h); err != nil && ctx.Err() == nil {
		s.log.Debug("query changes", "host", h.Name, "error", err)
	}
}

// nextTarget returns the next host to query. Every second turn it is a poller
// of this failure domain, whose view of the table is the most recent. The turns
// in between alternate between any host of the domain and a poller of another
// domain. If there is no such host, it is any other live host.
func (s *Spread) nextTarget() (member.Host, bool) {
	s.mu.Lock()
	s.queries++
	turn := s.queries
	s.mu.Unlock()
	all := s.others()
	domain := s.members.Self().Domain
	local := inDomain(all, domain)
	var list []member.Host
	switch round := turn / turnsPerRound; turn % turnsPerRound {
	case 1:
		list = local
	case turnsPerRound - 1:
		if d := domains(all, domain); len(d) > 0 {
			name := d[round%len(d)]
			list = pollers(inDomain(all, name), name)
		}
	default:
		list = pollers(local, domain)
	}
	if len(list) == 0 {
		list = all
	}
	if len(list) == 0 {
		return member.Host{}, false
	}
	slices.SortFunc(list, byName)
	return list[turn/turnsPerRound%len(list)], true
}

// peerAhead returns the live host with the greatest recorded revision above
// this host's, without hosts that reported a fork within the limit.
func (s *Spread) peerAhead() (member.Host, bool) {
	s.mu.Lock()
	best, greatest := "", s.view.Config().Revision
	for name, k := range s.peerStates {
		if k.position.Revision > greatest && !s.within(s.now(), k.forkAt) {
			best, greatest = name, k.position.Revision
		}
	}
	s.mu.Unlock()
	if best == "" {
		return member.Host{}, false
	}
	all := s.others()
	i := slices.IndexFunc(all, hasName(best))
	if i < 0 {
		s.removePeer(best)
		return member.Host{}, false
	}
	return all[i], true
}

// fetch queries the host until this host has its revision, and applies the
// changes. It stops without an error when a response brings no progress or
// after maxFetches queries.
func (s *Spread) fetch(ctx context.Context, to member.Host) error {
	for range maxFetches {
		sent := s.now()
		end := s.heldChanges().End()
		a, err := s.query(ctx, to, queryRequest{From: s.self(), Revision: end.Revision, Digest: end.Digest})
		if err != nil {
			return err
		}
		if err := s.applyResponse(to.Name, a); err != nil {
			s.recordPeerFork(to.Name, err)
			return err
		}
		s.mergeStatus(sent, a)
		now := s.heldChanges().End()
		if now.Revision >= a.Revision || now == end {
			return nil
		}
	}
	return nil
}

// applyResponse brings the changes of a response into force. It returns
// [config.ErrFork] if the other host has a different history.
func (s *Spread) applyResponse(from string, a queryResponse) error {
	to := toNone
	if s.isPoller() {
		to = toDomain
	}
	entries, err := decodeEntries(a.Entries)
	if err != nil {
		return errors.Wrapf(err, "decode changes from host %s", from)
	}
	if len(a.Snapshot) > 0 {
		err := s.applySnapshot("host "+from, to, a.Snapshot, entries)
		return wrapError(err, "apply snapshot from host "+from)
	}
	if _, err := s.apply("host "+from, to, entries); err != nil && !errors.Is(err, config.ErrRevision) {
		return errors.Wrapf(err, "apply changes from host %s", from)
	}
	if config.CompareHistories(s.heldChanges(), a.position(), 0) == config.SyncFork {
		return errors.Wrapf(config.ErrFork, "compare with the history of host %s at revision %d", from, a.Revision)
	}
	return nil
}

// wrapError adds the step to an error. It returns nil for nil.
func wrapError(err error, step string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, step)
}

// query sends one query and records the position of the response.
func (s *Spread) query(ctx context.Context, to member.Host, m queryRequest) (queryResponse, error) {
	var a queryResponse
	s.meters.queries.Inc()
	if err := s.send(ctx, to, queryPath, m, &a); err != nil {
		s.meters.queryFailures.Inc()
		s.clearPosition(to.Name)
		return a, err
	}
	s.recordPosition(to.Name, a.position())
	return a, nil
}

// syncWithPeers queries the revisions of up to maxQueried hosts, then fetches
// from those ahead.
func (s *Spread) syncWithPeers(ctx context.Context) {
	hosts := s.queryTargets()
	s.queryRevisions(ctx, hosts[:min(maxQueried, len(hosts))])
	s.fetchFromPeersAhead(ctx)
}

// fetchFromPeersAhead fetches from the hosts that are recorded to be ahead.
func (s *Spread) fetchFromPeersAhead(ctx context.Context) {
	for range maxQueried {
		h, ok := s.peerAhead()
		if !ok || ctx.Err() != nil {
			return
		}
		if err := s.fetch(ctx, h); err != nil {
			s.clearPosition(h.Name)
		}
	}
}

// catchUpWithPeers fetches from the hosts that are recorded to be ahead. An
// isolated host queries the others first.
func (s *Spread) catchUpWithPeers(ctx context.Context) {
	if s.isolated() {
		s.syncWithPeers(ctx)
		return
	}
	s.fetchFromPeersAhead(ctx)
}

// queryRevisions queries the hosts concurrently and returns the revisions of
// those that respond, by name.
func (s *Spread) queryRevisions(ctx context.Context, hosts []member.Host) map[string]uint64 {
	var mu sync.Mutex
	out := make(map[string]uint64, len(hosts))
	var g sync.WaitGroup
	for _, h := range hosts {
		g.Go(func() {
			a, err := s.query(ctx, h, queryRequest{From: s.self(), Short: true})
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

// Revisions returns the revisions in force on the live hosts, by name. Hosts
// that don't respond are missing from the result.
func (s *Spread) Revisions(ctx context.Context) map[string]uint64 {
	out := s.queryRevisions(ctx, s.others())
	if s.members != nil {
		out[s.self()] = s.view.Config().Revision
	}
	return out
}
