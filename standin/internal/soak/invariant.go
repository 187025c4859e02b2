package soak

import "time"

// Bounds are the limits that the invariants are checked against, as the
// platform's owners state them.
type Bounds struct {
	// QuietPeriod is how long a host and the store must have been without a fault
	// before time bounds apply to the host.
	QuietPeriod time.Duration
	// Drain, Apply and Evacuate are the times after the store's acknowledgement
	// within which a draining server gets its last request, a new configuration
	// replaces the older one, and an evacuated failure domain gets its last request.
	Drain, Apply, Evacuate time.Duration
	// Revert is the time after the first effect of a configuration at a host from
	// which the host must not apply an older one.
	Revert time.Duration
	// LossSlack is how long after a request was sent its connection may still be
	// closed before the request reached a server: the host may have closed it just before.
	LossSlack time.Duration
	// DeadlineSlack is how much later than the caller's deadline the one sent to a server may be.
	DeadlineSlack time.Duration
	// TimeoutSlack is how long after its route's timeout a request may still have no response.
	TimeoutSlack time.Duration
	// Recovery is the time after the last fault from which hosts must serve again.
	Recovery time.Duration
	// CancelGrace is how long after its caller cancelled it a request may still reach a server.
	CancelGrace time.Duration
	// WarmUpRate is the number of requests a second that a server in warm-up can
	// handle. It may get WarmUpOverrun times as many and WarmUpSlack more.
	WarmUpRate, WarmUpOverrun, WarmUpSlack float64
	// RetryShare of a service's requests and RetrySlack more may be retried
	// within RetryWindow.
	RetryShare, RetrySlack float64
	RetryWindow            time.Duration
	// ShareSlack is how far the share of a route's service may be off in ShareWindow requests.
	ShareWindow int
	ShareSlack  float64
	// StopTimeout is the time from SIGTERM to SIGKILL.
	StopTimeout time.Duration
	// Reuse is the minimum time from the end of a server to the reuse of its address.
	Reuse time.Duration
	// Heartbeat is the interval at which servers renew their records, which
	// expire after RecordTTL.
	Heartbeat, RecordTTL time.Duration
	// HoldOffRequests is the number of requests that may reach a server in a time in which it
	// wants none, from HoldOffGrace after its response on.
	HoldOffRequests int
	HoldOffGrace    time.Duration
	// FatalRetries is the number of times that a request may reach servers after it crashed
	// the third one.
	FatalRetries int
	// MaxExceptions is the number of requests that may break an invariant that allows exceptions.
	MaxExceptions int
}

// PlatformBounds returns the bounds of the users' platform.
func PlatformBounds() Bounds {
	return Bounds{
		QuietPeriod:     4 * time.Second,
		Drain:           2500 * time.Millisecond,
		Apply:           2500 * time.Millisecond,
		Evacuate:        5 * time.Second,
		Revert:          250 * time.Millisecond,
		LossSlack:       200 * time.Millisecond,
		DeadlineSlack:   500 * time.Millisecond,
		TimeoutSlack:    500 * time.Millisecond,
		Recovery:        15 * time.Second,
		CancelGrace:     500 * time.Millisecond,
		WarmUpRate:      2.8,
		WarmUpOverrun:   1.5,
		WarmUpSlack:     5,
		RetryShare:      0.2,
		RetrySlack:      112,
		RetryWindow:     10 * time.Second,
		ShareWindow:     200,
		ShareSlack:      0.2,
		StopTimeout:     6 * time.Second,
		Reuse:           2 * time.Second,
		Heartbeat:       1500 * time.Millisecond,
		RecordTTL:       4500 * time.Millisecond,
		HoldOffRequests: 2,
		HoldOffGrace:    500 * time.Millisecond,
		FatalRetries:    3,
		MaxExceptions:   3,
	}
}

// Invariant is the name of a property that must hold at all times.
type Invariant string

