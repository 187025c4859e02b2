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

// pushPath is the path of pushed changes, and pushBytes bounds the changes in
// one message. A host that lacks more pulls it.
const (
	pushPath  = "/config/push"
	pushBytes = 256 << 10
)

// scope says which hosts are pushed a configuration that came into force.
type scope uint8

const (
	toNobody scope = iota
	// toDomain pushes to the hosts of this failure domain.
	toDomain
	// toAll pushes to one host of each other domain too.
	toAll
)

// pushMessage brings changes to a host.
type pushMessage struct {
	From     string   `msgpack:"from"`
	Revision uint64   `msgpack:"revision"`
	Digest   string   `msgpack:"digest"`
	Entries  [][]byte `msgpack:"entries"`
	// Relay asks the host to pass the changes on in its failure domain.
	Relay bool `msgpack:"relay"`
}

// pushAnswer tells what the host holds after a push.
type pushAnswer struct {
	Revision uint64 `msgpack:"revision"`
	Digest   string `msgpack:"digest"`
}

// pushLoop pushes whenever a configuration came into force.
func (s *Spread) pushLoop(ctx context.Context) {
	var g sync.WaitGroup
	defer g.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakePush:
		}
		s.mu.Lock()
		to := s.pushTo
		s.pushTo = toNobody
		s.mu.Unlock()
		if to == toNobody {
			continue
		}
		all := s.others()
		domain := s.members.Self().Domain
		for _, h := range inDomain(all, domain) {
			g.Go(func() { _ = s.push(ctx, h, false) })
		}
		if to == toAll {
			for _, p := range relays(all, domain) {
				g.Go(func() { s.pushFirst(ctx, p) })
			}
		}
	}
}

// pushFirst pushes to the first of the hosts that answers, to be relayed.
func (s *Spread) pushFirst(ctx context.Context, hosts []member.Host) {
	for _, h := range hosts {
		if s.push(ctx, h, true) == nil {
			return
		}
	}
}

// push brings the host what it is not known to hold.
func (s *Spread) push(ctx context.Context, to member.Host, relay bool) error {
	if !s.beginPush(to.Name) {
		return nil
	}
	defer s.endPush(to.Name)
	for {
		held := s.held()
		m, ok := s.message(to.Name, held)
		if !ok {
			return nil
		}
		m.Relay = relay
		var a pushAnswer
		s.meters.pushes.Inc()
		if err := s.tell(ctx, to, pushPath, m, &a); err != nil {
			s.meters.pushFailures.Inc()
			return err
		}
		s.heard(to.Name, config.Mark{Revision: a.Revision, Digest: a.Digest})
		if a.Revision < held.End().Revision {
			// The host pulls what the message didn't hold.
			return nil
		}
	}
}

// message returns the changes that the named host is not known to hold.
func (s *Spread) message(name string, held config.Log) (pushMessage, bool) {
	s.mu.Lock()
	known := s.hosts[name].mark.Revision
	s.mu.Unlock()
	end := held.End()
	if known >= end.Revision {
		return pushMessage{}, false
	}
	if known == 0 || known < held.Base().Revision {
		known = max(held.Base().Revision, end.Revision-1)
	}
	entries, _ := held.After(known, pushBytes)
	return pushMessage{From: s.self(), Revision: end.Revision, Digest: end.Digest, Entries: raws(entries)}, true
}

func (s *Spread) beginPush(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hostOf(name)
	if h.busy {
		return false
	}
	h.busy = true
	return true
}

func (s *Spread) endPush(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostOf(name).busy = false
}

// hostOf returns what is known of a host. The caller holds mu.
func (s *Spread) hostOf(name string) *host {
	h := s.hosts[name]
	if h == nil {
		h = &host{}
		s.hosts[name] = h
	}
	return h
}

func (s *Spread) self() string {
	if s.members == nil {
		return ""
	}
	return s.members.Self().Name
}

// tell sends a message within its time, with a bound on those under way.
func (s *Spread) tell(ctx context.Context, to member.Host, path string, in, out any) error {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.slots }()
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	err := s.peers.Tell(ctx, to, path, in, out)
	if err != nil {
		s.log.Debug("message failed", "path", path, "host", to.Name, "error", err)
	}
	return err
}

func raws(entries []config.Entry) [][]byte {
	out := make([][]byte, len(entries))
	for i, e := range entries {
		out[i] = e.Raw
	}
	return out
}

func decodeAll(raw [][]byte) ([]config.Entry, error) {
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

// Mux registers handlers of messages.
type Mux interface {
	Handle(pattern string, h http.Handler)
}

// Register answers other hosts' messages on the mux.
func (s *Spread) Register(m Mux) {
	m.Handle("POST "+pushPath, peer.Message(func(_ *http.Request, in pushMessage) (pushAnswer, error) { return s.takePush(in) }))
	m.Handle("POST "+askPath, peer.Message(func(_ *http.Request, in askMessage) (askAnswer, error) { return s.takeAsk(in) }))
}

// takePush answers a push.
func (s *Spread) takePush(in pushMessage) (pushAnswer, error) {
	entries, err := decodeAll(in.Entries)
	if err != nil {
		return pushAnswer{}, errors.Wrapf(err, "push of host %s", in.From)
	}
	to := toNobody
	if in.Relay {
		to = toDomain
	}
	_, err = s.adopt("host "+in.From, to, entries)
	switch {
	case errors.Is(err, config.ErrRevision):
		signal(s.wakeAsk)
	case err != nil:
		s.forked(in.From, errors.Wrapf(err, "push of host %s", in.From))
	}
	// Noted after the changes are in force, so that it calls for a question
	// only when the message didn't hold them all.
	s.heard(in.From, config.Mark{Revision: in.Revision, Digest: in.Digest})
	end := s.held().End()
	return pushAnswer{end.Revision, end.Digest}, nil
}
