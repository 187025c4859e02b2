package soak

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// newTestLedger returns a ledger with three servers of service stock, one of
// care, and an acknowledged configuration.
func newTestLedger() (*Ledger, *Disturbances) {
	disturbances := NewDisturbances()
	l := NewLedger(PlatformBounds(), disturbances)
	l.Configure(epoch, 1, map[string]shares{"/a/": only("stock"), "/only-1/": only("stock")})
	l.Configured(epoch)
	for _, id := range []string{"s1", "s2", "s3"} {
		l.Start(Upstream{ID: id, Service: "stock", Domain: "north-a", Link: id}, time.Time{})
	}
	l.Start(Upstream{ID: "care1", Service: "care", Domain: "north-a", Link: "care1"}, time.Time{})
	return l, disturbances
}

// at returns the time that many seconds after epoch.
func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

// recordAttempt records an attempt on route /a/, sent at the time.
func recordAttempt(l *Ledger, id string, seconds float64, unsafe bool) Attempt {
	a := Attempt{
		ID: id, Host: "h", Incarnation: 1, Route: "/a/", Method: "GET", Target: "/a/x", Checksum: Checksum(nil), Unsafe: unsafe, Sent: at(seconds),
		Timeout: 2 * time.Second, EffectiveTimeout: 1500 * time.Millisecond,
	}
	l.Send(a)
	return a
}

// recordRun records that a server received the attempt, ran it and responded with success.
func recordRun(l *Ledger, id, server string, seconds float64) {
	l.Arrive(at(seconds), id, server, time.Second)
	l.Run(at(seconds), id, server, "GET", "/a/x", Checksum(nil))
	l.Finish(id, 200)
}

// passOn records a response of the server in which it announced that it leaves.
func passOn(l *Ledger, id, server string, seconds float64) {
	recordAttempt(l, id, seconds, false)
	l.Announce(id, server)
	recordRun(l, id, server, seconds)
	out := complete(id)
	out.Leaving = true
	l.Responded(at(seconds), id, out)
}

// passOnBeforeRetry records a response of the first server in which it announced that it leaves,
// which the host passed on after the second one had got the request too.
func passOnBeforeRetry(l *Ledger, first, second string) {
	recordAttempt(l, "q", 10, false)
	l.Announce("q", first)
	recordRun(l, "q", first, 10)
	l.Arrive(at(10), "q", second, time.Second)
	out := complete("q")
	out.Leaving = true
	l.Responded(at(10), "q", out)
}

// requestsInHoldOff records a hold-off of two seconds, and requests right after its grace
// as well as before and after the time that counts.
func requestsInHoldOff(l *Ledger, count int) {
	recordAttempt(l, "q", 10, false)
	l.Arrive(at(10), "q", "s1", time.Second)
	l.HoldOff(at(10.1), "q", "s1", 2*time.Second)
	times := []float64{10.2, 10.5, 12.2}
	for i := range count {
		times = append(times, 10.7+float64(i)*0.1)
	}
	for i, t := range times {
		id := fmt.Sprint("h", i)
		recordAttempt(l, id, t, false)
		recordRun(l, id, "s1", t)
	}
}

// splitRequests records requests on a route with two equal parts, of which one in 1/refused is
// refused and the first part runs the given share of all.
func splitRequests(l *Ledger, count int, refused, first float64) {
	l.Configure(at(5), 2, map[string]shares{"/a/": {"stock": 0.5, "care": 0.5}, "/only-2/": only("stock")})
	l.Configured(at(5))
	var refusals, firsts float64
	for i := range count {
		id, t := fmt.Sprint("p", i), 20+float64(i)/100
		recordAttempt(l, id, t, false)
		if refusals += refused; refusals >= 1 {
			refusals--
			l.Responded(at(t), id, Response{Status: 503})
			continue
		}
		server := "care1"
		if firsts += first / (1 - refused); firsts >= 1 {
			firsts--
			server = "s1"
		}
		recordRun(l, id, server, t)
		l.Responded(at(t), id, complete(id))
	}
	l.Close(at(30), at(30))
}

