package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault, or of a planned change that the system must handle.
type Kind string

// Kinds of faults.
const (
	// Processes of hosts: SIGKILL to one or to several at once, SIGTERM to one
	// or to several in turn, SIGSTOP and SIGCONT, SIGHUP.
	HostKill   Kind = "hostKill"
	HostsKill  Kind = "hostsKill"
	HostStop   Kind = "hostStop"
	HostsStop  Kind = "hostsStop"
	HostPause  Kind = "hostPause"
	HostReload Kind = "hostReload"
	// HostStarve lets a host run in short turns only.
	HostStarve Kind = "hostStarve"

	// Links between callers and one host.
	FrontDelay   Kind = "frontDelay"
	FrontReset   Kind = "frontReset"
	FrontCut     Kind = "frontCut"
	FrontSilence Kind = "frontSilence"

	// Links between one host and the store. HostRefused makes the store refuse
	// the host's requests.
	HostStoreDelay   Kind = "hostStoreDelay"
	HostStoreReset   Kind = "hostStoreReset"
	HostStoreCut     Kind = "hostStoreCut"
	HostStoreSilence Kind = "hostStoreSilence"
	HostRefused      Kind = "hostTurnedAway"

	// Links between hosts and one server.
	ServerLinkDelay   Kind = "serverLinkDelay"
	ServerLinkReset   Kind = "serverLinkReset"
	ServerLinkCut     Kind = "serverLinkCut"
	ServerLinkSilence Kind = "serverLinkSilence"

	// The store: outage, slow responses, commits whose response is lost, the same with
	// commits that take effect late, and compacted history.
	StoreDown    Kind = "storeDown"
	StoreSlow    Kind = "storeSlow"
	StoreLose    Kind = "storeLose"
	StoreLate    Kind = "storeLate"
	StoreCompact Kind = "storeForget"
	// StoreRestore makes a copy of the store, to which the store goes back later.
	StoreRestore Kind = "storeRestore"

	// Servers. ServerVanish removes a record without a drain, ServerReplace swaps
	// the addresses of two servers, ServerLose and ServerGarble lose or corrupt
	// responses, ServerForget closes idle connections.
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
	// ServerHoldOff refuses requests with a time in which none should follow, ServerRepeat
	// refuses some and repeats the refusal before the next response of the connection, and
	// ServerUnavailable runs requests and responds with the status of a refusal, without a proof.
	ServerHoldOff     Kind = "serverHoldOff"
	ServerRepeat      Kind = "serverRepeat"
	ServerUnavailable Kind = "serverUnavailable"
	// OddRecord is a record of another writer among those of the servers.
	OddRecord Kind = "oddRecord"

	// Changes by the operator. Storm is a fast series of configurations.
	Configure Kind = "configure"
	Storm     Kind = "configureOften"
	Evacuate  Kind = "evacuate"

	// QueryOfDeath is a request that crashes each server that runs it and that is repeated
	// at any host.
	QueryOfDeath Kind = "queryOfDeath"
)

// kinds are the kinds of faults that are drawn alike.
var kinds = []Kind{
	HostKill, HostsKill, HostStop, HostsStop, HostPause, HostReload,
	FrontDelay, FrontReset, FrontCut, FrontSilence,
	HostStoreDelay, HostStoreReset, HostStoreCut, HostStoreSilence, HostRefused,
	ServerLinkDelay, ServerLinkReset, ServerLinkCut, ServerLinkSilence,
	StoreDown, StoreSlow, StoreLose, StoreLate, StoreCompact,
	ServerCrash, ServerDrain, ServerVanish, ServerReplace, ServerAdd, ServerSlow, ServerFail, ServerLose, ServerGarble, ServerForget,
	Configure, Configure, Storm, Evacuate,
}

// Event is a fault with its start and duration.
type Event struct {
	At, For time.Duration
	Kind    Kind
	// Target selects the hosts, links, servers or failure domain that the fault
	// concerns. Share, from 0 to 1, is how many of them or how strong it is.
	Target uint32
	Share  float64
}

// Plan is a list of faults, ordered by start time.
type Plan []Event

const (
	// meanFaultGap is the mean time between two faults.
	meanFaultGap = 700 * time.Millisecond
	// maxFaultDuration bounds how long a fault lasts.
	maxFaultDuration = 7 * time.Second
	// followShare is the share of faults that have the same target as the one
	// drawn before and start within maxFollowDelay after its start.
	followShare    = 0.35
	maxFollowDelay = 400 * time.Millisecond
)

