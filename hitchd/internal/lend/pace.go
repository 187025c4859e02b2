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

// Parameters of paced streams.
const (
	// maxChunk is the greatest number of bytes that one read returns.
	maxChunk = 16 << 10
	// minChunksPerWindow is the least number of reads that it takes to use up the
	// limit of a window. It makes chunks smaller when the limit is small.
	minChunksPerWindow = 8
	// retryInterval is the time between two attempts to spend.
	retryInterval = 10 * time.Millisecond
	// contentPerHeaderByte is the number of bytes of content for each byte of packet
	// headers.
	contentPerHeaderByte = 12
	// maxSpendAge is the time after which spent units may no longer be used. Bytes that
	// leave later, for example after a pause of the process, would count in an
	// earlier window than the one in which they leave, so they are spent again.
	maxSpendAge = 50 * time.Millisecond
)

// WireSize returns the number of bytes that n bytes of content take on a link, packet
// headers included.
func WireSize(n int64) int64 { return n + (n+contentPerHeaderByte-1)/contentPerHeaderByte }

// Pace returns a reader of the body that returns bytes only after they were spent from
// all accounts, so that they count when they are sent. Names without an account are
// skipped. Expected is the predicted size on the link that was charged before, or 0.
// OnClose, if not nil, is called once with the number of bytes that were read.
func (s *Spenders) Pace(ctx context.Context, body io.ReadCloser, expected int64, onClose func(size int64), names ...shift.BudgetKey) *Paced {
	p := &Paced{ReadCloser: body, ctx: ctx, onClose: onClose}
	for _, n := range names {
		if a := s.account(n); a != nil {
			p.accounts = append(p.accounts, &pacedAccount{account: a, remaining: expected})
		}
	}
	return p
}

// Paced is a stream whose bytes are spent before they are returned.
type Paced struct {
	io.ReadCloser
	ctx      context.Context
	accounts []*pacedAccount
	size     int64
	once     sync.Once
	onClose  func(size int64)
}

// pacedAccount is an account and the predicted units of the stream that haven't been
// spent from it yet.
type pacedAccount struct {
	*account
	remaining int64
}

// Read reads a chunk of bytes and returns it once it was spent from all accounts. When
// the budget isn't sufficient, it waits and tries again until the context ends, and then
// returns the error of the context. Without accounts it is a plain read.
func (p *Paced) Read(b []byte) (int, error) {
	if len(p.accounts) == 0 {
		n, err := p.ReadCloser.Read(b)
		p.size += int64(n)
		return n, err
	}
	limit := int64(maxChunk)
	for _, a := range p.accounts {
		limit = min(limit, max(1, a.limit(clock.Now())/minChunksPerWindow))
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

// spend spends n units from all accounts, and waits for that until the context ends. Only
// the first attempt counts as demand.
func (p *Paced) spend(n int64) error {
	accounts := make([]*account, len(p.accounts))
	charges := make([]Charge, len(p.accounts))
	for i, a := range p.accounts {
		accounts[i], charges[i] = a.account, Charge{Units: n}
		a.reduce(n)
	}
	for first := true; ; first = false {
		now := clock.Now()
		if _, ok := spendAll(now, accounts, charges, first); ok && clock.Now().Sub(now) < maxSpendAge {
			return nil
		}
		select {
		case <-p.ctx.Done():
			return errors.Wrap(p.ctx.Err(), "wait for budget")
		case <-time.After(retryInterval):
		}
	}
}

// reduce subtracts n units from what remains of the prediction, down to 0.
func (a *pacedAccount) reduce(n int64) {
	n = min(n, a.remaining)
	a.remaining -= n
	a.account.addExpected(-n)
}

// limit returns the current limit in units a window.
func (a *account) limit(now time.Time) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bucket.Limit(now)
}

// Close releases what remains of the prediction and closes the stream. The first call
// reports the number of bytes that were read.
func (p *Paced) Close() error {
	p.once.Do(func() {
		for _, a := range p.accounts {
			a.reduce(a.remaining)
		}
		if p.onClose != nil {
			p.onClose(p.size)
		}
	})
	return p.ReadCloser.Close()
}
