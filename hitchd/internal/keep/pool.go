package keep

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/hitchd/internal/conns"
)

// dialTimeout bounds the opening of a connection.
const dialTimeout = 500 * time.Millisecond

// errConnections reports a server whose connection budget is used up.
var errConnections = errors.New("connection budget of the server is used up")

// pool opens connections to servers, counts them against each server's budget
// and keeps some opened ahead of need.
type pool struct {
	dialer net.Dialer

	mu      sync.Mutex
	servers map[string]*spares
}

// spares are the connections to one server.
type spares struct {
	// open counts the connections that are open or being opened.
	open, limit int
	idle        []*conn
}

func newPool() *pool {
	return &pool{dialer: net.Dialer{Timeout: dialTimeout}, servers: make(map[string]*spares)}
}

// setLimit sets how many connections may be open to the address. An address
// with a limit of 0 is forgotten once nothing is open to it.
func (p *pool) setLimit(addr string, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server(addr).limit = limit
	p.forget(addr)
}

func (p *pool) forget(addr string) {
	if s := p.servers[addr]; s != nil && s.limit == 0 && s.open == 0 {
		delete(p.servers, addr)
	}
}

func (p *pool) server(addr string) *spares {
	s := p.servers[addr]
	if s == nil {
		s = &spares{}
		p.servers[addr] = s
	}
	return s
}

// dial returns a connection that was opened ahead, or a new one.
func (p *pool) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	for {
		c := p.take(addr)
		if c == nil {
			return p.open(ctx, addr)
		}
		if conns.Quiet(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *pool) take(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[addr]
	if s == nil || len(s.idle) == 0 {
		return nil
	}
	c := s.idle[len(s.idle)-1]
	s.idle = s.idle[:len(s.idle)-1]
	return c
}

// open opens a connection unless the budget is used up.
func (p *pool) open(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	s := p.server(addr)
	if s.open >= s.limit {
		p.mu.Unlock()
		return nil, errors.Wrapf(errConnections, "open connection to %s", addr)
	}
	s.open++
	p.mu.Unlock()
	raw, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.closed(addr)
		return nil, err
	}
	return &conn{Conn: raw, closed: sync.OnceFunc(func() { p.closed(addr) })}, nil
}

func (p *pool) closed(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server(addr).open--
	p.forget(addr)
}

// warm opens connections until the number is open, and drops dead spares.
func (p *pool) warm(ctx context.Context, addr string, want int) error {
	p.prune(addr)
	for {
		p.mu.Lock()
		s := p.server(addr)
		enough := s.open >= min(want, s.limit)
		p.mu.Unlock()
		if enough {
			return nil
		}
		c, err := p.open(ctx, addr)
		if err != nil {
			return err
		}
		p.mu.Lock()
		s.idle = append(s.idle, c)
		p.mu.Unlock()
	}
}

func (p *pool) prune(addr string) {
	p.mu.Lock()
	s := p.server(addr)
	idle := s.idle
	s.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		if !conns.Quiet(c.Conn) {
			_ = c.Close()
			continue
		}
		p.mu.Lock()
		s.idle = append(s.idle, c)
		p.mu.Unlock()
	}
}

// cool closes the spares of an address that is no more used.
func (p *pool) cool(addr string) {
	for c := p.take(addr); c != nil; c = p.take(addr) {
		_ = c.Close()
	}
}

// counts returns the connections open to the address and the spares among them.
func (p *pool) counts(addr string) (open, spare int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(addr)
	return s.open, len(s.idle)
}

// conn is a connection to a server. It writes only for the attempt that owns it.
type conn struct {
	net.Conn
	attempt atomic.Pointer[attempt]
	closed  func()
}

// Write writes for the owner, after the owner was asked.
func (c *conn) Write(b []byte) (int, error) {
	a := c.attempt.Load()
	if a == nil {
		return 0, errNoAttempt
	}
	if err := a.begin(c); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection and gives its place in the budget back.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closed()
	return err
}