func complete(id string) Response {
	return Response{Status: 200, ID: id, Signed: true, Checksum: Checksum(Body(id))}
}

func TestInvariants(t *testing.T) {
	tests := []struct {
		name string
		want Invariant
		do   func(l *Ledger, disturbances *Disturbances)
	}{
		{"complete response", "", func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, true)
			recordRun(l, "r", "s1", 10)
			l.Responded(at(10.1), "r", complete("r"))
		}},
		{"shares kept", "", func(l *Ledger, _ *Disturbances) { splitRequests(l, 300, 0, 0.65) }},
		{"shares of refused requests", "", func(l *Ledger, _ *Disturbances) { splitRequests(l, 300, 0.5, 0) }},
		{"shares not kept", SharesKept, func(l *Ledger, _ *Disturbances) { splitRequests(l, 300, 0, 0.75) }},
		{"shares not kept beside refused requests", SharesKept, func(l *Ledger, _ *Disturbances) { splitRequests(l, 300, 0.2, 0.75) }},
		{"shares of an older configuration", "", func(l *Ledger, _ *Disturbances) { splitRequests(l, 199, 0, 1) }},
		{"shares at a host that isn't in touch", "", func(l *Ledger, disturbances *Disturbances) {
			disturbances.Disturb(at(10), partHost("h"))
			splitRequests(l, 300, 0, 1)
		}},
		{"harmless request refused like a fatal one", BystanderServed, func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, false)
			l.Responded(at(10.1), "r", Response{Status: 503, Suspect: true})
		}},
		{"response to another request", CompleteResponse, func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, false)
			recordRun(l, "r", "s1", 10)
			l.Responded(at(10.1), "r", complete("q"))
		}},
		{"unread request behind a closing response", "", func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, true)
			l.Unread(at(10.1), "r")
		}},
		{"request behind a closing response reached a server", NothingBehindClose, func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, false)
			recordRun(l, "r", "s1", 10)
			l.Unread(at(10.1), "r")
		}},
		{"request behind a closing response reaches a server later", NothingBehindClose, func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, false)
			l.Unread(at(10.1), "r")
			recordRun(l, "r", "s1", 10.2)
		}},
		{"truncated response", CompleteResponse, func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, false)
			recordRun(l, "r", "s1", 10)
			l.Responded(at(10.1), "r", Response{Status: 200, ID: "r", Signed: true, Checksum: 1})
		}},
		{"success that no server sent", CompleteResponse, func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, false)
			l.Responded(at(10.1), "r", complete("r"))
		}},
		{"changed request", OwnRequest, func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, false)
			l.Arrive(at(10), "r", "s1", time.Second)
			l.Run(at(10), "r", "s1", "GET", "/a/y", Checksum(nil))
		}},
		{"request that no caller sent", OwnRequest, func(l *Ledger, _ *Disturbances) { l.Arrive(at(10), "r", "s1", time.Second) }},
		{"unsafe request twice", AtMostOnce, func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, true)
			recordRun(l, "r", "s1", 10)
			recordRun(l, "r", "s2", 10.2)
		}},
		{"safe request twice", "", func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, false)
			recordRun(l, "r", "s1", 10)
			recordRun(l, "r", "s2", 10.2)
		}},
		{"refused, then run", RefusedNotRun, func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, true)
			l.Responded(at(10.1), "r", Response{Status: 503})
			recordRun(l, "r", "s1", 10.2)
		}},
		{"run, then refused", RefusedNotRun, func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, true)
			recordRun(l, "r", "s1", 10)
			l.Responded(at(10.1), "r", Response{Status: 503})
		}},
		{"run, then refused with status 408", RefusedNotRun, func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, true)
			recordRun(l, "r", "s1", 10)
			l.Responded(at(10.1), "r", Response{Status: 408})
		}},
		{"refused with status 421, then run", RefusedNotRun, func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, true)
			l.Responded(at(10.1), "r", Response{Status: 421})
			recordRun(l, "r", "s1", 10.2)
		}},
		{"run, then a refusal that breaks off", RefusedNotRun, func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, true)
			recordRun(l, "r", "s1", 10)
			l.Promised(at(10.1), "r", 503)
			l.ConnectionClosed(at(10.2), "r", "unexpected EOF")
		}},
		{"refusal that breaks off, then run", RefusedNotRun, func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, true)
			l.Promised(at(10.1), "r", 429)
			l.ConnectionClosed(at(10.2), "r", "unexpected EOF")
			recordRun(l, "r", "s1", 10.3)
		}},
		{"response that is no refusal and breaks off", "", func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, true)
			recordRun(l, "r", "s1", 10)
			l.Promised(at(10.1), "r", 502)
		}},
		{"service without the route", RightService, func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, false)
			recordRun(l, "r", "care1", 10)
		}},
		{"draining server, within the bound", "", func(l *Ledger, _ *Disturbances) {
			l.Leaving(at(10), "s1")
			recordAttempt(l, "r", 12, false)
			recordRun(l, "r", "s1", 12.4)
		}},
		{"draining server, past the bound", NoWorkAfterDrain, func(l *Ledger, _ *Disturbances) {
			l.Leaving(at(10), "s1")
			recordAttempt(l, "r", 12.5, false)
			recordRun(l, "r", "s1", 12.6)
		}},
		{"draining server, after a store outage", "", func(l *Ledger, disturbances *Disturbances) {
			disturbances.Disturb(at(8), partStore)(at(9))
			l.Leaving(at(10), "s1")
			recordAttempt(l, "r", 12.5, false)
			recordRun(l, "r", "s1", 12.6)
		}},
		{"server said that it leaves, within the bound", "", func(l *Ledger, _ *Disturbances) {
			passOn(l, "q", "s1", 10)
			recordAttempt(l, "r", 12.5, false)
			recordRun(l, "r", "s1", 12.9)
		}},
		{"server said that it leaves, while the store is down", NoWorkAfterNotice, func(l *Ledger, disturbances *Disturbances) {
			disturbances.Disturb(at(8), partStore)
			disturbances.Disturb(at(8), partHost("h"))
			passOn(l, "q", "s1", 10)
			recordAttempt(l, "r", 12.8, false)
			recordRun(l, "r", "s1", 12.9)
		}},
		{"server said that it leaves before another one was asked", NoWorkAfterNotice, func(l *Ledger, _ *Disturbances) {
			passOnBeforeRetry(l, "s1", "s2")
			recordAttempt(l, "r", 12.8, false)
			recordRun(l, "r", "s1", 12.9)
		}},
		{"another server said that it leaves", "", func(l *Ledger, _ *Disturbances) {
			passOnBeforeRetry(l, "s2", "s1")
			recordAttempt(l, "r", 12.8, false)
			recordRun(l, "r", "s1", 12.9)
		}},
		{"server said that it leaves, host paused since", "", func(l *Ledger, disturbances *Disturbances) {
			passOn(l, "q", "s1", 10)
			disturbances.Disturb(at(11), partProcess("h"))(at(12))
			recordAttempt(l, "r", 12.8, false)
			recordRun(l, "r", "s1", 12.9)
		}},
		{"server said that it leaves, to another host", "", func(l *Ledger, _ *Disturbances) {
			passOn(l, "q", "s1", 10)
			a := recordAttempt(l, "r", 12.8, false)
			a.Host = "other"
			l.Send(a)
			recordRun(l, "r", "s1", 12.9)
		}},
		{"two requests in a hold-off", "", func(l *Ledger, _ *Disturbances) { requestsInHoldOff(l, 2) }},
		{"three requests in a hold-off", HoldOffKept, func(l *Ledger, _ *Disturbances) { requestsInHoldOff(l, 3) }},
		{"requests in a hold-off whose response was not read", "", func(l *Ledger, _ *Disturbances) {
			requestsInHoldOff(l, 0)
			l.Cancelled(at(10), "q")
			l.HoldOff(at(10.2), "q", "s1", 3*time.Second)
			for i := range 3 {
				id := fmt.Sprint("r", i)
				recordAttempt(l, id, 11.2, false)
				recordRun(l, id, "s1", 11.2)
			}
		}},
		{"evacuated domain", NoWorkEvacuated, func(l *Ledger, _ *Disturbances) {
			l.Evacuated(at(10), "north-a")
			recordAttempt(l, "r", 15, false)
			recordRun(l, "r", "s1", 15.1)
		}},
		{"draining server, at a host that gets little of the processor", NoWorkAfterDrain, func(l *Ledger, disturbances *Disturbances) {
			l.Leaving(at(10), "s1")
			disturbances.Disturb(at(8), partSlow("h"))
			recordAttempt(l, "r", 12.4, false)
			recordRun(l, "r", "s1", 12.6)
		}},
		{"connection closed by a host that gets little of the processor", "", func(l *Ledger, disturbances *Disturbances) {
			disturbances.Disturb(at(8), partSlow("h"))
			recordAttempt(l, "r", 10, false)
			recordRun(l, "r", "s1", 10.1)
			l.ConnectionClosed(at(11), "r", "reset")
		}},
		{"superseded route", ConfigInForce, func(l *Ledger, _ *Disturbances) {
			l.Configure(at(10), 3, map[string]shares{"/a/": only("care")})
			l.Configured(at(10))
			recordAttempt(l, "r", 12.6, false)
			recordRun(l, "r", "s1", 12.6)
		}},
		{"superseded route after the new one", ConfigNeverReverts, func(l *Ledger, _ *Disturbances) {
			l.Configure(at(10), 3, map[string]shares{"/a/": only("care")})
			l.Configured(at(10))
			recordAttempt(l, "q", 10.5, false)
			recordRun(l, "q", "care1", 10.5)
			recordAttempt(l, "r", 10.8, false)
			recordRun(l, "r", "s1", 10.8)
		}},
		{"existing route not found", NoFalseError, func(l *Ledger, _ *Disturbances) {
			recordAttempt(l, "r", 10, false)
			l.Responded(at(10), "r", Response{Status: 404})
		}},
		{"connection closed at a planned stop", PlannedStopCutsNothing, func(l *Ledger, disturbances *Disturbances) {
			disturbances.Disturb(at(9), partPlanned("h"))
			recordAttempt(l, "r", 10, true)
			l.Arrive(at(10), "r", "s1", time.Second)
			l.ConnectionClosed(at(10.1), "r", "closed")
		}},
		{"closed before arrival at a planned stop", "", func(l *Ledger, disturbances *Disturbances) {
			disturbances.Disturb(at(9), partPlanned("h"))
			recordAttempt(l, "r", 10, true)
			l.ConnectionClosed(at(10.1), "r", "closed")
		}},
		{"connection closed by a kill", "", func(l *Ledger, disturbances *Disturbances) {
			recordAttempt(l, "r", 10, true)
			l.Arrive(at(10), "r", "s1", time.Second)
			disturbances.Disturb(at(10.05), partHost("h"))
			l.ConnectionClosed(at(10.1), "r", "closed")
		}},
	}
	for _, x := range tests {
		l, disturbances := newTestLedger()
		x.do(l, disturbances)
		var got Invariant
		if v := l.Violations(); len(v) > 0 {
			got = v[0].Invariant
		}
		if got != x.want {
			t.Errorf("%s: broken invariant %q, want %q", x.name, got, x.want)
		}
	}
}

