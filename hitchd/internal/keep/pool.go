package keep

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/links/head"
	"magnoliahitch/links/socket"
)

// dialTimeout is the maximum time for opening a connection.
const dialTimeout = 500 * time.Millisecond

// errConnections is returned when the server's connection budget is exhausted.
var errConnections = errors.New("connection budget of the server is exhausted")

// pool opens connections to servers within each server's connection budget. It
// holds spare connections, which are opened in advance and not used yet; used ones
// that are idle are held by the HTTP transport.
type pool struct {
	// connect opens a connection.
	connect func(ctx context.Context, network, addr string) (net.Conn, error)

	mu      sync.Mutex
	servers map[string]*serverConns
}

// serverConns holds the budget and the spare connections of one server.
type serverConns struct {
	// open is the number of connections that are open or being opened, limit its
	// maximum.
	open, limit int
	spares      []*conn
}

func newPool() *pool {
	return &pool{connect: socket.Dial(&net.Dialer{Timeout: dialTimeout}), servers: make(map[string]*serverConns)}
}

// setLimit sets how many connections may be open to the address. An address
// with a limit of 0 is removed once no connection to it is open.
func (p *pool) setLimit(addr string, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server(addr).limit = limit
	p.removeUnused(addr)
}

// removeUnused removes the address if its limit is 0 and no connection to it is
// open. The lock is held.
func (p *pool) removeUnused(addr string) {
	if s := p.servers[addr]; s != nil && s.limit == 0 && s.open == 0 {
		delete(p.servers, addr)
	}
}

// server returns the connections of the address, which it adds if needed. The
// lock is held.
func (p *pool) server(addr string) *serverConns {
	s := p.servers[addr]
	if s == nil {
		s = &serverConns{}
		p.servers[addr] = s
	}
	return s
}

// dial returns a spare connection that the server hasn't closed, or else opens a
// new one. It closes spares that the server closed.
func (p *pool) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	for {
		c := p.take(addr)
		if c == nil {
			return p.open(ctx, addr)
		}
		if conns.Usable(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
}

// take removes the spare connection that was added last and returns it, or nil
// when there is none.
func (p *pool) take(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[addr]
	if s == nil || len(s.spares) == 0 {
		return nil
	}
	c := s.spares[len(s.spares)-1]
	s.spares = s.spares[:len(s.spares)-1]
	return c
}

// open opens a connection unless the budget is exhausted.
func (p *pool) open(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	s := p.server(addr)
	if s.open >= s.limit {
		p.mu.Unlock()
		return nil, errors.Wrapf(errConnections, "open connection to %s", addr)
	}
	s.open++
	p.mu.Unlock()
	raw, err := p.connect(ctx, "tcp", addr)
	if err != nil {
		p.closed(addr)
		return nil, err
	}
	return &conn{Conn: raw, closed: sync.OnceFunc(func() { p.closed(addr) })}, nil
}

// closed subtracts a closed connection from the number of open ones.
func (p *pool) closed(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server(addr).open--
	p.removeUnused(addr)
}

// warm closes the spares that the server closed and opens spares until the wanted
// number of connections is open or the limit is reached.
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
		s.spares = append(s.spares, c)
		p.mu.Unlock()
	}
}

// prune closes the spares that the server has closed.
func (p *pool) prune(addr string) {
	p.mu.Lock()
	s := p.server(addr)
	spares := s.spares
	s.spares = nil
	p.mu.Unlock()
	for _, c := range spares {
		if !conns.Usable(c.Conn) {
			_ = c.Close()
			continue
		}
		p.mu.Lock()
		s.spares = append(s.spares, c)
		p.mu.Unlock()
	}
}

// closeSpares closes the spares of an address that gets no more requests.
func (p *pool) closeSpares(addr string) {
	for c := p.take(addr); c != nil; c = p.take(addr) {
		_ = c.Close()
	}
}

// counts returns the number of open connections to the address and the number of
// spares among them.
func (p *pool) counts(addr string) (open, spare int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(addr)
	return s.open, len(s.spares)
}

// conn is a connection to a server. It writes only for the attempt that currently
// owns it.
type conn struct {
	net.Conn
	attempt atomic.Pointer[attempt]
	// exchange is held by the attempt that owns the connection, until its response was
	// looked at.
	exchange sync.Mutex
	// ended is set once a response on the connection refused a request or had no valid status.
	ended  atomic.Bool
	closed func()

	// mu guards the check of the header of the response to the attempt. Scanner is nil outside
	// of a header, and invalid is its error, after which nothing more is read.
	mu      sync.Mutex
	scanner *head.Scanner
	invalid error
}

// expect begins the check of the header of the next response.
func (c *conn) expect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner = &head.Scanner{}
}

// invalidHeader returns the error of the header, nil if it was valid so far.
func (c *conn) invalidHeader() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.invalid
}

// Read reads from the connection. It returns [head.ErrInvalid] instead of the bytes of an invalid
// header.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if invalid := c.scan(b[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// scan checks those of the bytes that belong to a header.
func (c *conn) scan(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.scanner != nil && len(b) > 0 && c.invalid == nil {
		n, done, err := c.scanner.Scan(b)
		b, c.invalid = b[n:], err
		switch {
		case done && c.scanner.Interim():
			c.scanner = &head.Scanner{}
		case done:
			c.scanner = nil
		}
	}
	return c.invalid
}

// resetOnClose sets whether the close of the connection resets it, so that bytes which a cut
// holds up don't reach the server later, also when this process ends.
func (c *conn) resetOnClose(on bool) {
	t, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	seconds := -1
	if on {
		seconds = 0
	}
	// It fails only on a connection that is closed.
	_ = t.SetLinger(seconds)
}

// Write writes b if the attempt that owns the connection allows it.
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

// Close closes the connection and frees its share of the budget.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closed()
	return err
}
