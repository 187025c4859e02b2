package lend

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/vmihailenco/msgpack/v5"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/budget"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
	"magnoliahitch/steer/shift"
)

// testConfig returns a configuration with a link of 8 Mbit/s in each direction between
// the regions a and b, and a move from a to b with caps of 100 requests/s and 8 Mbit/s.
// The argument is the share of the floor in each of these budgets.
func testConfig(t testing.TB, floor float64) *config.Config {
	t.Helper()
	r := config.Records{
		Regions:  []config.Region{{Name: "a"}, {Name: "b"}},
		Profiles: []config.Profile{{Name: "p", QueueWaitMs: 100, ShiftFloorShare: floor, MaxHosts: 1}},
		Services: []config.Service{{Name: "care", Profile: "p"}},
		Servers:  []config.Server{{Name: "s", Service: "care", Region: "b", Slots: 1}},
		Links: []config.Link{
			{Name: "ab", From: "a", To: "b", Mbps: 8, FloorShare: floor, MaxHosts: 1},
			{Name: "ba", From: "b", To: "a", Mbps: 8, FloorShare: floor, MaxHosts: 1},
		},
		Moves: []config.Move{{Name: "m", Service: "care", From: "a", To: "b", Share: 0.5, StepShare: 0.5, StepMs: 1, CapRate: 100, CapMbps: 8}},
	}
	c, err := (&config.Config{}).WithChange(config.Change{Revision: 1, Puts: r})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

var moveKey = place.Key{Kind: place.Shift, Region: "b", Name: "move/m"}

// testHosts is the view of one host, in which the given host keeps every cell.
type testHosts struct {
	self, keeper member.Host
	// lost is set when the lease of this host is no longer valid.
	lost  bool
	count int
}

func (h *testHosts) Self() member.Host { return h.self }

func (h *testHosts) Live() []member.Host {
	out := make([]member.Host, h.count)
	for i := range out {
		out[i].Region = h.self.Region
	}
	return out
}

func (h *testHosts) Keeper(time.Time, place.Key) (member.Host, bool) { return h.keeper, true }

func (h *testHosts) Holds(time.Time, place.Key) bool { return !h.lost && h.keeper.Name == h.self.Name }

// testPeers sends messages to the keeper's lenders and encodes them as on the wire.
type testPeers struct {
	lenders *Lenders
	err     error
}

func (t *testPeers) Call(_ context.Context, _ member.Host, _ string, in, out any) error {
	if t.err != nil {
		return t.err
	}
	data, err := msgpack.Marshal(in)
	if err != nil {
		return err
	}
	var q request
	if err := msgpack.Unmarshal(data, &q); err != nil {
		return err
	}
	if data, err = msgpack.Marshal(t.lenders.respond(q)); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, out)
}

// idleDestination reports that all slots of every destination are free.
type idleDestination struct{}

func (idleDestination) Load(time.Time, place.Cell) (member.Load, bool) {
	return member.Load{Slots: 6, Free: 6}, true
}

func newPair(t testing.TB, c *config.Config) (*testHosts, *Lenders, *Spenders, *testPeers) {
	t.Helper()
	keeper := &testHosts{self: member.Host{Name: "k", Region: "b"}, keeper: member.Host{Name: "k"}}
	lenders := NewLenders(keeper, idleDestination{}, hclog.NewNullLogger())
	lenders.Configure(clock.Now(), c)
	peers := &testPeers{lenders: lenders}
	hosts := &testHosts{self: member.Host{Name: "s", Region: "a"}, keeper: keeper.self}
	// The process started more than a window ago, so that it may spend.
	startedAt := clock.Now().Add(-time.Minute)
	spenders := NewSpenders(startedAt, hosts, peers, nil, hclog.NewNullLogger())
	spenders.Configure(clock.Now(), c)
	return keeper, lenders, spenders, peers
}

