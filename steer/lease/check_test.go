package lease

import (
	"fmt"
	"testing"
	"time"
)

// The check explores all interleavings of a holder, its successor and one
// other host up to bounds. One unit of time is a second; clocks run at one rate.
const (
	checkLength  = 2
	checkExtent  = 5
	checkHorizon = 9
	checkStates  = 120_000
)

// rule is a rule of the protocol that a check can leave out.
type rule int

const (
	allRules rule = iota
	leaveAcknowledged
	regimeNumbers
	countFromSending
	extentBounds
	othersWait
	pledgeLapses
	pledgeWhileValid
	noPledgeWhileEvicting
)

type kind uint8

const (
	empty kind = iota
	renewed
	ask
	pledge
	leave
	left
)

// scope says which steps a check explores.
type scope struct {
	// passing lets the successor's own lease end and its role pass on.
	passing bool
	// over lets the successor's own lease be over from the start.
	over bool
	// alone leaves the other host out.
	alone bool
	// late lets the table run an eviction some time after it was sent.
	late bool
	// regimes bounds the regimes that the holder enters.
	regimes uint64
}

// message is on its way. Only [leave] and [ask] go to a watcher.
type message struct {
	kind   kind
	other  bool
	regime uint64
	sent   time.Time
}

type owner uint8

const (
	byHolder owner = iota
	bySuccessor
	byOther
)

// world is the state of the three hosts, the row and the messages. It is
// comparable, so that it can be a key.
type world struct {
	now      int
	holder   Holder
	toOther  bool
	watch    [2]Watch
	ownUntil int
	ownOver  bool
	adopted  bool
	version  int64
	owner    owner
	evicting int64
	messages [2]message
	scope    scope
}

func at(s int) time.Time { return time.Unix(int64(s), 0).UTC() }

func checkTerms(without rule) (holder, other Terms) {
	t := Terms{Length: checkLength * time.Second, Extent: checkExtent * time.Second}
	o := t
	if without == extentBounds {
		t.Extent = time.Hour
	}
	if without == othersWait {
		o.Extent = o.Length
	}
	return t, o
}

func firstWorld(s scope, without rule) world {
	t, o := checkTerms(without)
	ownUntil := checkLength
	if s.over {
		ownUntil = 0
	}
	w := world{
		scope:    s,
		ownOver:  s.over,
		holder:   NewHolder(t).WithClaim(at(0)),
		watch:    [2]Watch{NewWatch(t), NewWatch(o)},
		ownUntil: ownUntil,
		version:  2,
	}
	for i := range w.watch {
		w.watch[i] = w.watch[i].WithRow(at(0), at(0), 1, 0).WithRow(at(0), at(0), 2, 0)
	}
	return w
}

// holders returns the hosts that would act as keeper.
func (w world) holders() []string {
	var out []string
	if w.holder.Valid(at(w.now)) {
		out = append(out, "holder")
	}
	if w.ownValid() && (w.owner == bySuccessor || w.watch[0].Taken(at(w.now))) {
		out = append(out, "successor")
	}
	if w.owner == byOther || w.watch[1].Taken(at(w.now)) {
		out = append(out, "other")
	}
	return out
}

// ownValid reports whether the successor's own lease is valid.
func (w world) ownValid() bool { return !w.scope.passing || w.now < w.ownUntil }

func (w world) with(m message) (world, bool) {
	for i := range w.messages {
		if w.messages[i] == m {
			return w, false
		}
	}
	for i := range w.messages {
		if w.messages[i].kind == empty {
			w.messages[i] = m
			return w, true
		}
	}
	return w, false
}

// next returns the worlds one step further.
func (w world) next(without rule) []world {
	var out []world
	add := func(n world, ok bool) {
		if ok {
			out = append(out, n)
		}
	}
	if w.now < checkHorizon {
		n := w
		n.now++
		add(n, true)
	}
	steps := []func(rule) (world, bool){
		w.renew, w.askAgain, w.askToLeave, w.readFirst, w.evictFirst, w.takeFirst,
	}
	if !w.scope.alone && (!w.scope.passing || w.adopted) {
		steps = append(steps, w.readSecond, w.evictSecond)
	}
	if w.scope.late {
		steps = append(steps, w.landEviction)
	}
	if w.scope.passing {
		steps = append(steps, w.learnSuccessor, w.renewOwn, w.endOwn, w.adopt, w.takeSecond)
	}
	for _, f := range steps {
		add(f(without))
	}
	for i, m := range w.messages {
		if m.kind == empty {
			continue
		}
		lost := w
		lost.messages[i] = message{}
		add(lost, true)
		add(lost.receive(without, m))
		add(w.receive(without, m))
	}
	return out
}

