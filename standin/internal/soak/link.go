package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Direction is the way that bytes take through a link.
type Direction int

// Directions.
const (
	// Forth is towards the target, Back from it.
	Forth Direction = iota
	Back
)

// linkBuffer is the largest piece that is passed on at once, in bytes.
const linkBuffer = 16 << 10

// LinkFault is what is wrong with a link. The zero value passes everything on.
type LinkFault struct {
	// Delay is added to each piece.
	Delay time.Duration
	// Cut holds the bytes of a direction back until the fault ends.
	Cut [2]bool
	// Refuse resets new connections.
	Refuse bool
}

// Link is a loopback proxy to one address.
type Link struct {
	listener net.Listener
	source   net.Addr

	mu      sync.Mutex
	target  string
	fault   LinkFault
	changed chan struct{}
	pipes   map[*pipe]bool
}

// pipe is one connection through a link.
type pipe struct {
	near, far *net.TCPConn
	// silent holds all bytes back for good; done is closed at the end.
	silent, done         chan struct{}
	silentOnce, doneOnce sync.Once
}

// NewLink listens on the address and passes connections on to the target, from
// the source address if there is one. It ends with the context.
func NewLink(ctx context.Context, listen, target, source string) (*Link, error) {
	ln, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s for %s", listen, target)
	}
	l := &Link{listener: ln, target: target, changed: make(chan struct{}), pipes: make(map[*pipe]bool)}
	if source != "" {
		l.source = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	context.AfterFunc(ctx, func() {
		_ = ln.Close()
		l.Reset()
	})
	go l.accept()
	return l, nil
}

// Addr returns the address at which the link listens.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Set changes what is wrong with the link.
func (l *Link) Set(f LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// Aim makes new connections go to another target.
func (l *Link) Aim(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// Reset resets the open connections.
func (l *Link) Reset() {
	for _, p := range l.open() {
		p.reset()
	}
}

// Silence makes the open connections silent for good, while new ones work.
func (l *Link) Silence() {
	for _, p := range l.open() {
		p.silentOnce.Do(func() { close(p.silent) })
	}
}

func (l *Link) open() []*pipe {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*pipe, 0, len(l.pipes))
	for p := range l.pipes {
		out = append(out, p)
	}
	return out
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.carry(c.(*net.TCPConn))
	}
}

// carry passes one connection on until both sides ended.
func (l *Link) carry(near *net.TCPConn) {
	l.mu.Lock()
	target, refuse := l.target, l.fault.Refuse
	l.mu.Unlock()
	d := net.Dialer{LocalAddr: l.source}
	var far net.Conn
	var err error
	if !refuse {
		far, err = d.Dial("tcp4", target)
	}
	if refuse || err != nil {
		abort(near)
		return
	}
	p := &pipe{near: near, far: far.(*net.TCPConn), silent: make(chan struct{}), done: make(chan struct{})}
	l.mu.Lock()
	l.pipes[p] = true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pump(p, p.far, p.near, Forth) })
	both.Go(func() { l.pump(p, p.near, p.far, Back) })
	both.Wait()
	l.mu.Lock()
	delete(l.pipes, p)
	l.mu.Unlock()
	_ = p.near.Close()
	_ = p.far.Close()
}

// pump passes on what comes from one side of the pipe, its end included.
func (l *Link) pump(p *pipe, to, from *net.TCPConn, d Direction) {
	b := make([]byte, linkBuffer)
	for {
		n, err := from.Read(b)
		if !l.pass(p, d) {
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

// pass waits until bytes of the direction may go on. It reports false when the
// pipe ended meanwhile.
func (l *Link) pass(p *pipe, d Direction) bool {
	for {
		l.mu.Lock()
		f, changed := l.fault, l.changed
		l.mu.Unlock()
		select {
		case <-p.silent:
			<-p.done
			return false
		default:
		}
		if !f.Cut[d] {
			time.Sleep(f.Delay)
			return true
		}
		select {
		case <-changed:
		case <-p.silent:
		case <-p.done:
			return false
		}
	}
}

// reset ends both sides of the pipe with a reset.
func (p *pipe) reset() {
	abort(p.near)
	abort(p.far)
	p.doneOnce.Do(func() { close(p.done) })
}

// abort closes a connection with a reset.
func abort(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