func TestColdRateIsSummedOverHosts(t *testing.T) {
	l, _ := newTestLedger()
	l.Start(Upstream{ID: "cold", Service: "stock", Domain: "north-a", Link: "cold"}, at(20))
	for i := range 12 {
		id := string(rune('a' + i))
		recordAttempt(l, id, 10, false)
		recordRun(l, id, "cold", 10+float64(i)*0.08)
	}
	got := l.Violations()
	// The limit is 2.8 times 1.5 and 5 more, or 9.2, so that the tenth exceeds it.
	if len(got) == 0 || got[0].Invariant != ColdRate || got[0].Request != "j" {
		t.Errorf("violations = %v, want the tenth request to break %s", got, ColdRate)
	}
}

func TestRetryBudgetCountsRepeats(t *testing.T) {
	l, _ := newTestLedger()
	broken := 0
	for i := range 300 {
		id := string(rune(1000 + i))
		recordAttempt(l, id, 10, false)
		recordRun(l, id, "s1", 10)
		recordRun(l, id, "s2", 10.1)
		if len(l.Violations()) > 0 {
			broken = i + 1
			break
		}
	}
	// The n-th retry exceeds the budget when n > 0.2 n + 112.
	if broken != 141 {
		t.Errorf("retry budget broken by retry %d, want 141", broken)
	}
}

