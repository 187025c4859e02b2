package route

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/hitchd/internal/lend"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
	"magnoliahitch/steer/shift"
)

const (
	// requestOverhead is the number of bytes charged for the request line and
	// the headers that hosts add. Path, query and the caller's own headers are
	// charged on top.
	requestOverhead = 512
	// maxUnpacedBody is the size in bytes up to which a body is charged
	// together with its request. A larger one is charged while it is sent.
	maxUnpacedBody = 16 << 10
	// maxSpendAge is the age at which charges are too old to send a request on
	// them.
	maxSpendAge = 50 * time.Millisecond
	// keeperRetryDelay is the wait before the keeper of a cell is looked up
	// again, when a refusal came from the host that is still on record as
	// keeper.
	keeperRetryDelay = 50 * time.Millisecond
)

// tryOption sends the request to the keeper of the option's cell. It looks the
// keeper up again and sends once more if the first host refused as not being
// the keeper, could not be reached, or lost a request that may be resent.
func (d *dispatch) tryOption(ctx context.Context, o shift.Option) (*call.Response, error) {
	keeper, ok := d.keepers.Keeper(clock.Now(), o.Cell.Key())
	if !ok {
		d.addRefusal(o, result.ReasonNoKeeper)
		return nil, d.refuse(result.ReasonNoKeeper)
	}
	a, err := d.sendOnce(ctx, o, keeper)
	if err == nil || d.sends >= maxSends || ctx.Err() != nil {
		return a, err
	}
	if e := result.From(err); !isStaleKeeper(e) && !d.mayResend(e) {
		return nil, err
	}
	next, ok := d.resolveKeeper(ctx, o.Cell, keeper)
	if !ok {
		return nil, err
	}
	return d.sendOnce(ctx, o, next)
}

// isStaleKeeper reports whether the error indicates that another host may keep
// the cell by now and that the request did not run.
func isStaleKeeper(e *result.Error) bool {
	if e.Outcome != result.NotRun {
		return false
	}
	switch e.Reason {
	case result.ReasonNotKeeper, result.ReasonFenced, result.ReasonStopping, result.ReasonPeer:
		return true
	}
	return false
}

// resolveKeeper looks the keeper of the cell up again, after a short wait if it
// is still the previous one. It reports false without a keeper that can be
// reached, and when the context has ended.
func (d *dispatch) resolveKeeper(ctx context.Context, c place.Cell, previous member.Host) (member.Host, bool) {
	h, ok := d.keepers.Keeper(clock.Now(), c.Key())
	if ok && h.Name != previous.Name {
		return h, true
	}
	select {
	case <-ctx.Done():
		return h, false
	case <-time.After(keeperRetryDelay):
	}
	h, ok = d.keepers.Keeper(clock.Now(), c.Key())
	return h, ok && d.reachable.allows(clock.Now(), h.Name)
}

// sendOnce charges the budgets of the option and sends the request to the host.
// Each send is charged anew.
func (d *dispatch) sendOnce(ctx context.Context, o shift.Option, to member.Host) (*call.Response, error) {
	expected, err := d.spend(o)
	if err != nil {
		return nil, err
	}
	d.sends++
	if d.resendDue {
		d.resent = true
		retriesSent.Inc()
	}
	d.logChoice(o, to)
	r := d.copyRequest(o)
	if o.Link.Kind != "" && len(d.body) > maxUnpacedBody {
		body := io.NopCloser(bytes.NewReader(d.body))
		r.Body = d.spenders.Pace(ctx, body, 0, nil, byteKeys(o)...)
	}
	a, err := d.deliver(ctx, to, r)
	shiftAccounts := shiftByteKeys(o)
	if err != nil {
		for _, n := range shiftAccounts {
			d.spenders.AddExpected(n, -expected)
		}
		e := result.From(err)
		if e.Outcome == result.Unknown {
			d.unknownErr = err
		}
		d.addRefusal(o, e.Reason)
		return nil, err
	}
	if len(o.Caps) > 0 {
		shiftedRequests(o).Inc()
	}
	a.Body = d.spenders.Pace(ctx, a.Body, expected, func(size int64) {
		d.responseSizes.Observe(o.Cell.Service, size)
		if len(o.Caps) > 0 {
			shiftedBytes(o).Add(int(size))
		}
	}, shiftAccounts...)
	return a, nil
}

