package soak

import (
	"testing"
	"time"
)

var began = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// book is a ledger with one server and one configuration in force.
func book() (*Ledger, *Calm) {
	calm := NewCalm()
	l := NewLedger(PlatformBounds(), calm)
	l.Configure(began, 1, map[string]string{"/a/": "stock", "/only-1/": "stock"})
	l.Configured(began)
	for _, id := range []string{"s1", "s2", "s3"} {
		l.Start(Upstream{ID: id, Service: "stock", Domain: "north-a", Link: id}, time.Time{})
	}
	l.Start(Upstream{ID: "care1", Service: "care", Domain: "north-a", Link: "care1"}, time.Time{})
	return l, calm
}

// at returns a time of the test.
func at(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }

// sent records an attempt on route /a/ at the time.
func sent(l *Ledger, id string, seconds float64, unsafe bool) Attempt {
	a := Attempt{
		ID: id, Host: "h", Life: 1, Route: "/a/", Method: "GET", Target: "/a/x", Sum: Sum(nil), Unsafe: unsafe, Sent: at(seconds),
		Patience: 2 * time.Second, Limit: 1500 * time.Millisecond,
	}
	l.Send(a)
	return a
}

// ran lets a server get, run and answer the attempt.
func ran(l *Ledger, id, server string, seconds float64) {
	l.Arrive(at(seconds), id, server, time.Second)
	l.Run(at(seconds), id, server, "GET", "/a/x", Sum(nil))
	l.Finish(id, 200)
}

func whole(id string) Answer { return Answer{Status: 200, ID: id, Signed: true, Sum: Sum(Body(id))} }

