package budget

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// openLender returns a lender and the time from which it lends.
func openLender(limit, floor Requests) (*Lender[Requests], time.Time) {
	l := NewLender[Requests](start)
	l.Configure(start, limit, floor)
	return l, l.LendsFrom()
}

func TestReorderedRequestKeepsGrants(t *testing.T) {
	l, now := openLender(100, 0)
	l.Grant(now, "a", ShareRequest[Requests]{Sequence: 1, Want: 100})
	l.Grant(now.Add(RenewInterval), "a", ShareRequest[Requests]{Sequence: 2, Applied: 1, Want: 1})
	if _, ok := l.Grant(now.Add(2*RenewInterval), "a", ShareRequest[Requests]{Sequence: 1}); ok {
		t.Error("got a grant for share request 1 after share request 2, want none")
	}
	// The process may still spend by grant 1 until it expires.
	if got, want := l.Lent(now.Add(grantRetention-1)), Requests(100); got != want {
		t.Errorf("got %d lent, want %d", got, want)
	}
}

func TestGrantValidityCountsFromItsRequest(t *testing.T) {
	b := NewBucket[Requests](start, 0)
	sent := start.Add(10 * Window)
	a := b.NextRequest(sent, 5)
	late := sent.Add(GrantValidity - time.Millisecond)
	if !b.Apply(late, Grant[Requests]{Sequence: a.Sequence, Share: 5}) {
		t.Fatal("got a grant ignored just before its expiry, want it applied")
	}
	if !b.Spend(late, 1) {
		t.Error("got a spend refused just before the expiry of the grant, want it accepted")
	}
	if b.Spend(sent.Add(GrantValidity), 1) {
		t.Error("got a spend accepted at the expiry of the grant, want it refused")
	}
}

func TestExpiredGrantIsIgnored(t *testing.T) {
	b := NewBucket[Requests](start, 0)
	a := b.NextRequest(start, 5)
	if b.Apply(start.Add(GrantValidity), Grant[Requests]{Sequence: a.Sequence, Share: 5}) {
		t.Error("got an expired grant applied, want it ignored")
	}
}

func TestReleasedLenderGrantsNothing(t *testing.T) {
	l, now := openLender(100, 0)
	l.Release(now)
	if _, ok := l.Grant(now, "a", ShareRequest[Requests]{Sequence: 1, Want: 10}); ok {
		t.Error("got a grant after the release, want none")
	}
}

func TestNewKeeperLendsFreeShareAtOnce(t *testing.T) {
	l, now := openLender(100, 20)
	l.Grant(now, "a", ShareRequest[Requests]{Sequence: 1, Want: 30})
	lent := l.Lent(now)
	n := ResumeLender(now, l.Release(now))
	n.Configure(now, 100, 20)
	g, ok := n.Grant(now, "b", ShareRequest[Requests]{Sequence: 1, Want: 80})
	if got, want := g.Share, 80-lent; !ok || got != want {
		t.Errorf("got %d lent after the handover, want %d", got, want)
	}
}

func TestLendableFallsAtOnceAndRisesAfterRiseDelay(t *testing.T) {
	l, now := openLender(100, 20)
	l.Configure(now, 50, 20)
	if got, want := l.lendable.get(now), Requests(30); got != want {
		t.Errorf("got %d lendable after the fall, want %d", got, want)
	}
	l.Configure(now, 100, 20)
	if got, want := l.lendable.get(now.Add(RiseDelay-1)), Requests(30); got != want {
		t.Errorf("got %d lendable before RiseDelay has passed, want %d", got, want)
	}
	if got, want := l.lendable.get(now.Add(RiseDelay)), Requests(80); got != want {
		t.Errorf("got %d lendable once RiseDelay has passed, want %d", got, want)
	}
}

func TestMergedGrantsStayCounted(t *testing.T) {
	l, now := openLender(100, 0)
	l.Grant(now, "a", ShareRequest[Requests]{Sequence: 1, Want: 90})
	for i := range uint64(3 * maxGrants) {
		at := now.Add(time.Duration(i) * time.Millisecond)
		l.Grant(at, "a", ShareRequest[Requests]{Sequence: 2 + i, Applied: 1, Want: 1})
	}
	if got, want := l.Lent(now.Add(grantRetention-1)), Requests(90); got < want {
		t.Errorf("got %d lent, want at least the %d of the first grant until it expires", got, want)
	}
}

func TestDivideIsFairAndComplete(t *testing.T) {
	for _, c := range []struct {
		rate  Requests
		wants []Requests
		want  []Requests
	}{
		{100, []Requests{10, 20}, []Requests{10 + 23, 20 + 23}},
		{100, []Requests{10, 200, 300}, []Requests{10, 45, 45}},
		{3, []Requests{5, 5, 5, 5, 5}, []Requests{1, 1, 1, 1, 1}},
		{0, []Requests{5}, []Requests{0}},
	} {
		v := divide(c.rate, append([]Requests(nil), c.wants...))
		for i, w := range c.wants {
			if got, want := v.share(w), c.want[i]; got != want {
				t.Errorf("divide %d over %v: got %d for %d, want %d", c.rate, c.wants, got, w, want)
			}
		}
	}
}

func TestGrantIsDroppedWhenTheClockIsSetBack(t *testing.T) {
	b := NewBucket[Requests](start, 0)
	now := start.Add(10 * Window)
	a := b.NextRequest(now, 5)
	b.Apply(now, Grant[Requests]{Sequence: a.Sequence, Share: 5})
	b.Spend(now, 1)
	if b.Spend(now.Add(-Window), 1) {
		t.Error("got a spend accepted after the clock was set back, want it refused")
	}
}
