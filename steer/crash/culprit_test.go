package crash

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Virtual deployment of TestCulpritIsRefusedByAllHosts.
const (
	simHosts   = 12
	simTick    = 50 * time.Millisecond
	simLength  = 20 * time.Minute
	simContact = 4 * time.Second
	// simDetect is the time from a crash until the host has recorded it.
	simDetect  = 500 * time.Millisecond
	bystanders = 40
	theCulprit = Fingerprint(1)
)

// simHost is a host that is replaced by an empty one when it restarts.
type simHost struct {
	suspects    *Suspects
	incarnation int
	// cutUntil is the end of the latest cut from the other hosts, or of the latest restart.
	cutUntil time.Time
	received [simHosts]struct {
		incarnation int
		revision    uint64
	}
}

// loss is a crash that a host will record.
type loss struct {
	at          time.Time
	host        int
	incarnation int
	server      string
	prints      []Fingerprint
}

// sim plays requests that crash servers at any host while hosts restart and are cut off.
type sim struct {
	rand   *rand.Rand
	now    time.Time
	hosts  [simHosts]*simHost
	losses []loss
	// crashes counts the servers that crashed, third is when the third one did.
	crashes int
	third   time.Time
	// late counts the runs that a host in touch started later than simContact after that.
	late            int
	served, refused int
}

func (s *sim) restart(i int) {
	h := &simHost{suspects: New(fmt.Sprintf("host-%02d", i), WithCrashThreshold(3), WithoutTrials(), WithProbation(time.Minute)), cutUntil: s.now}
	if old := s.hosts[i]; old != nil {
		h.incarnation = old.incarnation + 1
	}
	s.hosts[i] = h
}

// inTouch reports whether the host has been reachable for simContact.
func (s *sim) inTouch(i int) bool { return s.now.Sub(s.hosts[i].cutUntil) >= simContact }

// exchange sends the changes of host from to host to, unless one of them is cut off.
func (s *sim) exchange(from, to int) {
	a, b := s.hosts[from], s.hosts[to]
	if s.now.Before(a.cutUntil) || s.now.Before(b.cutUntil) {
		return
	}
	c := &b.received[from]
	if c.incarnation != a.incarnation {
		c.incarnation, c.revision = a.incarnation, 0
	}
	var reports []Report
	reports, c.revision = a.suspects.Changes(s.now, c.revision, 256)
	for _, r := range reports {
		b.suspects.Merge(s.now, r)
	}
}

// send sends the culprit to a host. Its server crashes, beside some bystanders.
func (s *sim) send(i int) {
	h := s.hosts[i]
	v, _ := h.suspects.Check(s.now, theCulprit)
	if v == Confirmed || v == OnTrial {
		return
	}
	s.crashes++
	if s.crashes == 3 {
		s.third = s.now
	}
	if s.crashes > 3 && s.now.Sub(s.third) > simContact && s.inTouch(i) {
		s.late++
	}
	server := fmt.Sprintf("server-%d", s.crashes)
	s.losses = append(s.losses, loss{s.now.Add(simDetect), i, h.incarnation, server, []Fingerprint{theCulprit}})
	for range 3 {
		beside := s.rand.IntN(simHosts)
		s.losses = append(s.losses, loss{s.now.Add(simDetect), beside, s.hosts[beside].incarnation, server, []Fingerprint{s.bystander()}})
	}
	if v == Trial {
		h.suspects.EndTrial(theCulprit)
	}
}

func (s *sim) bystander() Fingerprint { return Fingerprint(100 + s.rand.IntN(bystanders)) }

// sendBystander sends a harmless request to a host.
func (s *sim) sendBystander(i int) {
	h, p := s.hosts[i], s.bystander()
	switch v, _ := h.suspects.Check(s.now, p); v {
	case Confirmed, OnTrial:
		s.refused++
	case Trial, Clean:
		s.served++
		h.suspects.RecordSuccess(s.now, p)
		h.suspects.EndTrial(p)
	}
}

// step plays one tick.
func (s *sim) step() {
	s.now = s.now.Add(simTick)
	for i := range s.hosts {
		switch x := s.rand.Float64(); {
		case x < 0.0002:
			s.restart(i)
		case x < 0.0005:
			s.hosts[i].cutUntil = s.now.Add(time.Duration(s.rand.Int64N(int64(20 * time.Second))))
		}
		// Each host exchanges with others several times a second.
		if s.rand.IntN(5) == 0 {
			j := s.rand.IntN(simHosts)
			s.exchange(i, j)
			s.exchange(j, i)
		}
	}
	pending := s.losses[:0]
	for _, l := range s.losses {
		switch h := s.hosts[l.host]; {
		case s.now.Before(l.at):
			pending = append(pending, l)
		case h.incarnation == l.incarnation:
			for _, p := range l.prints {
				h.suspects.RecordCrash(s.now, p, l.server)
			}
		}
	}
	s.losses = pending
	if s.rand.IntN(4) == 0 {
		s.send(s.rand.IntN(simHosts))
	}
	for range 4 {
		s.sendBystander(s.rand.IntN(simHosts))
	}
}

// A request crashes each server that runs it, and is repeated at any host, five times a second for
// 20 minutes, while hosts restart without their records and are cut off for up to 20 s. From 4 s
// after the third crash, hosts in touch run it three times at most in all, and harmless requests
// that ran beside it are served.
func TestCulpritIsRefusedByAllHosts(t *testing.T) {
	for seed := range uint64(30) {
		s := &sim{rand: rand.New(rand.NewPCG(seed, 28)), now: time.Unix(1_000_000, 0)}
		for i := range s.hosts {
			s.restart(i)
		}
		for end := s.now.Add(simLength); s.now.Before(end); {
			s.step()
		}
		if s.late > 3 {
			t.Errorf("seed %d: ran %d times later than %s after the third crash, %d servers crashed, want at most 3", seed, s.late, simContact, s.crashes)
		}
		if got := float64(s.refused) / float64(s.refused+s.served); got > 0.001 {
			t.Errorf("seed %d: %d of %d harmless requests refused", seed, s.refused, s.refused+s.served)
		}
	}
}
