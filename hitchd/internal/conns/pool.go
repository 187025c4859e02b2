package conns

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Timeouts and limits of connections.
const (
	// dialTimeout bounds the opening of a connection. It is many times the
	// longest round-trip time between regions.
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection.
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
)

// Pool holds the idle connections to upstream servers, by address. It is safe
// for concurrent use.
type Pool struct {
	dialer  *net.Dialer
	headers Headers

	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns an empty pool that uses the given header names.
func New(headers Headers) *Pool {
	return &Pool{dialer: Dialer(), headers: headers, idle: make(map[string][]*conn)}
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that the kernel closes a connection
// whose peer doesn't acknowledge sent bytes.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// conn is a connection to one server.
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
}

// get returns an idle connection to the address, or a new one. Closed reports
// that an idle connection was closed by the server, or had unexpected bytes,
// before its idle timeout; the server may have restarted.
func (p *Pool) get(ctx context.Context, now time.Time, addr string, nonIdempotent bool) (c *conn, closed bool, err error) {
	maxIdle := idleMax
	if nonIdempotent {
		maxIdle = idleNonIdempotent
	}
	for {
		c := p.take(addr)
		if c == nil {
			break
		}
		idle, usable := now.Sub(c.idleSince), c.usable()
		if idle < maxIdle && idle < c.idleTimeout && usable {
			return c, closed, nil
		}
		closed = closed || !usable && idle < c.idleTimeout
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, closed, err
	}
	in := &bounded{conn: raw}
	return &conn{Conn: raw, addr: addr, in: in, reader: bufio.NewReaderSize(in, bufferSize), idleTimeout: idleMax}, closed, nil
}

// bounded reads at most left bytes from the connection.
type bounded struct {
	conn net.Conn
	left int64
}

// Read reads from the connection. It returns errTooLong at the bound.
func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLong
	}
	n, err := b.conn.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

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

func (p *Pool) put(now time.Time, c *conn) {
	c.idleSince, c.reused = now, true
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= maxIdlePerServer {
		_ = c.Close()
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
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}

// usable reports whether the idle connection is open and has received nothing
// since the last response.
func (c *conn) usable() bool { return c.reader.Buffered() == 0 && Usable(c.Conn) }

// Usable reports whether the peer has neither closed the idle connection nor
// written to it. A connection without a file descriptor counts as usable.
func Usable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && usable
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
