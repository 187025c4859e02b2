package pipe

import (
	"bytes"
	"net/http"

	"magnoliahitch/steer/quota"
)

// freeHead is the number of bytes of a head that count in no quota.
const freeHead = 16 << 10

// Heads bounds the heads of requests.
type Heads interface {
	// HeadLimit returns the length of the longest allowed head in bytes, 0 for no limit.
	HeadLimit() int
	// HeadQuota returns the quota in which the bytes of a head beyond 16 KiB count.
	HeadQuota() *quota.Quota
	// RefuseHead returns the response to a request whose head is longer than the limit, or
	// else got no bytes of the quota.
	RefuseHead(tooLong bool) *http.Response
}

// WithHeads bounds the heads of requests. A request whose head isn't allowed reaches no handler,
// and its connection ends with the response. Without it, or with nil, only the server's bound
// of each head applies.
func WithHeads(h Heads) Option { return func(l *Listener) { l.heads = h } }

// tooLong reports whether a head of n bytes is longer than the limit.
func (l *Listener) tooLong(n int) bool {
	if l.heads == nil {
		return false
	}
	limit := l.heads.HeadLimit()
	return limit > 0 && n > limit
}

// headBytes counts the bytes of the head that the main lane gets or whose request runs.
type headBytes struct {
	length int
	// quota is the one of which the head has the held bytes, nil without any.
	quota *quota.Quota
	held  int64
	// refusal is the response if the head isn't allowed.
	refusal *http.Response
}

// growHead adds the next n bytes of the main lane's head and reports whether it is allowed.
func (c *caller) growHead(n int) bool {
	b, h := &c.headBytes, c.listener.heads
	if h == nil || c.main.closed {
		return true
	}
	b.length += n
	if c.listener.tooLong(b.length) {
		b.refusal = h.RefuseHead(true)
		return false
	}
	if more := int64(b.length-freeHead) - b.held; more > 0 {
		if b.quota == nil {
			b.quota = h.HeadQuota()
		}
		if !b.quota.Take(more) {
			b.refusal = h.RefuseHead(false)
			return false
		}
		b.held += more
	}
	return true
}

// clear gives the bytes back.
func (b *headBytes) clear() {
	if b.quota != nil {
		b.quota.Return(b.held)
	}
	*b = headBytes{}
}

// refuseHead responds to the request of the main lane, whose head isn't allowed, in its turn.
func (c *caller) refuseHead() {
	e := c.main.exchange
	res := c.headBytes.refusal
	c.headBytes.clear()
	c.ahead.consume(len(c.ahead.bytes))
	c.last, e.refused = true, true
	var b bytes.Buffer
	// The buffer and the body, which is in memory, return no errors.
	_ = res.Write(&b)
	if !e.turn {
		e.held = b.Bytes()
		return
	}
	c.mu.Unlock()
	_, err := c.write(b.Bytes())
	c.mu.Lock()
	if err != nil {
		c.end(err)
	}
}
