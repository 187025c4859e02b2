package claims

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/clock"
	"magnoliahitch/links/plat"
	"magnoliahitch/steer/claim"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/result"
)

// Limits and times of claims.
const (
	// Window is how long a claim is valid. Callers must not repeat an operation
	// after half of it.
	Window = 24 * time.Hour
	// maxKeptBody is the largest response body that is stored, in bytes.
	maxKeptBody = 32 << 10
	// outageBackoff is how long operations are refused without a write after
	// the table failed.
	outageBackoff = 500 * time.Millisecond
	// retryAfter is the time that a caller is asked to wait before a retry
	// while the table is down.
	retryAfter = 2 * time.Second
	// maxClaimAttempts bounds the attempts to write a claim over a record that
	// other hosts change concurrently.
	maxClaimAttempts = 8
	// keyPrefix is the prefix of the keys of all claims.
	keyPrefix = "claims/"
)

// Members returns this host and the live hosts.
type Members interface {
	Self() member.Host
	Live() []member.Host
}

// Peers sends messages to other hosts.
type Peers interface {
	Call(ctx context.Context, to member.Host, path string, in, out any) error
}

// Claims is the stage that claims non-idempotent operations before they are
// dispatched.
type Claims struct {
	table    plat.Table
	members  Members
	peers    Peers
	next     call.Doer
	log      hclog.Logger
	now      func() time.Time
	writer   *writer
	registry *registry
	// retryTableAt is the time until which operations are refused after the
	// table failed, in nanoseconds of the boot clock.
	retryTableAt atomic.Int64
}

// Option configures a stage.
type Option func(*Claims)

// WithClock sets the clock. The default is that of package clock.
func WithClock(now func() time.Time) Option {
	return func(c *Claims) { c.now = now }
}

// New returns a stage that passes claimed operations to next.
func New(table plat.Table, m Members, peers Peers, next call.Doer, log hclog.Logger, options ...Option) *Claims {
	c := &Claims{
		table:    table,
		members:  m,
		peers:    peers,
		next:     next,
		log:      log,
		now:      clock.Now,
		registry: newRegistry(),
	}
	for _, o := range options {
		o(c)
	}
	c.writer = newWriter(table, c.now)
	return c
}

// Run writes claims and deletes expired ones until the context ends.
func (c *Claims) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		c.writer.run(ctx)
		return nil
	})
	g.Go(func() error {
		c.sweep(ctx)
		return nil
	})
	return g.Wait()
}

// Do passes idempotent requests to the next stage and claims other requests
// first. A request whose operation already runs on this host waits for its
// response, and one whose operation ran on it lately gets its outcome.
func (c *Claims) Do(ctx context.Context, r *call.Request) (*call.Response, error) {
	if r.Idempotent() {
		return c.next.Do(ctx, r)
	}
	self := c.members.Self().Name
	if r.Operation == "" {
		return nil, result.NewNotRun(result.ReasonNoOperationID, "claim operation", self)
	}
	body, err := r.ReadBody()
	if err != nil {
		return nil, result.NewNotRun(result.ReasonBadRequest, "read operation", self)
	}
	o := &operation{
		key:         keyPrefix + scope(r) + "/" + r.Operation,
		id:          uuid.NewString(),
		fingerprint: claim.Fingerprint(r.Method, r.Path, r.Query, body),
		expires:     c.now().Add(Window),
		done:        make(chan struct{}),
	}
	// The operation continues until its deadline when the caller disconnects, so
	// that a repeated request finds the response.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.Deadline.Sub(c.now()))
	defer cancel()
	for {
		first, ok := c.registry.start(c.now(), o)
		if ok {
			return c.run(ctx, r, o)
		}
		count("joined")
		if claimed := c.join(ctx, first, o.fingerprint); claimed != nil {
			return claimed.response()
		}
	}
}

// scope returns the namespace of the request's operation id. A scope that the
// request names gets the prefix "@", which no service name contains.
func scope(r *call.Request) string {
	if r.Scope != "" {
		return "@" + r.Scope
	}
	return r.Cell.Service
}

