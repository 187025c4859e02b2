package soak

import "time"

// Bounds are the figures of the invariants. The platform's owners state them.
type Bounds struct {
	// Contact is how long a host must have been undisturbed for bounds in time to hold.
	Contact time.Duration
	// Drain, Apply and Evacuate are the times after the store's acknowledgement
	// from which a leaving server, an older configuration and an evacuated
	// failure domain get no more requests.
	Drain, Apply, Evacuate time.Duration
	// Revert is the time after the effect of a configuration was seen at a host
	// from which the host may not act by an older one.
	Revert time.Duration
	// LossSlack is how long after a request was sent a connection may still end
	// because host and caller crossed.
	LossSlack time.Duration
	// Overtime is how much later than its caller's deadline a server may be told to stop.
	Overtime time.Duration
	// Late is how long after its route's time-out a request may be unanswered.
	Late time.Duration
	// Recovery is the time after the last fault from which hosts serve again.
	Recovery time.Duration
	// Gone is how long after its caller left a request may reach a server.
	Gone time.Duration
	// ColdRate is how many requests a second a server that warms up tolerates;
	// it may get ColdOverrun times as many and ColdSlack more.
	ColdRate, ColdOverrun, ColdSlack float64
	// RetryShare of a service's requests, and RetrySlack more, may be sent again
	// within RetryWindow.
	RetryShare, RetrySlack float64
	RetryWindow            time.Duration
	// Stop is the time between SIGTERM and SIGKILL.
	Stop time.Duration
	// Reuse is how long an address stays unused after its server ended.
	Reuse time.Duration
	// Heartbeat is the interval of the servers' records, which lapse after Lapse.
	Heartbeat, Lapse time.Duration
	// Few is the number of requests that may break a rule that allows some.
	Few int
}

// PlatformBounds are the figures of the users' platform.
func PlatformBounds() Bounds {
	return Bounds{
		Contact:     4 * time.Second,
		Drain:       2500 * time.Millisecond,
		Apply:       2500 * time.Millisecond,
		Evacuate:    5 * time.Second,
		Revert:      250 * time.Millisecond,
		LossSlack:   200 * time.Millisecond,
		Overtime:    500 * time.Millisecond,
		Late:        500 * time.Millisecond,
		Recovery:    15 * time.Second,
		Gone:        500 * time.Millisecond,
		ColdRate:    2.8,
		ColdOverrun: 1.5,
		ColdSlack:   5,
		RetryShare:  0.2,
		RetrySlack:  112,
		RetryWindow: 10 * time.Second,
		Stop:        6 * time.Second,
		Reuse:       2 * time.Second,
		Heartbeat:   1500 * time.Millisecond,
		Lapse:       4500 * time.Millisecond,
		Few:         3,
	}
}

// Invariant names what must hold at all times.
type Invariant string

// Invariants, as callers and upstream servers see them.
const (
	// WholeAnswer: a caller gets the whole answer to its own request.
	WholeAnswer Invariant = "wholeAnswer"
	// OwnRequest: servers run what callers sent, unchanged.
	OwnRequest Invariant = "ownRequest"
	// AtMostOnce: unsafe work runs at most once.
	AtMostOnce Invariant = "atMostOnce"
	// RefusedNotRun: what was refused as not run never runs.
	RefusedNotRun Invariant = "refusedNotRun"
	// RightService: only services run a request to which a
	// configuration sends it.
	RightService Invariant = "rightService"
	// NoWorkAfterDrain: leaving servers get nothing new.
	NoWorkAfterDrain Invariant = "noWorkAfterDrain"
	// NoWorkEvacuated: evacuated failure domains get nothing.
	NoWorkEvacuated Invariant = "noWorkEvacuated"
	// ConfigInForce: configurations are in force in time.
	ConfigInForce Invariant = "configInForce"
	// ConfigNeverReverts: a host never goes back to an older one.
	ConfigNeverReverts Invariant = "configNeverReverts"
	// PlannedStopCutsNothing: requests around planned stops are answered.
	PlannedStopCutsNothing Invariant = "plannedStopCutsNothing"
	// NothingCut: undisturbed hosts close no connection on a request.
	NothingCut Invariant = "nothingCut"
	// ColdRate: servers which warm up get few requests.
	ColdRate Invariant = "coldRate"
	// RetryBudget: little is sent again.
	RetryBudget Invariant = "retryBudget"
	// Attempts: a request runs on at most the route's number of attempts.
	Attempts Invariant = "attempts"
	// DeadlineKept: servers are given no more time than callers have.
	DeadlineKept Invariant = "deadlineKept"
	// AnsweredInTime: a request has its final answer at the route's time-out.
	AnsweredInTime Invariant = "answeredInTime"
	// GoneCaller: nothing is sent on for a caller that left.
	GoneCaller Invariant = "goneCaller"
	// LiveHosts: look-ups name no dead hosts.
	LiveHosts Invariant = "liveHosts"
	// NoFalseError: no proper request is answered with a 4xx.
	NoFalseError Invariant = "noFalseError"
	// Recovered: hosts serve again after the faults.
	Recovered Invariant = "recovered"
)
