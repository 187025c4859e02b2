package slots

import (
	"testing"
	"time"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/result"
)

// A server that refused a request with Retry-After got the next one as soon as it had a
// free slot, also when the refusal was passed on as its response, and from the next keeper.
func TestServerHoldsRequestsOff(t *testing.T) {
	for _, outcome := range []result.Outcome{result.NotRun, result.Done} {
		now := time.Unix(1000, 0)
		c := NewCell()
		servers := []config.Server{{Name: "a", Addr: "a", Slots: 3, Connections: 10}}
		none := func(config.Server) bool { return false }
		profile := config.Profile{QueueWaitMs: 200, SlowStartMs: 1000, EjectShare: 0.5}
		c.Configure(now, servers, none, profile)
		if d := c.Submit(now, Request{ID: 1}); !d.Started {
			t.Fatal("first request wasn't started, want it on the idle server")
		}
		c.Finish(now, Completion{ID: 1, Outcome: outcome, Reason: result.ReasonShed, HoldOff: 1500 * time.Millisecond})
		d := c.Submit(now, Request{ID: 2})
		if d.Started || d.Queued || d.Reason != result.ReasonNoServer || d.RetryAfter != 1500*time.Millisecond {
			t.Errorf("%v: decision %+v, want a refusal with the 1.5 s that are left", outcome, d)
		}
		if got := c.Servers(now)[0].State; got != StateHoldingOff {
			t.Errorf("%v: state %s, want %s", outcome, got, StateHoldingOff)
		}
		next := NewCell()
		next.Configure(now, servers, none, profile)
		next.ApplyHandover(now, c.Handover(now))
		if d := next.Submit(now, Request{ID: 3}); d.Started {
			t.Errorf("%v: the next keeper started a request, want it to know of the hold-off", outcome)
		}
		now = now.Add(1500 * time.Millisecond)
		if d := c.Submit(now, Request{ID: 4}); !d.Started {
			t.Errorf("%v: decision %+v after the hold-off, want a start", outcome, d)
		}
		if got := c.Servers(now)[0]; got.State != StateStarting || got.Limit != 1 {
			t.Errorf("%v: state %s with limit %d after the hold-off, want %s with 1", outcome, got.State, got.Limit, StateStarting)
		}
	}
}