func (w world) renew(rule) (world, bool) {
	if w.holder.Mode() != Table || w.owner != byHolder {
		return w, false
	}
	w.version++
	return w.with(message{kind: renewed, sent: at(w.now)})
}

func (w world) askAgain(rule) (world, bool) {
	if w.holder.Mode() == Table && w.holder.regime >= w.scope.regimes {
		return w, false
	}
	h, a, ok := w.holder.WithAsk(at(w.now))
	if !ok {
		return w, false
	}
	w.holder = h
	return w.with(message{kind: ask, other: w.toOther, regime: a.Regime, sent: a.Sent})
}

func (w world) askToLeave(without rule) (world, bool) {
	l, ok := w.holder.Leave()
	if !ok {
		return w, false
	}
	if without == leaveAcknowledged {
		w.holder.mode = Table
		return w, true
	}
	return w.with(message{kind: leave, other: w.toOther, regime: l.Regime})
}

func (w world) learnSuccessor(rule) (world, bool) {
	ok := w.adopted && !w.toOther
	w.toOther = true
	return w, ok
}

func (w world) renewOwn(rule) (world, bool) {
	ok := !w.ownOver
	w.ownUntil = w.now + checkLength
	return w, ok
}

func (w world) endOwn(rule) (world, bool) {
	ok := !w.ownOver && w.now >= w.ownUntil
	w.ownOver = true
	return w, ok
}

func (w world) adopt(rule) (world, bool) {
	if !w.ownOver || w.adopted || w.owner != byHolder {
		return w, false
	}
	w.adopted = true
	w.version++
	w.watch[1] = w.watch[1].WithRow(at(w.now), at(w.now), w.version, 0)
	return w, true
}

func (w world) readFirst(rule) (world, bool) {
	w.watch[0] = w.watch[0].WithRow(at(w.now), at(w.now), w.version, 0)
	return w, w.owner == byHolder
}

func (w world) readSecond(rule) (world, bool) {
	w.watch[1] = w.watch[1].WithRow(at(w.now), at(w.now), w.version, 0)
	return w, w.owner == byHolder
}

func (w world) evictFirst(without rule) (world, bool) {
	if !w.ownValid() || !w.watch[0].MayEvict(at(w.now), !w.adopted) || w.owner != byHolder {
		return w, false
	}
	w.evicting = w.watch[0].Version()
	w.watch[0] = w.watch[0].WithEvicting(without != noPledgeWhileEvicting)
	if !w.scope.late {
		return w.landEviction(without)
	}
	return w, true
}

func (w world) landEviction(rule) (world, bool) {
	if w.evicting == 0 || w.evicting != w.version || w.owner != byHolder {
		return w, false
	}
	w.version++
	w.owner = bySuccessor
	return w, true
}

func (w world) evictSecond(rule) (world, bool) {
	v := w.watch[1]
	if !v.MayEvict(at(w.now), w.adopted) || v.Version() != w.version || w.owner != byHolder {
		return w, false
	}
	w.version++
	w.owner = byOther
	w.watch[1] = v.WithOver()
	return w, true
}

func (w world) takeFirst(without rule) (world, bool) {
	if !w.ownValid() {
		return w, false
	}
	return w.take(without, 0)
}

func (w world) takeSecond(without rule) (world, bool) { return w.take(without, 1) }

func (w world) take(without rule, i int) (world, bool) {
	v := w.watch[i]
	if without == pledgeLapses {
		v.promised = time.Time{}
	}
	v, ok := v.WithTakeover(at(w.now))
	w.watch[i] = v.WithConfirmed()
	return w, ok
}

func (w world) receive(without rule, m message) (world, bool) {
	switch m.kind {
	case renewed:
		w.holder = w.holder.WithRenewal(m.sent)
	case ask, leave:
		return w.answer(without, m)
	case pledge:
		if without == regimeNumbers {
			m.regime = w.holder.regime
		}
		if without == countFromSending {
			m.sent = at(w.now)
		}
		w.holder = w.holder.WithPledge(Pledge{Regime: m.regime, Sent: m.sent})
	case left:
		if without == regimeNumbers {
			m.regime = w.holder.regime
		}
		w.holder = w.holder.WithLeft(Left{Regime: m.regime})
	}
	return w, true
}