// emptyHandover returns the handover of a cell without outstanding grants.
func emptyHandover(t testing.TB, shiftShare float64) []byte {
	t.Helper()
	data, err := msgpack.Marshal(handover{Lent: map[shift.Unit]budget.Handover[int64]{
		shift.Requests: {Lendable: 100}, shift.Bytes: {Lendable: 1e6},
	}, ShiftShare: shiftShare})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestSpenderGetsALeaseInTheBackground(t *testing.T) {
	_, lenders, spenders, _ := newPair(t, testConfig(t, 0))
	lenders.Acquire(clock.Now(), moveKey, emptyHandover(t, 0))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = spenders.Run(ctx, 5*time.Millisecond) }()
	one := Charge{Account: shift.BudgetKey{Key: moveKey, Unit: shift.Requests}, Units: 1}
	if _, ok := spenders.Spend(clock.Now(), time.Second, one); ok {
		t.Fatal("got a spend without a share and a floor, want it refused")
	}
	for {
		if _, ok := spenders.Spend(clock.Now(), time.Second, one); ok {
			break
		}
		time.Sleep(time.Millisecond)
	}
	for spenders.Share(clock.Now(), moveKey) < 0.5 {
		time.Sleep(time.Millisecond)
	}
}

func TestKeeperThatLostItsLeaseGrantsNothing(t *testing.T) {
	keeper, lenders, _, _ := newPair(t, testConfig(t, 0))
	lenders.Acquire(clock.Now(), moveKey, emptyHandover(t, 0))
	q := requestEntry{Kind: moveKey.Kind, Region: moveKey.Region, Name: moveKey.Name, Unit: shift.Requests, Sequence: 1, Want: 10}
	if g := lenders.grant("p", q); !g.Granted || g.Share < 10 {
		t.Fatalf("got %+v from the keeper, want a share of at least 10", g)
	}
	keeper.lost = true
	q.Sequence = 2
	if g := lenders.grant("p", q); g.Held || g.Granted {
		t.Errorf("got %+v after the lease was lost, want nothing", g)
	}
}

func TestHandoverCarriesGrantsAndTheShiftShare(t *testing.T) {
	_, lenders, _, _ := newPair(t, testConfig(t, 0))
	lenders.Acquire(clock.Now(), moveKey, emptyHandover(t, 0.5))
	q := requestEntry{Kind: moveKey.Kind, Region: moveKey.Region, Name: moveKey.Name, Unit: shift.Requests, Sequence: 1, Want: 80}
	first := lenders.grant("p", q)
	lenders.Acquire(clock.Now(), moveKey, lenders.Release(clock.Now(), moveKey))
	second := lenders.grant("other", q)
	if got, want := first.Share+second.Share, int64(100); got > want || second.Share == 0 {
		t.Errorf("got %d and %d lent, want both above 0 and their sum at most %d", first.Share, second.Share, want)
	}
	if got, want := second.ShiftShare, 0.5; got != want {
		t.Errorf("got shift share %g after the handover, want %g", got, want)
	}
}

func TestHandoverOfAnAlreadyLentCellIsNotUsed(t *testing.T) {
	_, lenders, _, _ := newPair(t, testConfig(t, 0))
	q := requestEntry{Kind: moveKey.Kind, Region: moveKey.Region, Name: moveKey.Name, Unit: shift.Requests, Sequence: 1, Want: 100}
	lenders.Acquire(clock.Now(), moveKey, emptyHandover(t, 0))
	lenders.grant("p", q)
	lenders.Acquire(clock.Now(), moveKey, emptyHandover(t, 0))
	if g := lenders.grant("other", q); g.Share > 0 {
		t.Errorf("got %d lent a second time, want nothing until the first grant has expired", g.Share)
	}
}

func TestNewKeeperRecoversTheShiftShareFromRequests(t *testing.T) {
	_, lenders, _, _ := newPair(t, testConfig(t, 0))
	lenders.Acquire(clock.Now(), moveKey, nil)
	q := requestEntry{Kind: moveKey.Kind, Region: moveKey.Region, Name: moveKey.Name, Unit: shift.Requests, Sequence: 1, ShiftShare: 0.3}
	g := lenders.grant("p", q)
	if got, want := g.ShiftShare, 0.3; got != want || g.ShiftShareKnown {
		t.Errorf("got share %g, known %v, want %g, not known yet", got, g.ShiftShareKnown, want)
	}
}

