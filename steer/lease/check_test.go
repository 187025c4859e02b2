package lease

import (
	"fmt"
	"testing"
	"time"

	"magnoliahitch/steer/eras"
)

// The model check explores, up to these bounds, all interleavings of the steps of
// a holder, its successor and one other host. Time advances in steps of one
// second; all clocks run at the same rate.
const (
	checkLength       = 2
	checkMaxExtension = 5
	checkHorizon      = 9
	checkStates       = 120_000
)

// rule is a rule of the protocol that a check can omit.
type rule int

const (
	allRules rule = iota
	regimeEndAcknowledged
	regimeNumbers
	countFromSending
	maxExtensionBounds
	othersWait
	pledgeExpires
	pledgeWhileValid
	noPledgeWhileEvicting
)

type kind uint8

const (
	empty kind = iota
	renewed
	pledgeRequest
	pledge
	endRegime
	regimeEnded
)

// scope selects the steps that a check explores.
type scope struct {
	// roleMoves lets the successor's own lease end and the other host adopt its
	// role.
	roleMoves bool
	// successorEnded starts with the successor's own lease ended.
	successorEnded bool
	// withoutOther excludes the steps of the other host.
	withoutOther bool
	// delayedEviction lets an eviction commit some time after it was sent.
	delayedEviction bool
	// maxRegimes is the number of regimes that the holder may enter.
	maxRegimes uint64
}

// message is a message in flight. Only those of kind [endRegime] and [pledgeRequest] go to an
// observer of the lease; the others go to the holder.
type message struct {
	kind    kind
	toOther bool
	regime  uint64
	sent    time.Time
}

type owner uint8

const (
	byHolder owner = iota
	bySuccessor
	byOther
)

// state is the state of the three hosts, the row and the messages in flight. It
// is comparable, so that it can be a map key.
type state struct {
	now             int
	holder          Holder
	requestsToOther bool
	watch           [2]Watch
	successorUntil  int
	successorEnded  bool
	adopted         bool
	version         int64
	owner           owner
	evicting        int64
	messages        [2]message
	scope           scope
}

func at(s int) time.Time { return time.Unix(int64(s), 0).UTC() }

func checkParams(without rule) (holder, other Params) {
	t := Params{Length: checkLength * time.Second, MaxExtension: checkMaxExtension * time.Second}
	o := t
	if without == maxExtensionBounds {
		t.MaxExtension = time.Hour
	}
	if without == othersWait {
		o.MaxExtension = o.Length
	}
	return t, o
}

func initialState(s scope, without rule) state {
	t, o := checkParams(without)
	until := checkLength
	if s.successorEnded {
		until = 0
	}
	w := state{
		scope:          s,
		successorEnded: s.successorEnded,
		holder:         NewHolder(t).WithClaim(at(0)),
		watch:          [2]Watch{NewWatch(t), NewWatch(o)},
		successorUntil: until,
		version:        2,
	}
	for i := range w.watch {
		w.watch[i] = w.watch[i].WithRow(at(0), at(0), position(1), 0).WithRow(at(0), at(0), position(2), 0)
	}
	return w
}

// actingHosts returns the hosts that may act as keeper under the lease.
func (w state) actingHosts() []string {
	var out []string
	if w.holder.Valid(at(w.now)) {
		out = append(out, "holder")
	}
	if w.successorValid() && (w.owner == bySuccessor || w.watch[0].Taken(at(w.now))) {
		out = append(out, "successor")
	}
	if w.owner == byOther || w.watch[1].Taken(at(w.now)) {
		out = append(out, "other")
	}
	return out
}

// successorValid reports whether the successor's own lease is valid.
func (w state) successorValid() bool { return !w.scope.roleMoves || w.now < w.successorUntil }

