package lend

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/shift"
)

// Shape of paced streams.
const (
	// chunk is the greatest number of bytes that go at once.
	chunk = 16 << 10
	// chunksPerWindow is the least number of chunks that a small share is cut into.
	chunksPerWindow = 8
	// pollInterval is the time between two tries to spend.
	pollInterval = 10 * time.Millisecond
	// wireShare is the number of bytes of content for each byte of packet headers.
	wireShare = 12
	// stale is the age at which a moment of spending is too old to send.
	stale = 50 * time.Millisecond
)

// WireSize returns the bytes that n bytes of content take on a link, with
// the headers of packets.
func WireSize(n int64) int64 { return n + (n+wireShare-1)/wireShare }

// Pace returns a reader that hands out bytes only when they were spent from
// all of the accounts, so that they are counted when they go. Expect is the
// predicted size that was charged before, or zero. Closed is called once with
// the number of bytes that were read.
func (s *Spenders) Pace(ctx context.Context, body io.ReadCloser, expect int64, closed func(size int64), names ...shift.Account) *Paced {
	p := &Paced{ReadCloser: body, ctx: ctx, closed: closed}
	for _, n := range names {
		if a := s.account(n); a != nil {
			p.accounts = append(p.accounts, &pacedAccount{account: a, expect: expect})
		}
	}
	return p
}

// Paced is a stream whose bytes are spent before they are handed out.
type Paced struct {
	io.ReadCloser
	ctx      context.Context
	accounts []*pacedAccount
	size     int64
	once     sync.Once
	closed   func(size int64)
}

// pacedAccount is an account with what is left of a prediction.
type pacedAccount struct {
	*account
	expect int64
}

// Read returns up to a chunk of bytes when they may go. It waits for room until
// the context ends.
func (p *Paced) Read(b []byte) (int, error) {
	if len(p.accounts) == 0 {
		n, err := p.ReadCloser.Read(b)
		p.size += int64(n)
		return n, err
	}
	limit := int64(chunk)
	for _, a := range p.accounts {
		limit = min(limit, max(1, a.limit(clock.Now())/chunksPerWindow))
	}
	n, err := p.ReadCloser.Read(b[:min(int64(len(b)), limit)])
	if n == 0 {
		return n, err
	}
	if werr := p.spend(WireSize(int64(n))); werr != nil {
		return 0, werr
	}
	p.size += int64(n)
	return n, err
}

func (p *Paced) spend(n int64) error {
	accounts := make([]*account, len(p.accounts))
	charges := make([]Charge, len(p.accounts))
	for i, a := range p.accounts {
		accounts[i], charges[i] = a.account, Charge{Units: n}
		a.settle(n)
	}
	for fresh := true; ; fresh = false {
		now := clock.Now()
		if _, ok := take(now, accounts, charges, fresh); ok && clock.Now().Sub(now) < stale {
			return nil
		}
		select {
		case <-p.ctx.Done():
			return errors.Wrap(p.ctx.Err(), "wait for budget")
		case <-time.After(pollInterval):
		}
	}
}

// settle takes spent bytes off the prediction.
func (a *pacedAccount) settle(n int64) {
	n = min(n, a.expect)
	a.expect -= n
	a.account.expect(-n)
}

func (a *account) limit(now time.Time) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bucket.Limit(now)
}

// Close settles what was predicted and didn't come, and closes the stream.
func (p *Paced) Close() error {
	p.once.Do(func() {
		for _, a := range p.accounts {
			a.settle(a.expect)
		}
		if p.closed != nil {
			p.closed(p.size)
		}
	})
	return p.ReadCloser.Close()
}
