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
	// requestHeader is the number of bytes counted for a request's line and the
	// headers that hosts add, beside the caller's own headers.
	requestHeader = 512
	// smallBody is the greatest body that is charged at once, in bytes.
	smallBody = 16 << 10
	// stale is the age at which a moment of spending is too old to send.
	stale = 50 * time.Millisecond
	// resolveWait is the time after which a keeper that refused is looked up again.
	resolveWait = 50 * time.Millisecond
)

// take spends the option's budgets and sends the request to the cell's keeper.
func (j *journey) take(ctx context.Context, o shift.Option) (*call.Answer, error) {
	keeper, ok := j.keepers.Keeper(clock.Now(), o.Cell.Key())
	if !ok {
		j.rule(o, result.ReasonNoKeeper)
		return nil, j.refuse(result.ReasonNoKeeper)
	}
	a, err := j.sendOnce(ctx, o, keeper)
	if err == nil || j.sends >= maxSends || ctx.Err() != nil {
		return a, err
	}
	if e := result.From(err); !staleKeeper(e) && !j.retriesLost(e) {
		return nil, err
	}
	next, ok := j.resolve(ctx, o.Cell, keeper)
	if !ok {
		return nil, err
	}
	return j.sendOnce(ctx, o, next)
}

// staleKeeper reports whether the error says that another host keeps the cell by now.
func staleKeeper(e *result.Error) bool {
	if e.Outcome != result.NotRun {
		return false
	}
	switch e.Reason {
	case result.ReasonNotKeeper, result.ReasonFenced, result.ReasonStopping, result.ReasonPeer:
		return true
	}
	return false
}

// resolve looks the keeper up again, after a short wait if it is still the same.
func (j *journey) resolve(ctx context.Context, c place.Cell, was member.Host) (member.Host, bool) {
	h, ok := j.keepers.Keeper(clock.Now(), c.Key())
	if ok && h.Name != was.Name {
		return h, true
	}
	select {
	case <-ctx.Done():
		return h, false
	case <-time.After(resolveWait):
	}
	h, ok = j.keepers.Keeper(clock.Now(), c.Key())
	return h, ok && j.reach.allows(clock.Now(), h.Name)
}

// sendOnce spends and sends to one host. Each send is charged.
func (j *journey) sendOnce(ctx context.Context, o shift.Option, to member.Host) (*call.Answer, error) {
	expect, err := j.spend(o)
	if err != nil {
		return nil, err
	}
	j.sends++
	if j.lost {
		j.resent = true
		retriesSent.Inc()
	}
	j.logChoice(o, to)
	r := j.attempt(o)
	if o.Link.Kind != "" && len(j.body) > smallBody {
		body := io.NopCloser(bytes.NewReader(j.body))
		r.Body = j.spenders.Pace(ctx, body, 0, nil, accounts(o)...)
	}
	a, err := j.deliver(ctx, to, r)
	caps := shiftBytes(o)
	if err != nil {
		for _, n := range caps {
			j.spenders.Expect(n, -expect)
		}
		e := result.From(err)
		if e.Outcome == result.Unknown {
			j.unknown = err
		}
		j.rule(o, e.Reason)
		return nil, err
	}
	if len(o.Shifts) > 0 {
		shiftedRequests(o).Inc()
	}
	a.Body = j.spenders.Pace(ctx, a.Body, expect, func(size int64) {
		j.sizes.Observe(o.Cell.Service, size)
		if len(o.Shifts) > 0 {
			shiftedBytes(o).Add(int(size))
		}
	}, caps...)
	return a, nil
}