// spend makes all charges of the option at once, or none, and returns the
// predicted size of the response. It refuses when a budget is exhausted, or
// when charging took so long that the charges are too old.
func (d *dispatch) spend(o shift.Option) (int64, error) {
	if len(o.Caps) == 0 && o.Link.Kind == "" {
		return 0, nil
	}
	expected := lend.WireSize(d.responseSizes.Predict(o.Cell.Service))
	now := clock.Now()
	left := d.request.Deadline.Sub(now)
	exhausted, ok := d.spenders.Spend(now, lend.SpendWindow(left), d.charges(o, expected)...)
	if ok && clock.Now().Sub(now) < maxSpendAge {
		return expected, nil
	}
	reason := result.ReasonShiftCap
	switch {
	case ok:
		reason = result.ReasonFenced
		for _, n := range shiftByteKeys(o) {
			d.spenders.AddExpected(n, -expected)
		}
	case exhausted.Key.Kind == place.Link:
		reason = result.ReasonLinkBudget
	}
	d.addRefusal(o, reason)
	return 0, d.refuse(reason)
}

// charges returns the charges of one send: a request and its bytes, with the
// predicted size of the response, for each shift, and the bytes for the link.
func (d *dispatch) charges(o shift.Option, expected int64) []lend.Charge {
	size := int64(requestOverhead + len(d.request.Path) + len(d.request.Query))
	for n, v := range d.request.Header {
		for _, s := range v {
			size += int64(len(n) + len(s))
		}
	}
	if len(d.body) <= maxUnpacedBody {
		size += int64(len(d.body))
	}
	size = lend.WireSize(size)
	var out []lend.Charge
	for _, k := range o.Caps {
		out = append(out, lend.Charge{Account: shift.BudgetKey{Key: k, Unit: shift.Requests}, Units: 1})
	}
	for _, n := range shiftByteKeys(o) {
		out = append(out, lend.Charge{Account: n, Units: size, Expected: expected})
	}
	if o.Link.Kind != "" {
		out = append(out, lend.Charge{Account: shift.BudgetKey{Key: o.Link, Unit: shift.Bytes}, Units: size})
	}
	return out
}

// shiftByteKeys returns the keys of the byte budgets of the option's caps.
func shiftByteKeys(o shift.Option) []shift.BudgetKey {
	var out []shift.BudgetKey
	for _, k := range o.Caps {
		out = append(out, shift.BudgetKey{Key: k, Unit: shift.Bytes})
	}
	return out
}

// byteKeys returns the keys of the byte budgets of the option's caps and link.
func byteKeys(o shift.Option) []shift.BudgetKey {
	return append(shiftByteKeys(o), shift.BudgetKey{Key: o.Link, Unit: shift.Bytes})
}

// deliver passes the request to the host. A request for which no connection was
// obtained did not run. A host that failed is skipped until its next probe,
// except when cancelHalfway cancelled a request whose response was only late.
func (d *dispatch) deliver(ctx context.Context, to member.Host, r *call.Request) (*call.Response, error) {
	if to.Name == d.keepers.Self().Name {
		return d.local.Do(ctx, r)
	}
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	traced, stop := d.cancelHalfway(traced)
	a, err := d.peers.Forward(traced, to, r)
	if canceled := stop(); canceled && err == nil {
		_ = a.Body.Close()
		err = result.NewUnknown(result.ReasonPeer, "forward request", to.Name, context.Canceled)
	}
	if err == nil {
		d.reachable.succeed(to.Name)
		return a, nil
	}
	e := result.From(err)
	if e.Reason != result.ReasonPeer || ctx.Err() != nil {
		return nil, err
	}
	if !sent.Load() || !errors.Is(err, context.Canceled) {
		d.reachable.fail(clock.Now(), to.Name)
	}
	if !sent.Load() {
		e = &result.Error{Outcome: result.NotRun, Reason: e.Reason, Step: e.Step, Peer: e.Peer, Err: e.Err}
	}
	return nil, e
}

// cancelHalfway returns a context that is cancelled when no response has
// started after half of the time to the deadline. It does so only for an
// idempotent request that the retry budget allows to resend. Bulk requests are
// left alone, because they may wait in a queue that long. Stop must be called
// when the response has started; it reports whether the request was cancelled
// before.
func (d *dispatch) cancelHalfway(ctx context.Context) (limited context.Context, stop func() bool) {
	if d.resent || !d.request.Idempotent() || d.request.Class == config.ClassBulk {
		return ctx, func() bool { return false }
	}
	var ended atomic.Bool
	limited, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(d.request.Deadline.Sub(clock.Now())/2, func() {
		if d.takeRetry() && ended.CompareAndSwap(false, true) {
			cancel()
		}
	})
	return limited, func() bool {
		timer.Stop()
		return !ended.CompareAndSwap(false, true)
	}
}
