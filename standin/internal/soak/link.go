package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/socket"
)

// Direction is the direction of bytes through a link.
type Direction int

// Directions.
const (
	// Forth is to the target, Back is from it.
	Forth Direction = iota
	Back
)

// linkBuffer is the largest chunk that is forwarded at once, in bytes.
const linkBuffer = 16 << 10

// LinkFault is the fault of a link. With the zero value it forwards everything at once.
type LinkFault struct {
	// Delay is the delay of each chunk.
	Delay time.Duration
	// Block blocks a direction, by index. Its bytes are forwarded once the fault has ended.
	Block [2]bool
	// Refuse resets new connections.
	Refuse bool
}

// Link is a TCP proxy to one address, on loopback.
type Link struct {
	addr   string
	source net.Addr

	mu       sync.Mutex
	listener net.Listener
	target   string
	fault    LinkFault
	changed  chan struct{}
	pipes    map[*pipe]bool
}

// pipe is one connection through a link.
type pipe struct {
	near, far *socket.Conn
	// blocked is closed to block both directions for good, done when the pipe is reset.
	blocked, done       chan struct{}
	blockOnce, doneOnce sync.Once
}

// NewLink listens on the address and forwards connections to the target, from
// the source IP address unless that is empty. The link closes when the context ends.
func NewLink(ctx context.Context, listen, target, source string) (*Link, error) {
	ln, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s for %s", listen, target)
	}
	l := &Link{addr: ln.Addr().String(), listener: ln, target: target, changed: make(chan struct{}), pipes: make(map[*pipe]bool)}
	if source != "" {
		l.source = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	context.AfterFunc(ctx, func() {
		l.Stop()
	})
	go l.accept(ln)
	return l, nil
}

// Addr returns the address that the link listens on.
func (l *Link) Addr() string { return l.addr }

// Set replaces the link's fault.
func (l *Link) Set(f LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetTarget sets the target of new connections.
func (l *Link) SetTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// Reset closes the open connections with a TCP reset.
func (l *Link) Reset() {
	for _, p := range l.openPipes() {
		p.reset()
	}
}

// Block blocks the open connections for good without closing them. New connections work.
func (l *Link) Block() {
	for _, p := range l.openPipes() {
		p.blockOnce.Do(func() { close(p.blocked) })
	}
}

func (l *Link) openPipes() []*pipe {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*pipe, 0, len(l.pipes))
	for p := range l.pipes {
		out = append(out, p)
	}
	return out
}

// Stop resets the open connections and refuses new ones, as at the end of the process
// that listens.
func (l *Link) Stop() {
	l.mu.Lock()
	_ = l.listener.Close()
	l.mu.Unlock()
	l.Reset()
}

// Resume accepts connections again after Stop.
func (l *Link) Resume() error {
	ln, err := net.Listen("tcp4", l.addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s again", l.addr)
	}
	l.mu.Lock()
	l.listener = ln
	l.mu.Unlock()
	go l.accept(ln)
	return nil
}

func (l *Link) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		near, err := socket.New(c.(*net.TCPConn))
		if err != nil {
			// Closed already.
			continue
		}
		go l.proxy(near)
	}
}

// proxy forwards one connection until both directions have ended.
func (l *Link) proxy(near *socket.Conn) {
	l.mu.Lock()
	target, refuse := l.target, l.fault.Refuse
	l.mu.Unlock()
	var far net.Conn
	var err error
	if !refuse {
		far, err = socket.Dial(&net.Dialer{LocalAddr: l.source})(context.Background(), "tcp4", target)
	}
	if refuse || err != nil {
		abort(near)
		return
	}
	p := &pipe{near: near, far: far.(*socket.Conn), blocked: make(chan struct{}), done: make(chan struct{})}
	l.mu.Lock()
	l.pipes[p] = true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.forward(p, p.far, p.near, Forth) })
	both.Go(func() { l.forward(p, p.near, p.far, Back) })
	both.Wait()
	l.mu.Lock()
	delete(l.pipes, p)
	l.mu.Unlock()
	_ = p.near.Close()
	_ = p.far.Close()
}

// forward copies bytes from one side of the pipe to the other, and then the end
// of the stream. Any other error resets the pipe.
func (l *Link) forward(p *pipe, to, from *socket.Conn, d Direction) {
	b := make([]byte, linkBuffer)
	for {
		n, err := from.Read(b)
		if !l.waitToForward(p, d) {
			return
		}
		if n > 0 {
			if _, failed := to.Write(b[:n]); failed != nil {
				p.reset()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			p.reset()
			return
		}
	}
}

// waitToForward waits until bytes of the direction may be forwarded. It reports
// false when the pipe was reset meanwhile.
func (l *Link) waitToForward(p *pipe, d Direction) bool {
	for {
		l.mu.Lock()
		f, changed := l.fault, l.changed
		l.mu.Unlock()
		select {
		case <-p.blocked:
			<-p.done
			return false
		default:
		}
		if !f.Block[d] {
			time.Sleep(f.Delay)
			return true
		}
		select {
		case <-changed:
		case <-p.blocked:
		case <-p.done:
			return false
		}
	}
}

// reset closes both sides of the pipe with a TCP reset.
func (p *pipe) reset() {
	abort(p.near)
	abort(p.far)
	p.doneOnce.Do(func() { close(p.done) })
}

// resetter is a connection whose close can reset it.
type resetter interface {
	SetLinger(seconds int) error
	Close() error
}

// abort closes a connection with a TCP reset.
func abort(c resetter) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