// Draw returns the plan of the seed. The planned end of all faults is within the length.
func Draw(seed uint64, length time.Duration) Plan {
	r := rand.New(rand.NewPCG(seed, 1))
	var out Plan
	last := Event{}
	for range int(length / meanFaultGap) {
		e := Event{
			At: time.Duration(r.Int64N(int64(length))), Kind: kinds[r.IntN(len(kinds))], Target: r.Uint32(), Share: r.Float64(),
			For: time.Duration(float64(maxFaultDuration) * r.Float64() * r.Float64()),
		}
		if r.Float64() < followShare {
			e.At, e.Target = last.At+time.Duration(r.Int64N(int64(maxFollowDelay))), last.Target
		}
		e.At = min(e.At, length)
		e.For = min(e.For, length-e.At)
		out = append(out, e)
		last = e
	}
	out = append(out, drawQueryOfDeath(seed, length))
	out = append(out, drawRestores(seed, length)...)
	out = append(out, drawRefusals(seed, length)...)
	out = append(out, drawStarved(seed, length)...)
	slices.SortStableFunc(out, func(a, b Event) int { return int(a.At - b.At) })
	return out
}

// drawQueryOfDeath returns a query of death that lasts for at least half of the length. It has
// random numbers of its own, so that the plans of seeds stay as they were without it.
func drawQueryOfDeath(seed uint64, length time.Duration) Event {
	r := rand.New(rand.NewPCG(seed, 2))
	e := Event{At: time.Duration(r.Int64N(int64(length/2) + 1)), Kind: QueryOfDeath, Target: r.Uint32(), Share: r.Float64()}
	e.For = length - e.At
	return e
}

// Duration from a copy of the store to the outage after which it is back.
const (
	minCopyAge = time.Second
	maxCopyAge = 9 * time.Second
)

// drawRestores returns one restore of the store from a copy, or two that follow each other.
// It has random numbers of its own, as [drawQueryOfDeath].
func drawRestores(seed uint64, length time.Duration) []Event {
	r := rand.New(rand.NewPCG(seed, 3))
	n := 1 + r.IntN(2)
	var out []Event
	for i := range n {
		part := length / time.Duration(n)
		age := min(minCopyAge+time.Duration(r.Int64N(int64(maxCopyAge-minCopyAge))), part/2)
		begin := time.Duration(i)*part + time.Duration(r.Int64N(int64(part-age)+1))
		out = append(out, Event{At: begin, For: age, Kind: StoreRestore, Target: r.Uint32(), Share: r.Float64()})
	}
	return out
}

// drawRefusals returns a fault of each kind in which servers refuse requests, and two odd
// records. It has random numbers of its own, as [drawQueryOfDeath].
func drawRefusals(seed uint64, length time.Duration) []Event {
	r := rand.New(rand.NewPCG(seed, 4))
	var out []Event
	for _, k := range []Kind{ServerHoldOff, ServerRepeat, ServerUnavailable, OddRecord, OddRecord} {
		e := Event{At: time.Duration(r.Int64N(int64(length))), Kind: k, Target: r.Uint32(), Share: r.Float64()}
		e.For = min(length-e.At, time.Second+time.Duration(r.Int64N(int64(maxFaultDuration))))
		out = append(out, e)
	}
	return out
}

// drawStarved returns hosts that get little of the processor, for long enough to lose touch.
// It has random numbers of its own, as [drawQueryOfDeath].
func drawStarved(seed uint64, length time.Duration) []Event {
	r := rand.New(rand.NewPCG(seed, 5))
	var out []Event
	for range 3 {
		e := Event{At: time.Duration(r.Int64N(int64(length))), Kind: HostStarve, Target: r.Uint32(), Share: r.Float64()}
		e.For = min(length-e.At, 3*time.Second+time.Duration(r.Int64N(int64(maxFaultDuration))))
		out = append(out, e)
	}
	return out
}

// activeFaults holds the faults that are active at one link, server or store.
type activeFaults[T any] struct {
	next   int
	faults map[int]T
}

// add adds a fault and returns a number to remove it by.
func (s *activeFaults[T]) add(f T) int {
	if s.faults == nil {
		s.faults = make(map[int]T)
	}
	s.next++
	s.faults[s.next] = f
	return s.next
}

// remove removes the fault with the number.
func (s *activeFaults[T]) remove(n int) { delete(s.faults, n) }

// merge combines the active faults into one. It is the zero value without any.
func (s *activeFaults[T]) merge(join func(a, b T) T) T {
	var out T
	for _, f := range s.faults {
		out = join(out, f)
	}
	return out
}
