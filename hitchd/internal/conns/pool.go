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

// Times and sizes of connections.
const (
	// dialTimeout bounds the opening of a connection. It is many times the
	// longest round trip between regions.
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay without acknowledgement
	// before the connection counts as dead.
	unackedTimeout = 1500 * time.Millisecond
	// probeInterval and probeCount detect a peer that vanished.
	probeInterval = time.Second
	probeCount    = 2
	// idleMax is how long a connection is kept unused. Upstreams announce
	// shorter times in Keep-Alive.
	idleMax = 4 * time.Second
	// idleExact is the same for requests that must not be lost: the shorter a
	// connection was idle, the less likely its server is just closing it.
	idleExact = 2 * time.Second
	// bufferSize is the read buffer of a connection in bytes.
	bufferSize = 2 << 10
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 8
)

// Pool keeps the connections to the upstream servers.
type Pool struct {
	dialer *net.Dialer
	words  Words

	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns an empty pool that speaks with the header names.
func New(words Words) *Pool {
	return &Pool{dialer: Dialer(), words: words, idle: make(map[string][]*conn)}
}

// limitUnacked makes the kernel give up a connection whose peer is silent.
func limitUnacked(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// conn is a connection to one server.
type conn struct {
	net.Conn
	addr   string
	reader *bufio.Reader
	// since is when it became idle, keep how long its server keeps it.
	since time.Time
	keep  time.Duration
	// used tells that it carried an exchange before.
	used bool
}

// get returns an idle connection to the address, or a new one. Closed tells
// that the server closed a connection that it would have kept.
func (p *Pool) get(ctx context.Context, now time.Time, addr string, exact bool) (c *conn, closed bool, err error) {
	longest := idleMax
	if exact {
		longest = idleExact
	}
	for {
		c := p.take(addr)
		if c == nil {
			break
		}
		idle, quiet := now.Sub(c.since), c.quiet()
		if idle < longest && idle < c.keep && quiet {
			return c, closed, nil
		}
		closed = closed || !quiet && idle < c.keep
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, closed, err
	}
	return &conn{Conn: raw, addr: addr, reader: bufio.NewReaderSize(raw, bufferSize), keep: idleMax}, closed, nil
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
	c.since, c.used = now, true
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= maxIdlePerServer {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Prune closes the connections that have been idle too long, and all to
// addresses that are not in use.
func (p *Pool) Prune(now time.Time, used map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if used[addr] && now.Sub(c.since) < min(idleMax, c.keep) {
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

// quiet reports whether nothing came on the connection since the last answer.
func (c *conn) quiet() bool { return c.reader.Buffered() == 0 && Quiet(c.Conn) }

// Quiet reports whether the peer has neither closed the idle connection nor
// written to it.
func Quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// Dialer returns a dialer whose connections end when their peer falls silent.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control:         limitUnacked,
	}
}
