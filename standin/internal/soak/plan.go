package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	HostKill   Kind = "hostKill"
	HostPower  Kind = "hostsKill"
	HostStop   Kind = "hostStop"
	HostRoll   Kind = "hostsStop"
	HostPause  Kind = "hostPause"
	HostReload Kind = "hostReload"

	FrontDelay   Kind = "frontDelay"
	FrontReset   Kind = "frontReset"
	FrontCut     Kind = "frontCut"
	FrontSilence Kind = "frontSilence"

	HostStoreDelay   Kind = "hostStoreDelay"
	HostStoreReset   Kind = "hostStoreReset"
	HostStoreCut     Kind = "hostStoreCut"
	HostStoreSilence Kind = "hostStoreSilence"
	HostTurnedAway   Kind = "hostTurnedAway"

	ServerLinkDelay   Kind = "serverLinkDelay"
	ServerLinkReset   Kind = "serverLinkReset"
	ServerLinkCut     Kind = "serverLinkCut"
	ServerLinkSilence Kind = "serverLinkSilence"

	StoreDown   Kind = "storeDown"
	StoreSlow   Kind = "storeSlow"
	StoreLose   Kind = "storeLose"
	StoreLate   Kind = "storeLate"
	StoreForget Kind = "storeForget"

	ServerCrash   Kind = "serverCrash"
	ServerDrain   Kind = "serverDrain"
	ServerVanish  Kind = "serverVanish"
	ServerReplace Kind = "serverReplace"
	ServerAdd     Kind = "serverAdd"
	ServerSlow    Kind = "serverSlow"
	ServerFail    Kind = "serverFail"
	ServerLose    Kind = "serverLose"
	ServerGarble  Kind = "serverGarble"
	ServerForget  Kind = "serverForget"

	Configure Kind = "configure"
	Storm     Kind = "configureOften"
	Evacuate  Kind = "evacuate"
)

// kinds are all kinds of faults.
var kinds = []Kind{
	HostKill, HostPower, HostStop, HostRoll, HostPause, HostReload,
	FrontDelay, FrontReset, FrontCut, FrontSilence,
	HostStoreDelay, HostStoreReset, HostStoreCut, HostStoreSilence, HostTurnedAway,
	ServerLinkDelay, ServerLinkReset, ServerLinkCut, ServerLinkSilence,
	StoreDown, StoreSlow, StoreLose, StoreLate, StoreForget,
	ServerCrash, ServerDrain, ServerVanish, ServerReplace, ServerAdd, ServerSlow, ServerFail, ServerLose, ServerGarble, ServerForget,
	Configure, Configure, Storm, Evacuate,
}

// Event is a fault at its time.
type Event struct {
	At, For time.Duration
	Kind    Kind
	// Target chooses among the things that the kind concerns, Share tells how
	// many of them or how strong.
	Target uint32
	Share  float64
}

// Plan is a list of faults in the order of their times.
type Plan []Event

const (
	// faultGap is the mean time between two faults.
	faultGap = 700 * time.Millisecond
	// longestFault bounds how long a fault lasts.
	longestFault = 7 * time.Second
	// followShare of the faults strike the target of the one before, shortly after it.
	followShare = 0.35
	followGap   = 400 * time.Millisecond
)

// Draw returns the plan of the seed. All faults end before the length has passed.
func Draw(seed uint64, length time.Duration) Plan {
	r := rand.New(rand.NewPCG(seed, 1))
	var out Plan
	last := Event{}
	for range int(length / faultGap) {
		e := Event{
			At: time.Duration(r.Int64N(int64(length))), Kind: kinds[r.IntN(len(kinds))], Target: r.Uint32(), Share: r.Float64(),
			For: time.Duration(float64(longestFault) * r.Float64() * r.Float64()),
		}
		if r.Float64() < followShare {
			e.At, e.Target = last.At+time.Duration(r.Int64N(int64(followGap))), last.Target
		}
		e.At = min(e.At, length)
		e.For = min(e.For, length-e.At)
		out = append(out, e)
		last = e
	}
	slices.SortStableFunc(out, func(a, b Event) int { return int(a.At - b.At) })
	return out
}

// stack holds the faults of one thing that overlap.
type stack[T any] struct {
	next int
	held map[int]T
}

// push adds a fault and returns its number.
func (s *stack[T]) push(f T) int {
	if s.held == nil {
		s.held = make(map[int]T)
	}
	s.next++
	s.held[s.next] = f
	return s.next
}

// pop removes the fault of the number.
func (s *stack[T]) pop(n int) { delete(s.held, n) }

// merge joins the faults into one.
func (s *stack[T]) merge(join func(a, b T) T) T {
	var out T
	for _, f := range s.held {
		out = join(out, f)
	}
	return out
}
