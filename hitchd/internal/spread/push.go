package spread

import (
	"context"
	"net/http"
	"sync"

	"github.com/go-faster/errors"

	"magnoliahitch/hitchd/internal/peer"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
)

// pushPath is the path of pushes. pushBytes bounds the changes in one message, in
// bytes; the receiver fetches the rest.
const (
	pushPath  = "/config/push"
	pushBytes = 256 << 10
)

// scope determines the hosts to which a new configuration is pushed.
type scope uint8

const (
	toNone scope = iota
	// toDomain pushes to the hosts of this failure domain.
	toDomain
	// toAll also pushes to one host of each other domain.
	toAll
)

// pushMessage sends changes to a host. Revision and Digest are the position of the
// sender.
type pushMessage struct {
	From     string   `msgpack:"from"`
	Revision uint64   `msgpack:"revision"`
	Digest   string   `msgpack:"digest"`
	Entries  [][]byte `msgpack:"entries"`
	// Relay makes the receiver push the changes to its failure domain.
	Relay bool `msgpack:"relay"`
}

// pushResponse is the position of the receiver after a push.
type pushResponse struct {
	Revision uint64 `msgpack:"revision"`
	Digest   string `msgpack:"digest"`
}

// pushLoop pushes after each configuration that came into force, until the
// context ends.
func (s *Spread) pushLoop(ctx context.Context) {
	var g sync.WaitGroup
	defer g.Wait()
	var last uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakePush:
		}
		s.mu.Lock()
		to := s.pushTo
		s.pushTo = toNone
		s.mu.Unlock()
		from := last
		last = s.heldChanges().End().Revision
		if to == toNone {
			continue
		}
		all := s.others()
		domain := s.members.Self().Domain
		for _, h := range inDomain(all, domain) {
			g.Go(func() { _ = s.push(ctx, h, false, from) })
		}
		if to == toAll {
			for _, p := range relays(all, domain) {
				g.Go(func() { s.pushFirst(ctx, p, from) })
			}
		}
	}
}

// pushFirst pushes to the first of the hosts that responds, which relays the
// changes.
func (s *Spread) pushFirst(ctx context.Context, hosts []member.Host, from uint64) {
	for _, h := range hosts {
		if s.push(ctx, h, true, from) == nil {
			return
		}
	}
}

// push sends the host the changes after the revision from, except those that it
// is recorded to hold. A host that lacks earlier changes fetches them. Nothing
// is sent while another push to the host is in progress.
func (s *Spread) push(ctx context.Context, to member.Host, relay bool, from uint64) error {
	if !s.beginPush(to.Name) {
		return nil
	}
	defer s.endPush(to.Name)
	for {
		held := s.heldChanges()
		m, ok := s.newPushMessage(to.Name, held, from)
		if !ok {
			return nil
		}
		m.Relay = relay
		var a pushResponse
		s.meters.pushes.Inc()
		if err := s.send(ctx, to, pushPath, m, &a); err != nil {
			s.meters.pushFailures.Inc()
			return err
		}
		s.recordPosition(to.Name, config.Position{Revision: a.Revision, Digest: a.Digest})
		if a.Revision < held.End().Revision {
			// The host fetches the changes that the message didn't contain.
			return nil
		}
	}
}

// newPushMessage returns a message with the changes after the revision from
// that the named host isn't recorded to hold. It reports false if the host is
// up to date.
func (s *Spread) newPushMessage(name string, held config.Log, from uint64) (pushMessage, bool) {
	s.mu.Lock()
	recorded := s.peerStates[name].position.Revision
	s.mu.Unlock()
	end := held.End()
	if recorded >= end.Revision {
		return pushMessage{}, false
	}
	entries, _ := held.After(max(recorded, from, held.Base().Revision), pushBytes)
	return pushMessage{From: s.self(), Revision: end.Revision, Digest: end.Digest, Entries: rawEntries(entries)}, true
}

func (s *Spread) beginPush(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.peerState(name)
	if h.pushing {
		return false
	}
	h.pushing = true
	return true
}

func (s *Spread) endPush(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerState(name).pushing = false
}

// peerState returns the state of a host and adds it if it is missing. The
// caller holds mu.
func (s *Spread) peerState(name string) *peerState {
	h := s.peerStates[name]
	if h == nil {
		h = &peerState{}
		s.peerStates[name] = h
	}
	return h
}

func (s *Spread) self() string {
	if s.members == nil {
		return ""
	}
	return s.members.Self().Name
}

// send sends a message with messageTimeout, after it has waited for one of the
// sendSlots.
func (s *Spread) send(ctx context.Context, to member.Host, path string, in, out any) error {
	select {
	case s.sendSlots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.sendSlots }()
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	err := s.peers.Call(ctx, to, path, in, out)
	if err != nil {
		s.log.Debug("send message", "path", path, "host", to.Name, "error", err)
	}
	return err
}

func rawEntries(entries []config.Entry) [][]byte {
	out := make([][]byte, len(entries))
	for i, e := range entries {
		out[i] = e.Raw
	}
	return out
}

func decodeEntries(raw [][]byte) ([]config.Entry, error) {
	out := make([]config.Entry, 0, len(raw))
	for _, r := range raw {
		e, err := config.Decode(r)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

// Mux registers message handlers.
type Mux interface {
	Handle(pattern string, h http.Handler)
}

// Register registers the handlers of other hosts' messages on the mux.
func (s *Spread) Register(m Mux) {
	m.Handle("POST "+pushPath, peer.MessageHandler(func(_ *http.Request, in pushMessage) (pushResponse, error) { return s.handlePush(in) }))
	m.Handle("POST "+queryPath, peer.MessageHandler(func(_ *http.Request, in queryRequest) (queryResponse, error) { return s.handleQuery(in) }))
}

// handlePush brings pushed changes into force and returns the position of this
// host.
func (s *Spread) handlePush(in pushMessage) (pushResponse, error) {
	entries, err := decodeEntries(in.Entries)
	if err != nil {
		return pushResponse{}, errors.Wrapf(err, "decode push from host %s", in.From)
	}
	to := toNone
	if in.Relay {
		to = toDomain
	}
	_, err = s.apply("host "+in.From, to, entries)
	switch {
	case errors.Is(err, config.ErrRevision):
		signal(s.wakeQuery)
	case err != nil:
		s.recordPeerFork(in.From, errors.Wrapf(err, "apply push from host %s", in.From))
	}
	// Recorded after the changes are in force, so that a query follows only if
	// the message didn't contain them all.
	s.recordPosition(in.From, config.Position{Revision: in.Revision, Digest: in.Digest})
	end := s.heldChanges().End()
	return pushResponse{end.Revision, end.Digest}, nil
}