func (w state) withMessage(m message) (state, bool) {
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

// next returns the states that are reachable in one step.
func (w state) next(without rule) []state {
	var out []state
	add := func(n state, ok bool) {
		if ok {
			out = append(out, n)
		}
	}
	if w.now < checkHorizon {
		n := w
		n.now++
		add(n, true)
	}
	steps := []func(rule) (state, bool){
		w.holderRenews, w.holderRequestsPledge, w.holderEndsRegime, w.successorReads, w.successorEvicts, w.successorTakesOver,
	}
	if !w.scope.withoutOther && (!w.scope.roleMoves || w.adopted) {
		steps = append(steps, w.otherReads, w.otherEvicts)
	}
	if w.scope.delayedEviction {
		steps = append(steps, w.evictionCommits)
	}
	if w.scope.roleMoves {
		steps = append(steps, w.holderReadsSuccessor, w.successorRenews, w.successorLeaseEnds, w.otherAdopts, w.otherTakesOver)
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

func (w state) holderRenews(rule) (state, bool) {
	if w.holder.Mode() != Table || w.owner != byHolder {
		return w, false
	}
	w.version++
	return w.withMessage(message{kind: renewed, sent: at(w.now)})
}

func (w state) holderRequestsPledge(rule) (state, bool) {
	if w.holder.Mode() == Table && w.holder.regime >= w.scope.maxRegimes {
		return w, false
	}
	h, a, ok := w.holder.WithPledgeRequest(at(w.now))
	if !ok {
		return w, false
	}
	w.holder = h
	return w.withMessage(message{kind: pledgeRequest, toOther: w.requestsToOther, regime: a.Regime, sent: a.Sent})
}

func (w state) holderEndsRegime(without rule) (state, bool) {
	l, ok := w.holder.EndRegime()
	if !ok {
		return w, false
	}
	if without == regimeEndAcknowledged {
		w.holder.mode = Table
		return w, true
	}
	return w.withMessage(message{kind: endRegime, toOther: w.requestsToOther, regime: l.Regime})
}

func (w state) holderReadsSuccessor(rule) (state, bool) {
	ok := w.adopted && !w.requestsToOther
	w.requestsToOther = true
	return w, ok
}

func (w state) successorRenews(rule) (state, bool) {
	ok := !w.successorEnded
	w.successorUntil = w.now + checkLength
	return w, ok
}

func (w state) successorLeaseEnds(rule) (state, bool) {
	ok := !w.successorEnded && w.now >= w.successorUntil
	w.successorEnded = true
	return w, ok
}

func (w state) otherAdopts(rule) (state, bool) {
	if !w.successorEnded || w.adopted || w.owner != byHolder {
		return w, false
	}
	w.adopted = true
	w.version++
	w.watch[1] = w.watch[1].WithRow(at(w.now), at(w.now), position(w.version), 0)
	return w, true
}

func (w state) successorReads(rule) (state, bool) {
	w.watch[0] = w.watch[0].WithRow(at(w.now), at(w.now), position(w.version), 0)
	return w, w.owner == byHolder
}

func (w state) otherReads(rule) (state, bool) {
	w.watch[1] = w.watch[1].WithRow(at(w.now), at(w.now), position(w.version), 0)
	return w, w.owner == byHolder
}

func (w state) successorEvicts(without rule) (state, bool) {
	if !w.successorValid() || !w.watch[0].MayEvict(at(w.now), !w.adopted) || w.owner != byHolder {
		return w, false
	}
	w.evicting = w.watch[0].At().Version
	w.watch[0] = w.watch[0].WithEvicting(without != noPledgeWhileEvicting)
	if !w.scope.delayedEviction {
		return w.evictionCommits(without)
	}
	return w, true
}

func (w state) evictionCommits(rule) (state, bool) {
	if w.evicting == 0 || w.evicting != w.version || w.owner != byHolder {
		return w, false
	}
	w.version++
	w.owner = bySuccessor
	return w, true
}

func (w state) otherEvicts(rule) (state, bool) {
	v := w.watch[1]
	if !v.MayEvict(at(w.now), w.adopted) || v.At() != position(w.version) || w.owner != byHolder {
		return w, false
	}
	w.version++
	w.owner = byOther
	w.watch[1] = v.WithEnded()
	return w, true
}

func (w state) successorTakesOver(without rule) (state, bool) {
	if !w.successorValid() {
		return w, false
	}
	return w.takeOver(without, 0)
}

func (w state) otherTakesOver(without rule) (state, bool) { return w.takeOver(without, 1) }

func (w state) takeOver(without rule, i int) (state, bool) {
	v := w.watch[i]
	if without == pledgeExpires {
		v.pledgedUntil = time.Time{}
	}
	v, ok := v.WithTakeover(at(w.now))
	w.watch[i] = v.WithConfirmed()
	return w, ok
}

func (w state) receive(without rule, m message) (state, bool) {
	switch m.kind {
	case renewed:
		w.holder = w.holder.WithRenewal(m.sent)
	case pledgeRequest, endRegime:
		return w.respond(without, m)
	case pledge:
		if without == regimeNumbers {
			m.regime = w.holder.regime
		}
		if without == countFromSending {
			m.sent = at(w.now)
		}
		w.holder = w.holder.WithPledge(Pledge{Regime: m.regime, Sent: m.sent})
	case regimeEnded:
		if without == regimeNumbers {
			m.regime = w.holder.regime
		}
		w.holder = w.holder.WithRegimeEnded(RegimeEnded{Regime: m.regime})
	}
	return w, true
}

func (w state) respond(without rule, m message) (state, bool) {
	i := 0
	if m.toOther {
		i = 1
	}
	if i == 0 && m.kind == pledgeRequest && !w.successorValid() && without != pledgeWhileValid {
		return w, false
	}
	v := w.watch[i]
	var reply message
	var ok bool
	if m.kind == pledgeRequest {
		if without == regimeNumbers {
			v.endedRegime = 0
		}
		var p Pledge
		v, p, ok = v.WithPledge(at(w.now), PledgeRequest{Regime: m.regime, Sent: m.sent})
		reply = message{kind: pledge, regime: p.Regime, sent: p.Sent}
	} else {
		var l RegimeEnded
		v, l, ok = v.WithRegimeEnded(EndRegime{Regime: m.regime})
		reply = message{kind: regimeEnded, regime: l.Regime}
	}
	if !ok {
		return w, false
	}
	w.watch[i] = v
	return w.withMessage(reply)
}

// key is a compact form of a state that merges equivalent states: a version
// counts only as equal to the row's or not, and times are relative to now and
// bounded below where earlier ones make no difference.
type key [48]int8

func (w state) key() key {
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
	// after puts a time relative to now. All times below the bound are equivalent.
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
	after(w.holder.renewed, -checkMaxExtension)
	put(int8(max(w.successorUntil-w.now, 0)))
	put(int8(w.owner))
	flag(w.requestsToOther, w.successorEnded, w.adopted, w.evicting != 0, w.evicting == w.version)
	for _, v := range w.watch {
		flag(v.open, v.evicting, v.taken, v.ended, v.at == position(w.version))
		put(int8(v.regime))
		put(int8(v.endedRegime))
		after(v.firstSeen, -checkMaxExtension)
		after(v.readBegan, -checkMaxExtension)
		after(v.notBefore, -checkMaxExtension)
		after(v.pledgedUntil, 0)
		after(v.takenUntil, 0)
	}
	for _, m := range w.messages {
		put(int8(m.kind))
		flag(m.toOther)
		put(int8(m.regime))
		after(m.sent, -checkLength)
	}
	return k
}

// check explores the states breadth first. It describes the first one in which
// several hosts act, or returns "", and counts the states seen.
func check(s scope, without rule, states int) (string, int) {
	first := initialState(s, without)
	seen := map[key]struct{}{first.key(): {}}
	queue := []state{first}
	for len(queue) > 0 && len(seen) < states {
		w := queue[0]
		queue = queue[1:]
		if h := w.actingHosts(); len(h) > 1 {
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
	"pair":    {withoutOther: true, maxRegimes: 2},
	"three":   {maxRegimes: 1},
	"delayed": {withoutOther: true, delayedEviction: true, maxRegimes: 1},
	"adopted": {roleMoves: true, maxRegimes: 1},
	"ended":   {roleMoves: true, successorEnded: true, maxRegimes: 1},
}

func TestNoTwoHoldersInAnyInterleaving(t *testing.T) {
	for name, s := range checkScopes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, n := check(s, allRules, checkStates)
			if got != "" {
				t.Fatalf("got two hosts acting after %d states, want one at most: %s", n, got)
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
		{"end of the regime acknowledged", regimeEndAcknowledged, "pair"},
		{"regime numbers", regimeNumbers, "pair"},
		{"count from sending", countFromSending, "pair"},
		{"max extension bounds", maxExtensionBounds, "three"},
		{"others wait", othersWait, "three"},
		{"pledge expires", pledgeExpires, "pair"},
		{"pledge while valid", pledgeWhileValid, "ended"},
		{"no pledge while evicting", noPledgeWhileEvicting, "delayed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			got, n := check(checkScopes[c.scope], c.rule, checkStates)
			if got == "" {
				t.Fatalf("got one host at most in %d states, want two hosts acting without the rule", n)
			}
			t.Logf("found after %d states", n)
		})
	}
}

func position(version int64) eras.Position { return eras.Position{Era: 1, Version: version} }