// spend takes the charges of the option at one moment, and checks again that
// the moment isn't long past. It returns the predicted size of the answer.
func (j *journey) spend(o shift.Option) (int64, error) {
	if len(o.Shifts) == 0 && o.Link.Kind == "" {
		return 0, nil
	}
	expect := lend.WireSize(j.sizes.Predict(o.Cell.Service))
	now := clock.Now()
	left := j.request.Deadline.Sub(now)
	short, ok := j.spenders.Spend(now, lend.Within(left), j.charges(o, expect)...)
	if ok && clock.Now().Sub(now) < stale {
		return expect, nil
	}
	reason := result.ReasonShiftCap
	switch {
	case ok:
		reason = result.ReasonFenced
		for _, n := range shiftBytes(o) {
			j.spenders.Expect(n, -expect)
		}
	case short.Key.Kind == place.Link:
		reason = result.ReasonLinkBudget
	}
	j.rule(o, reason)
	return 0, j.refuse(reason)
}

func (j *journey) charges(o shift.Option, expect int64) []lend.Charge {
	size := int64(requestHeader + len(j.request.Path) + len(j.request.Query))
	for n, v := range j.request.Header {
		for _, s := range v {
			size += int64(len(n) + len(s))
		}
	}
	if len(j.body) <= smallBody {
		size += int64(len(j.body))
	}
	size = lend.WireSize(size)
	var out []lend.Charge
	for _, k := range o.Shifts {
		out = append(out, lend.Charge{Account: shift.Account{Key: k, Unit: shift.Requests}, Units: 1})
	}
	for _, n := range shiftBytes(o) {
		out = append(out, lend.Charge{Account: n, Units: size, Expect: expect})
	}
	if o.Link.Kind != "" {
		out = append(out, lend.Charge{Account: shift.Account{Key: o.Link, Unit: shift.Bytes}, Units: size})
	}
	return out
}

// shiftBytes returns the accounts of bytes of the option's shifts.
func shiftBytes(o shift.Option) []shift.Account {
	var out []shift.Account
	for _, k := range o.Shifts {
		out = append(out, shift.Account{Key: k, Unit: shift.Bytes})
	}
	return out
}

// accounts returns all accounts of bytes that a request's body counts against.
func accounts(o shift.Option) []shift.Account {
	return append(shiftBytes(o), shift.Account{Key: o.Link, Unit: shift.Bytes})
}

// deliver hands the request to the host. A request for which no connection was
// had is not run, and its host is left out for a while.
func (j *journey) deliver(ctx context.Context, to member.Host, r *call.Request) (*call.Answer, error) {
	if to.Name == j.keepers.Self().Name {
		return j.local.Do(ctx, r)
	}
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	traced, stop := j.limit(traced)
	a, err := j.peers.Forward(traced, to, r)
	if gaveUp := stop(); gaveUp && err == nil {
		_ = a.Body.Close()
		err = result.Lose(result.ReasonPeer, "forward request", to.Name, context.Canceled)
	}
	if err == nil {
		j.reach.succeed(to.Name)
		return a, nil
	}
	e := result.From(err)
	if e.Reason != result.ReasonPeer || ctx.Err() != nil {
		return nil, err
	}
	if !sent.Load() || !errors.Is(err, context.Canceled) {
		j.reach.fail(clock.Now(), to.Name)
	}
	if !sent.Load() {
		e = &result.Error{Outcome: result.NotRun, Reason: e.Reason, Step: e.Step, Peer: e.Peer, Err: e.Err}
	}
	return nil, e
}

// limit cancels idempotent work when half of its time is gone without an
// answer, if the retry budget lets it be sent once more. Stop must be called
// when the answer has begun; it reports whether the work was given up before.
// Bulk work may wait in a queue that long.
func (j *journey) limit(ctx context.Context) (limited context.Context, stop func() bool) {
	if j.resent || !j.request.Idempotent() || j.request.Class == config.ClassBulk {
		return ctx, func() bool { return false }
	}
	var ended atomic.Bool
	limited, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(j.request.Deadline.Sub(clock.Now())/2, func() {
		if j.mayRetry() && ended.CompareAndSwap(false, true) {
			cancel()
		}
	})
	return limited, func() bool {
		timer.Stop()
		return !ended.CompareAndSwap(false, true)
	}
}
