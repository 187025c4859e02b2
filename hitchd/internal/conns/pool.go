package conns

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"magnoliahitch/links/head"
	"magnoliahitch/links/socket"
	"magnoliahitch/steer/quota"
)

// Timeouts and limits of connections.
const (
	// dialTimeout bounds the opening of a connection. It is many times the
	// longest round-trip time between regions.
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection. It counts a peer without room for them too, so that
	// a streamed body has until the deadline.
	unackedTimeout = 1500 * time.Millisecond
	// probeInterval and probeCount are the TCP keep-alive settings that detect an
	// unreachable peer.
	probeInterval = time.Second
	probeCount    = 2
	// idleMax is how long an idle connection may be reused. A server can announce
	// a shorter time in its Keep-Alive header.
	idleMax = 4 * time.Second
	// idleNonIdempotent is the same limit for requests that aren't idempotent,
	// which can't be retried if the server closes the connection meanwhile. The
	// shorter a connection was idle, the less likely that is.
	idleNonIdempotent = 2 * time.Second
	// bufferSize is the size of a connection's read buffer in bytes.
	bufferSize = 2 << 10
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 8
	// maxCarried is the number of requests after which a connection isn't reused.
	maxCarried = 512
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Pool holds the idle connections to upstream servers, by address. It is safe
// for concurrent use.
type Pool struct {
	dial    dialFunc
	headers Headers
	quota   *quota.Quota

	mu   sync.Mutex
	idle map[string][]*conn
}

// Option configures a [Pool].
type Option func(*Pool)

// WithQuota sets the bound of the bytes that are held for responses. Without it the pool has
// a bound of its own.
func WithQuota(q *quota.Quota) Option { return func(p *Pool) { p.quota = q } }

// New returns an empty pool that uses the given header names.
func New(headers Headers, options ...Option) *Pool {
	p := &Pool{dial: socket.Dial(Dialer()), headers: headers, quota: quota.New(quota.Of(0)), idle: make(map[string][]*conn)}
	for _, o := range options {
		o(p)
	}
	return p
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that the kernel closes a connection
// whose peer doesn't acknowledge sent bytes.
func setUserTimeout(_, _ string, c syscall.RawConn) error { return setUnacked(c, unackedTimeout) }

// setUnacked sets how long sent bytes may stay unacknowledged, or wait for room at the peer.
func setUnacked(c syscall.RawConn, d time.Duration) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// setUnacked is like the function for the connection. Without a socket it does nothing.
func (c *conn) setUnacked(d time.Duration) error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return setUnacked(raw, d)
}

// conn is a connection to one server. Close resets it, and bytes that the server hasn't got
// are lost.
type conn struct {
	net.Conn
	addr string
	// in bounds what reader reads.
	in     *bounded
	reader *bufio.Reader
	// idleSince is when the connection became idle. idleTimeout is how long it may
	// stay idle: the time that keepAliveTimeout returned for the server's latest
	// announcement, or idleMax without one.
	idleSince   time.Time
	idleTimeout time.Duration
	// reused is set once the connection has carried an exchange.
	reused bool
	// narrow is set once the kernel holds few bytes of the connection, which makes it slow.
	narrow bool
	// carried holds the hashes of the ids of all requests on the connection.
	carried []uint64
	// server is the id of the server that has responded on the connection, "" before
	// that.
	server string
}

// idleConn returns an idle connection to the address for the request, nil if there is none.
// It returns none on which the server may have left a response that can't be told from the
// one to the request: the connection has carried a request with the same id, or the request
// has no id. Closed reports that the server closed an idle connection before its idle
// timeout, dirty that one had unexpected bytes.
func (p *Pool) idleConn(now time.Time, addr string, r *Request) (found *conn, closed, dirty bool) {
	maxIdle := idleMax
	if r.NonIdempotent {
		maxIdle = idleNonIdempotent
	}
	var kept []*conn
	for found == nil {
		c := p.take(addr)
		if c == nil {
			break
		}
		idle, state := now.Sub(c.idleSince), c.idleState()
		switch {
		case idle >= maxIdle || idle >= c.idleTimeout || state != stateUsable:
			if idle < c.idleTimeout {
				closed = closed || state == stateClosed
				dirty = dirty || state == stateDirty
			}
			c.end()
		case c.confuses(r.ID):
			kept = append(kept, c)
		default:
			found = c
		}
	}
	p.putBack(addr, kept)
	return found, closed, dirty
}

// confuses reports whether a response that the server left on the connection could pass for
// the one to a request with the id.
func (c *conn) confuses(id string) bool {
	return id == "" || slices.Contains(c.carried, xxhash.Sum64String(id))
}

// open opens a connection to the address.
func (p *Pool) open(ctx context.Context, addr string) (*conn, error) {
	raw, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if t, ok := raw.(lingerer); ok {
		// Bytes that a cut holds up would reach the server after their attempt was given up,
		// also one that this process doesn't outlive.
		if err := t.SetLinger(0); err != nil {
			_ = raw.Close()
			return nil, errors.Wrap(err, "set linger")
		}
	}
	in := &bounded{conn: raw}
	return &conn{Conn: raw, addr: addr, in: in, reader: bufio.NewReaderSize(in, bufferSize), idleTimeout: idleMax}, nil
}

// lingerer is a connection whose close can reset it.
type lingerer interface{ SetLinger(seconds int) error }

// end closes the connection in order: the server gets all bytes that were written.
func (c *conn) end() {
	if t, ok := c.Conn.(lingerer); ok {
		_ = t.SetLinger(-1)
	}
	_ = c.Close()
}

// bounded reads at most left bytes from the connection.
type bounded struct {
	conn net.Conn
	left int64
	// head checks the bytes of the header of a response, nil outside of one. Invalid is its
	// error, after which nothing more is read.
	head    *head.Scanner
	invalid error
}

// Read reads from the connection. It returns errTooLong at the bound, and [ErrInvalidHeader]
// instead of the bytes of an invalid header.
func (b *bounded) Read(p []byte) (int, error) {
	switch {
	case b.invalid != nil:
		return 0, b.invalid
	case b.left <= 0:
		return 0, errTooLong
	}
	n, err := b.conn.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if b.scan(p[:n]); b.invalid != nil {
		return 0, b.invalid
	}
	return n, err
}

// scan checks those of the bytes that belong to a header.
func (b *bounded) scan(p []byte) {
	if b.head == nil {
		return
	}
	var done bool
	if _, done, b.invalid = b.head.Scan(p); done {
		b.head = nil
	}
}

// take removes the connection that became idle last and returns it, nil if there is none.
func (p *Pool) take(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// putBack returns idle connections that were taken, the last one first.
func (p *Pool) putBack(addr string, list []*conn) {
	if len(list) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range slices.Backward(list) {
		p.idle[addr] = append(p.idle[addr], c)
	}
}

func (p *Pool) put(now time.Time, c *conn) {
	c.idleSince, c.reused = now, true
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.narrow || len(p.idle[c.addr]) >= maxIdlePerServer || len(c.carried) >= maxCarried {
		c.end()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Prune closes the connections that have been idle for too long, and all
// connections to addresses that are not in use.
func (p *Pool) Prune(now time.Time, used map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if used[addr] && now.Sub(c.idleSince) < min(idleMax, c.idleTimeout) {
				kept = append(kept, c)
				continue
			}
			c.end()
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}

// idleState is the state of an idle connection.
type idleState uint8

const (
	// stateUsable connections are open and have received nothing since the last response.
	stateUsable idleState = iota
	// stateDirty connections have received unexpected bytes.
	stateDirty
	// stateClosed connections were closed by the peer.
	stateClosed
)

func (c *conn) idleState() idleState {
	if c.reader.Buffered() > 0 {
		return stateDirty
	}
	return peek(c.Conn)
}

// Usable reports whether the peer has neither closed the idle connection nor
// written to it. A connection without a file descriptor counts as usable.
func Usable(c net.Conn) bool { return peek(c) == stateUsable }

func peek(c net.Conn) idleState {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return stateUsable
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return stateClosed
	}
	state := stateClosed
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = stateUsable
		case err == nil && n > 0:
			state = stateDirty
		}
		return true
	})
	if err != nil {
		return stateClosed
	}
	return state
}

// Dialer returns a dialer whose connections fail within a few seconds when their
// peer is unreachable.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control:         setUserTimeout,
	}
}