// Invariants on what callers and upstream servers observe.
const (
	// CompleteResponse: a caller gets the complete response to its own request.
	CompleteResponse Invariant = "wholeAnswer"
	// OwnRequest: servers run only requests that callers sent, unchanged.
	OwnRequest Invariant = "ownRequest"
	// AtMostOnce: a non-idempotent request runs at most once.
	AtMostOnce Invariant = "atMostOnce"
	// RefusedNotRun: a non-idempotent request that was refused neither has run nor runs later.
	RefusedNotRun Invariant = "refusedNotRun"
	// SharesKept: in Bounds.ShareWindow requests on a route while a configuration is in force, a
	// service's share is off by at most Bounds.ShareSlack, whatever became of those that ran nowhere.
	SharesKept Invariant = "sharesKept"
	// RightService: a request runs only on a service to which a
	// configuration routes it.
	RightService Invariant = "rightService"
	// NoWorkAfterDrain: draining and removed servers get no new requests after Bounds.Drain.
	NoWorkAfterDrain Invariant = "noWorkAfterDrain"
	// NoWorkAfterNotice: a server gets no new requests of a host later than Bounds.Drain after
	// the host passed a response on in which the server announced that it leaves. Only
	// a restart or a pause of the host excuses it.
	NoWorkAfterNotice Invariant = "noWorkAfterNotice"
	// HoldOffKept: a server that answers 503 with a time gets at most Bounds.HoldOffRequests of
	// the host between Bounds.HoldOffGrace after it and the end of that time.
	HoldOffKept Invariant = "holdOffKept"
	// NoWorkEvacuated: evacuated failure domains get no requests after Bounds.Evacuate.
	NoWorkEvacuated Invariant = "noWorkEvacuated"
	// ConfigInForce: configurations are in force within Bounds.Apply.
	ConfigInForce Invariant = "configInForce"
	// ConfigNeverReverts: a host never returns to an older configuration.
	ConfigNeverReverts Invariant = "configNeverReverts"
	// PlannedStopCutsNothing: requests around planned stops and reloads get a complete response.
	PlannedStopCutsNothing Invariant = "plannedStopCutsNothing"
	// NoConnectionClosed: hosts without a fault close no connection before the response is complete.
	NoConnectionClosed Invariant = "nothingCut"
	// NothingBehindClose: requests behind a response that closes the connection reach
	// no server.
	NothingBehindClose Invariant = "nothingBehindClose"
	// ColdRate: the rate of requests to a server in warm-up is limited.
	ColdRate Invariant = "coldRate"
	// RetryBudget: the retries of a service's requests stay within a budget.
	RetryBudget Invariant = "retryBudget"
	// Attempts: a request runs at most as often as its route allows attempts.
	Attempts Invariant = "attempts"
	// DeadlineKept: deadlines sent to servers aren't later than those of the callers.
	DeadlineKept Invariant = "deadlineKept"
	// RespondedInTime: a request gets its final response by the route's timeout.
	RespondedInTime Invariant = "answeredInTime"
	// CancelledCaller: cancelled requests aren't forwarded to servers.
	CancelledCaller Invariant = "goneCaller"
	// LiveHosts: lookups return no crashed or stopped hosts.
	LiveHosts Invariant = "liveHosts"
	// NoFalseError: hosts respond to no valid request with a 4xx other than a refusal.
	NoFalseError Invariant = "noFalseError"
	// QueryRefused: a request that crashed three servers reaches servers at most
	// Bounds.FatalRetries times more from hosts without a fault, later than Bounds.QuietPeriod after
	// the third crash.
	QueryRefused Invariant = "queryRefused"
	// BystanderServed: requests that crash no server are not refused as if they did.
	BystanderServed Invariant = "bystanderServed"
	// HostsRun: processes of hosts end only by a signal.
	HostsRun Invariant = "hostsRun"
	// Recovered: hosts serve requests again after the faults.
	Recovered Invariant = "recovered"
)