// run claims the operation, dispatches it and records its outcome.
func (c *Claims) run(ctx context.Context, r *call.Request, o *operation) (*call.Response, error) {
	began := c.now()
	rec, at, err := c.claim(ctx, o)
	metrics.GetOrCreateHistogram("hitch_claim_seconds").Update(c.now().Sub(began).Seconds())
	if err != nil {
		c.log.Info("claim", "request", r.ID, "operation", r.Operation, "refused", err)
		// The request wasn't dispatched, whether or not the claim was written.
		c.registry.end(o, claim.Released, nil)
		if errors.Is(err, plat.ErrUnknown) {
			go c.releaseUnknown(o)
		}
		return c.refuse(err)
	}
	if ctx.Err() != nil {
		c.registry.end(o, claim.Released, nil)
		c.recordOutcome(o.key, at, rec.WithState(claim.Released))
		return nil, result.NewNotRun(result.ReasonDeadline, "claim operation", c.members.Self().Name)
	}
	c.log.Debug("claim", "request", r.ID, "operation", r.Operation, "taken", rec.ID)
	count("taken")
	a, err := c.next.Do(ctx, r)
	if err != nil {
		state := claim.Lost
		if result.OutcomeOf(err) == result.NotRun {
			state = claim.Released
		}
		c.registry.end(o, state, nil)
		c.recordOutcome(o.key, at, rec.WithState(state))
		return nil, err
	}
	return c.complete(a, o, rec, at)
}

// complete reads the response and records the operation as done. It stores the
// response if the body has at most maxKeptBody bytes.
func (c *Claims) complete(a *call.Response, o *operation, rec claim.Record, at plat.Position) (*call.Response, error) {
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		c.registry.end(o, claim.Lost, nil)
		c.recordOutcome(o.key, at, rec.WithState(claim.Lost))
		return nil, result.NewUnknown(result.ReasonUpstream, "read answer", a.Server, err)
	}
	kept := &claim.Response{Status: a.Status, Header: a.Header, Body: body}
	out := callAnswer(kept, a.Server)
	if len(body) > maxKeptBody {
		kept = nil
	}
	c.registry.end(o, claim.Done, kept)
	c.recordOutcome(o.key, at, rec.WithResponse(kept))
	return out, nil
}

func callAnswer(k *claim.Response, server string) *call.Response {
	return &call.Response{Status: k.Status, Header: k.Header.Clone(), Body: io.NopCloser(bytes.NewReader(k.Body)), Server: server}
}

// recordOutcome submits a write with the final state of the operation and
// returns at once. A released record is deleted. The write is repeated while
// the table is down.
func (c *Claims) recordOutcome(key string, at plat.Position, rec claim.Record) {
	var value []byte
	if rec.State != claim.Released {
		var err error
		if value, err = json.Marshal(rec); err != nil {
			c.log.Error("encode claim", "key", key, "error", err)
			return
		}
	}
	w := write{ctx: context.Background(), key: key, at: at, value: value, done: make(chan writeResult, 1)}
	c.writer.submit(w, false)
	go func() {
		if r := <-w.done; errors.Is(r.err, plat.ErrDown) {
			c.retryOutcome(key, at, rec)
		}
	}()
}

// outcomeRetryInterval is the time between two attempts to record an outcome
// while the table is down.
const outcomeRetryInterval = 2 * time.Second

func (c *Claims) retryOutcome(key string, at plat.Position, rec claim.Record) {
	time.AfterFunc(outcomeRetryInterval, func() { c.recordOutcome(key, at, rec) })
}

// refuse turns the error of a failed claim into the response or the refusal for
// the caller.
func (c *Claims) refuse(err error) (*call.Response, error) {
	var claimed *claimedError
	if errors.As(err, &claimed) {
		return claimed.response()
	}
	if errors.Is(err, plat.ErrDown) {
		c.retryTableAt.Store(c.now().Add(outageBackoff).UnixNano())
	}
	count("storeDown")
	e := result.NewNotRun(result.ReasonStoreDown, "claim operation", c.members.Self().Name)
	e.Err = err
	return nil, e.WithRetryAfter(retryAfter)
}

// join waits for first, which runs on this host under the same operation id. It
// returns nil if that operation did not run, so that the new one may.
func (c *Claims) join(ctx context.Context, first *operation, fingerprint string) *claimedError {
	claimed := &claimedError{decision: claim.Unknown, peer: c.members.Self().Name}
	if first.fingerprint != fingerprint {
		claimed.decision = claim.Mismatch
		return claimed
	}
	select {
	case <-first.done:
	case <-ctx.Done():
		claimed.decision = claim.QueryHolder
		return claimed
	}
	switch first.state {
	case claim.Released:
		return nil
	case claim.Done:
		claimed.decision, claimed.stored = claim.Replay, first.response
	}
	return claimed
}

func count(name string) {
	metrics.GetOrCreateCounter(`hitch_claims_total{result="` + name + `"}`).Inc()
}