func TestInvariants(t *testing.T) {
	tests := []struct {
		name string
		want Invariant
		do   func(l *Ledger, calm *Calm)
	}{
		{"whole answer", "", func(l *Ledger, _ *Calm) {
			sent(l, "r", 10, true)
			ran(l, "r", "s1", 10)
			l.Answered(at(10.1), "r", whole("r"))
		}},
		{"answer to another request", WholeAnswer, func(l *Ledger, _ *Calm) {
			sent(l, "r", 10, false)
			ran(l, "r", "s1", 10)
			l.Answered(at(10.1), "r", whole("q"))
		}},
		{"half an answer", WholeAnswer, func(l *Ledger, _ *Calm) {
			sent(l, "r", 10, false)
			ran(l, "r", "s1", 10)
			l.Answered(at(10.1), "r", Answer{Status: 200, ID: "r", Signed: true, Sum: 1})
		}},
		{"success that no server made", WholeAnswer, func(l *Ledger, _ *Calm) {
			sent(l, "r", 10, false)
			l.Answered(at(10.1), "r", whole("r"))
		}},
		{"changed request", OwnRequest, func(l *Ledger, _ *Calm) {
			sent(l, "r", 10, false)
			l.Arrive(at(10), "r", "s1", time.Second)
			l.Run(at(10), "r", "s1", "GET", "/a/y", Sum(nil))
		}},
		{"request that nobody sent", OwnRequest, func(l *Ledger, _ *Calm) { l.Arrive(at(10), "r", "s1", time.Second) }},
		{"unsafe request twice", AtMostOnce, func(l *Ledger, _ *Calm) {
			sent(l, "r", 10, true)
			ran(l, "r", "s1", 10)
			ran(l, "r", "s2", 10.2)
		}},
		{"safe request twice", "", func(l *Ledger, _ *Calm) {
			sent(l, "r", 10, false)
			ran(l, "r", "s1", 10)
			ran(l, "r", "s2", 10.2)
		}},
		{"refused, then run", RefusedNotRun, func(l *Ledger, _ *Calm) {
			sent(l, "r", 10, true)
			l.Answered(at(10.1), "r", Answer{Status: 503})
			ran(l, "r", "s1", 10.2)
		}},
		{"run, then refused", RefusedNotRun, func(l *Ledger, _ *Calm) {
			sent(l, "r", 10, true)
			ran(l, "r", "s1", 10)
			l.Answered(at(10.1), "r", Answer{Status: 503})
		}},
		{"service without the route", RightService, func(l *Ledger, _ *Calm) {
			sent(l, "r", 10, false)
			ran(l, "r", "care1", 10)
		}},
		{"leaving server, in time", "", func(l *Ledger, _ *Calm) {
			l.Leaving(at(10), "s1")
			sent(l, "r", 12, false)
			ran(l, "r", "s1", 12.4)
		}},
		{"leaving server, too late", NoWorkAfterDrain, func(l *Ledger, _ *Calm) {
			l.Leaving(at(10), "s1")
			sent(l, "r", 12.5, false)
			ran(l, "r", "s1", 12.6)
		}},
		{"leaving server, store was down", "", func(l *Ledger, calm *Calm) {
			calm.Disturb(at(8), partStore)(at(9))
			l.Leaving(at(10), "s1")
			sent(l, "r", 12.5, false)
			ran(l, "r", "s1", 12.6)
		}},
		{"evacuated domain", NoWorkEvacuated, func(l *Ledger, _ *Calm) {
			l.Evacuated(at(10), "north-a")
			sent(l, "r", 15, false)
			ran(l, "r", "s1", 15.1)
		}},
		{"old route", ConfigInForce, func(l *Ledger, _ *Calm) {
			l.Configure(at(10), 3, map[string]string{"/a/": "care"})
			l.Configured(at(10))
			sent(l, "r", 12.6, false)
			ran(l, "r", "s1", 12.6)
		}},
		{"old route after the new one", ConfigNeverReverts, func(l *Ledger, _ *Calm) {
			l.Configure(at(10), 3, map[string]string{"/a/": "care"})
			l.Configured(at(10))
			sent(l, "q", 10.5, false)
			ran(l, "q", "care1", 10.5)
			sent(l, "r", 10.8, false)
			ran(l, "r", "s1", 10.8)
		}},
		{"known route denied", NoFalseError, func(l *Ledger, _ *Calm) {
			sent(l, "r", 10, false)
			l.Answered(at(10), "r", Answer{Status: 404})
		}},
		{"cut at a planned stop", PlannedStopCutsNothing, func(l *Ledger, calm *Calm) {
			calm.Disturb(at(9), partPlanned("h"))
			sent(l, "r", 10, true)
			l.Arrive(at(10), "r", "s1", time.Second)
			l.Cut(at(10.1), "r", "closed")
		}},
		{"crossed at a planned stop", "", func(l *Ledger, calm *Calm) {
			calm.Disturb(at(9), partPlanned("h"))
			sent(l, "r", 10, true)
			l.Cut(at(10.1), "r", "closed")
		}},
		{"cut when killed", "", func(l *Ledger, calm *Calm) {
			sent(l, "r", 10, true)
			l.Arrive(at(10), "r", "s1", time.Second)
			calm.Disturb(at(10.05), partHost("h"))
			l.Cut(at(10.1), "r", "closed")
		}},
	}
	for _, x := range tests {
		l, calm := book()
		x.do(l, calm)
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
	l, _ := book()
	l.Start(Upstream{ID: "cold", Service: "stock", Domain: "north-a", Link: "cold"}, at(20))
	for i := range 12 {
		id := string(rune('a' + i))
		sent(l, id, 10, false)
		ran(l, id, "cold", 10+float64(i)*0.08)
	}
	got := l.Violations()
	// 2.8 times 1.5 and 5 more are tolerated, so that the tenth is too much.
	if len(got) == 0 || got[0].Invariant != ColdRate || got[0].Request != "j" {
		t.Errorf("violations = %v, want the tenth request to break %s", got, ColdRate)
	}
}

func TestRetryBudgetCountsRepeats(t *testing.T) {
	l, _ := book()
	broken := 0
	for i := range 300 {
		id := string(rune(1000 + i))
		sent(l, id, 10, false)
		ran(l, id, "s1", 10)
		ran(l, id, "s2", 10.1)
		if len(l.Violations()) > 0 {
			broken = i + 1
			break
		}
	}
	// The n-th repeat is too much when n > 0.2 n + 112.
	if broken != 141 {
		t.Errorf("broken by repeat %d, want 141", broken)
	}
}

func TestLateAnswersAndRecovery(t *testing.T) {
	l, _ := book()
	for i := range 10 {
		id := string(rune('a' + i))
		sent(l, id, 10, false)
		l.Unanswered(at(12.5), id)
	}
	l.Close(at(40), at(-10))
	var got []Invariant
	for _, v := range l.Violations() {
		got = append(got, v.Invariant)
	}
	if len(got) != 2 || got[0] != AnsweredInTime || got[1] != Recovered {
		t.Errorf("broken invariants %v, want %s and %s", got, AnsweredInTime, Recovered)
	}
}