func TestLateResponsesAndRecovery(t *testing.T) {
	l, _ := newTestLedger()
	for i := range 10 {
		id := string(rune('a' + i))
		recordAttempt(l, id, 10, false)
		l.TimedOut(at(12.5), id)
	}
	l.Close(at(40), at(-10))
	var got []Invariant
	for _, v := range l.Violations() {
		got = append(got, v.Invariant)
	}
	if len(got) != 2 || got[0] != RespondedInTime || got[1] != Recovered {
		t.Errorf("broken invariants %v, want %s and %s", got, RespondedInTime, Recovered)
	}
}

// A running server that becomes cold, as after an evacuation, is checked like one that
// has started.
func TestColdRateOfRunningServer(t *testing.T) {
	l, _ := newTestLedger()
	l.Start(Upstream{ID: "warm", Service: "stock", Domain: "north-a", Link: "warm"}, time.Time{})
	for i := range 20 {
		id := string(rune('a' + i))
		recordAttempt(l, id, 10, false)
		recordRun(l, id, "warm", 10+float64(i)*0.04)
	}
	if got := l.Violations(); len(got) > 0 {
		t.Fatalf("violations = %v, want none for a warm server", got)
	}
	l.Cool("warm", at(20))
	for i := range 10 {
		id := string(rune('A' + i))
		recordAttempt(l, id, 12, false)
		recordRun(l, id, "warm", 12+float64(i)*0.08)
	}
	if got := l.Violations(); len(got) == 0 || got[0].Invariant != ColdRate || got[0].Request != "J" {
		t.Errorf("violations = %v, want the tenth request to break %s", got, ColdRate)
	}
}

// A fatal request may reach servers three times more later than the quiet period after it
// crashed the third, from hosts without a fault; those with one don't count.
func TestFatalRequestsAreCounted(t *testing.T) {
	l, disturbances := newTestLedger()
	send := func(id string, seconds float64) {
		a := recordAttempt(l, id, seconds, false)
		a.Target = "/a/x?fatal=1"
		l.Send(a)
		l.Arrive(at(seconds), id, "s1", time.Second)
	}
	for i := range 3 {
		send("crash"+string(rune('0'+i)), 10)
		l.Crashed(at(10), "/a/x?fatal=1")
	}
	send("early", 13.9)
	end := disturbances.Disturb(at(14), partHost("h"))
	end(at(16))
	send("disturbed", 17)
	for i := range 3 {
		send("allowed"+string(rune('0'+i)), 30)
	}
	if got := l.Violations(); len(got) != 0 {
		t.Errorf("violations = %v, want none", got)
	}
	send("fourth", 31)
	if got := l.Violations(); len(got) != 1 || got[0].Invariant != QueryRefused {
		t.Errorf("violations = %v, want one of %s", got, QueryRefused)
	}
}