func (w world) answer(without rule, m message) (world, bool) {
	i := 0
	if m.other {
		i = 1
	}
	if i == 0 && m.kind == ask && !w.ownValid() && without != pledgeWhileValid {
		return w, false
	}
	v := w.watch[i]
	var reply message
	var ok bool
	if m.kind == ask {
		if without == regimeNumbers {
			v.ended = 0
		}
		var p Pledge
		v, p, ok = v.WithAsk(at(w.now), Ask{Regime: m.regime, Sent: m.sent})
		reply = message{kind: pledge, regime: p.Regime, sent: p.Sent}
	} else {
		var l Left
		v, l, ok = v.WithLeave(Leave{Regime: m.regime})
		reply = message{kind: left, regime: l.Regime}
	}
	if !ok {
		return w, false
	}
	w.watch[i] = v
	return w.with(reply)
}

// key is a world in few bytes. Versions count only by whether they are the
// row's, and times in the past only as far as they can matter.
type key [48]int8

func (w world) key() key {
	var k key
	n := 0
	put := func(v int8) { k[n] = v; n++ }
	flag := func(bs ...bool) {
		var v int8
		for _, b := range bs {
			v *= 2
			if b {
				v++
			}
		}
		put(v)
	}
	// after puts a time relative to now that matters only after a bound.
	after := func(t time.Time, bound int) {
		if t.IsZero() {
			put(-100)
			return
		}
		put(int8(max(int(t.Unix())-w.now, bound)))
	}
	put(int8(w.now))
	put(int8(w.holder.mode))
	put(int8(w.holder.regime))
	after(w.holder.until, 0)
	after(w.holder.renewed, -checkExtent)
	put(int8(max(w.ownUntil-w.now, 0)))
	put(int8(w.owner))
	flag(w.toOther, w.ownOver, w.adopted, w.evicting != 0, w.evicting == w.version)
	for _, v := range w.watch {
		flag(v.open, v.evicting, v.taken, v.over, v.version == w.version)
		put(int8(v.regime))
		put(int8(v.ended))
		after(v.seen, -checkExtent)
		after(v.read, -checkExtent)
		after(v.changed, -checkExtent)
		after(v.promised, 0)
		after(v.until, 0)
	}
	for _, m := range w.messages {
		put(int8(m.kind))
		flag(m.other)
		put(int8(m.regime))
		after(m.sent, -checkLength)
	}
	return k
}

// check explores the worlds breadth first and returns the first with two
// holders, and the number of worlds seen.
func check(s scope, without rule, states int) (string, int) {
	first := firstWorld(s, without)
	seen := map[key]struct{}{first.key(): {}}
	queue := []world{first}
	for len(queue) > 0 && len(seen) < states {
		w := queue[0]
		queue = queue[1:]
		if h := w.holders(); len(h) > 1 {
			return fmt.Sprintf("at %d: %v: %+v", w.now, h, w), len(seen)
		}
		for _, n := range w.next(without) {
			k := n.key()
			if _, ok := seen[k]; !ok {
				seen[k] = struct{}{}
				queue = append(queue, n)
			}
		}
	}
	return "", len(seen)
}

var checkScopes = map[string]scope{
	"pair":    {alone: true, regimes: 2},
	"three":   {regimes: 1},
	"late":    {alone: true, late: true, regimes: 1},
	"passing": {passing: true, regimes: 1},
	"over":    {passing: true, over: true, regimes: 1},
}

func TestNoTwoHoldersInAnyInterleaving(t *testing.T) {
	for name, s := range checkScopes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, n := check(s, allRules, checkStates)
			if got != "" {
				t.Fatalf("got two holders after %d states, want one at most: %s", n, got)
			}
			t.Logf("%d states", n)
		})
	}
}

func TestCheckFindsEachMissingRule(t *testing.T) {
	for _, c := range []struct {
		name  string
		rule  rule
		scope string
	}{
		{"leave acknowledged", leaveAcknowledged, "pair"},
		{"regime numbers", regimeNumbers, "pair"},
		{"count from sending", countFromSending, "pair"},
		{"extent bounds", extentBounds, "three"},
		{"others wait", othersWait, "three"},
		{"pledge lapses", pledgeLapses, "pair"},
		{"pledge while valid", pledgeWhileValid, "over"},
		{"no pledge while evicting", noPledgeWhileEvicting, "late"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			got, n := check(checkScopes[c.scope], c.rule, checkStates)
			if got == "" {
				t.Fatalf("got no two holders in %d states, want the missing rule found", n)
			}
			t.Logf("found after %d states", n)
		})
	}
}