func TestRecreatedBudgetStartsWithoutState(t *testing.T) {
	c := testConfig(t, 1)
	_, lenders, spenders, _ := newPair(t, c)
	lenders.Acquire(clock.Now(), moveKey, emptyHandover(t, 0.5))
	one := Charge{Account: shift.BudgetKey{Key: moveKey, Unit: shift.Requests}, Units: 100}
	if _, ok := spenders.Spend(clock.Now(), time.Second, one); !ok {
		t.Fatal("got the first spend refused, want it taken")
	}
	without, err := c.WithChange(config.Change{Revision: 2, Deletes: []config.Ref{{Kind: config.KindMove, Name: "m"}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, next := range []*config.Config{without, c} {
		lenders.Configure(clock.Now(), next)
		spenders.Configure(clock.Now(), next)
	}
	if _, ok := spenders.Spend(clock.Now(), time.Second, one); ok {
		t.Error("got the full cap spent twice, want the second spend refused in the first window")
	}
	q := requestEntry{Kind: moveKey.Kind, Region: moveKey.Region, Name: moveKey.Name, Unit: shift.Requests, Sequence: 1, Want: 1}
	if g := lenders.grant("p", q); g.Share > 0 || g.ShiftShare > 0 {
		t.Errorf("got %+v from the keeper, want nothing lent and no share shifted", g)
	}
}

func TestSpendTakesAllChargesOrNone(t *testing.T) {
	_, _, spenders, _ := newPair(t, testConfig(t, 1))
	requests := shift.BudgetKey{Key: moveKey, Unit: shift.Requests}
	link := shift.BudgetKey{Key: place.Key{Kind: place.Link, Region: "a", Name: "ab"}, Unit: shift.Bytes}
	now := clock.Now()
	if short, ok := spenders.Spend(now, time.Second, Charge{Account: requests, Units: 100}, Charge{Account: link, Units: 2e6}); ok || short != link {
		t.Errorf("got short %v, %v, want the link refused", short, ok)
	}
	if _, ok := spenders.Spend(now, time.Second, Charge{Account: requests, Units: 100}, Charge{Account: link, Units: 1e6}); !ok {
		t.Error("got refused, want the full cap of both spent, as the refused spend took nothing")
	}
	if _, ok := spenders.Spend(now, time.Second, Charge{Account: requests, Units: 1}); ok {
		t.Error("got a spend that exceeds the cap, want it refused")
	}
}

func TestFloorIsWithdrawnFromTooManyHosts(t *testing.T) {
	_, _, spenders, _ := newPair(t, testConfig(t, 1))
	one := Charge{Account: shift.BudgetKey{Key: moveKey, Unit: shift.Requests}, Units: 1}
	for _, c := range []struct {
		hosts int
		want  bool
	}{{1, true}, {2, false}} {
		spenders.hosts.(*testHosts).count = c.hosts
		spenders.updateFloors(clock.Now())
		if _, got := spenders.Spend(clock.Now(), time.Second, one); got != c.want {
			t.Errorf("got spend %v with %d hosts on a floor for one host, want %v", got, c.hosts, c.want)
		}
	}
}

func TestExpectedBytesCountAgainstNewWork(t *testing.T) {
	_, _, spenders, _ := newPair(t, testConfig(t, 1))
	link := shift.BudgetKey{Key: place.Key{Kind: place.Link, Region: "a", Name: "ab"}, Unit: shift.Bytes}
	now := clock.Now()
	if _, ok := spenders.Spend(now, time.Second, Charge{Account: link, Expected: 9e5}); !ok {
		t.Fatal("got refused, want 0.9 MB admitted within a second at 1 MB/s")
	}
	if _, ok := spenders.Spend(now, time.Second, Charge{Account: link, Expected: 2e5}); ok {
		t.Error("got admitted, want refused until the expected bytes are spent or released")
	}
	spenders.AddExpected(link, -9e5)
	if _, ok := spenders.Spend(now, time.Second, Charge{Account: link, Expected: 2e5}); !ok {
		t.Error("got refused after the expected bytes were released, want admitted")
	}
}

func TestPacedStreamIsCompleteAndSpent(t *testing.T) {
	_, _, spenders, _ := newPair(t, testConfig(t, 1))
	link := shift.BudgetKey{Key: place.Key{Kind: place.Link, Region: "a", Name: "ab"}, Unit: shift.Bytes}
	content := strings.Repeat("pall ", 40_000)
	var size int64
	spenders.AddExpected(link, 1000)
	p := spenders.Pace(t.Context(), io.NopCloser(strings.NewReader(content)), 1000, func(n int64) { size = n }, link)
	got, err := io.ReadAll(p)
	if err != nil || string(got) != content {
		t.Fatalf("got %d bytes, %v, want the complete content", len(got), err)
	}
	a := spenders.account(link)
	if got := a.expected; got != 0 {
		t.Errorf("got %d bytes expected after more than predicted were spent, want 0", got)
	}
	_ = p.Close()
	if got, want := a.bucket.Available(clock.Now()), int64(1e6)-WireSize(size); size != int64(len(content)) || got > want {
		t.Errorf("got %d bytes that may be spent after %d were read, want at most %d", got, size, want)
	}
}

func TestUnusedPredictionIsReleasedOnClose(t *testing.T) {
	_, _, spenders, _ := newPair(t, testConfig(t, 1))
	link := shift.BudgetKey{Key: place.Key{Kind: place.Link, Region: "a", Name: "ab"}, Unit: shift.Bytes}
	spenders.AddExpected(link, 1000)
	p := spenders.Pace(t.Context(), io.NopCloser(strings.NewReader("pall")), 1000, nil, link)
	_, _ = io.ReadAll(p)
	_ = p.Close()
	if got := spenders.account(link).expected; got != 0 {
		t.Errorf("got %d bytes expected after Close, want 0", got)
	}
}

func TestPacedStreamIsCutWhenTheBudgetIsExhausted(t *testing.T) {
	_, _, spenders, _ := newPair(t, testConfig(t, 0))
	link := shift.BudgetKey{Key: place.Key{Kind: place.Link, Region: "a", Name: "ab"}, Unit: shift.Bytes}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	p := spenders.Pace(ctx, io.NopCloser(bytes.NewReader(make([]byte, 10))), 0, nil, link)
	if n, err := p.Read(make([]byte, 10)); n != 0 || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %d bytes, %v, want none and the context's error", n, err)
	}
}

func TestGateRefusesBeforeRunWhenTheResponseExceedsTheBudget(t *testing.T) {
	for _, c := range []struct {
		entry string
		floor float64
		want  result.Outcome
	}{{"b", 0, result.Done}, {"a", 0, result.NotRun}, {"a", 1, result.Done}, {"nowhere", 1, result.NotRun}} {
		_, _, spenders, _ := newPair(t, testConfig(t, c.floor))
		ran := false
		g := NewGate("b", call.DoerFunc(func(context.Context, *call.Request) (*call.Response, error) {
			ran = true
			return &call.Response{Body: io.NopCloser(strings.NewReader("drape"))}, nil
		}), spenders)
		g.Configure(testConfig(t, c.floor))
		r := &call.Request{Cell: place.Cell{Region: "b", Service: "care"}, Entry: c.entry, Deadline: clock.Now().Add(time.Minute)}
		_, err := g.Do(t.Context(), r)
		if got := result.OutcomeOf(err); got != c.want || ran != (c.want == result.Done) {
			t.Errorf("entry %s, floor %g: got %s, ran %v, want %s", c.entry, c.floor, got, ran, c.want)
		}
	}
}
