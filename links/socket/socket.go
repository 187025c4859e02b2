package socket

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// Conn is a TCP connection whose reads return [io.EOF] only if the peer has ended its data in
// order. Use [New] to make one. Its methods may be called concurrently.
type Conn struct {
	net.Conn
	tcp *net.TCPConn
	raw syscall.RawConn

	// mu is held during each system call that writes, so that a reader which finds the end of
	// the data knows the error that such a call took before.
	mu   sync.Mutex
	lost error
}

// New returns the connection as a [Conn], whose owner leaves the connection alone. The error is
// that of a connection which is closed.
func New(t *net.TCPConn) (*Conn, error) {
	raw, err := t.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "access socket")
	}
	return &Conn{Conn: t, tcp: t, raw: raw}, nil
}

// Dial returns a function that opens connections with the dialer, for the field DialContext of
// [net/http.Transport]. Connections over TCP are of type [Conn].
func Dial(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		t, ok := raw.(*net.TCPConn)
		if !ok {
			return raw, nil
		}
		c, err := New(t)
		if err != nil {
			_ = raw.Close()
			return nil, err
		}
		return c, nil
	}
}

// Read reads from the connection. If the connection was lost it returns the error of the call
// that found out instead of [io.EOF].
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		c.record(err)
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost != nil {
		return n, c.opError("read", c.lost)
	}
	return n, io.EOF
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	var failed error
	err := c.raw.Write(func(fd uintptr) bool {
		var wait bool
		for written < len(p) && failed == nil && !wait {
			var n int
			n, wait, failed = c.writeNow(int(fd), p[written:])
			written += n
		}
		return !wait
	})
	switch {
	case failed != nil:
		err = c.opError("write", failed)
	case err != nil:
		var op *net.OpError
		if errors.As(err, &op) {
			op.Op = "write"
		}
	}
	return written, err
}

// writeNow writes what the socket takes now. Wait tells that it takes nothing.
func (c *Conn) writeNow(fd int, p []byte) (n int, wait bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err = syscall.Write(fd, p)
	switch {
	case err == nil:
		return n, false, nil
	case errors.Is(err, syscall.EAGAIN):
		return 0, true, nil
	case errors.Is(err, syscall.EINTR):
		return 0, false, nil
	}
	err = os.NewSyscallError("write", err)
	c.recordLocked(err)
	return 0, false, err
}

// record keeps the error of a call on the socket.
func (c *Conn) record(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordLocked(err)
}

// recordLocked is like record while the lock is held. A broken pipe is no loss of what the peer
// sent: it is the error of a connection that was reset after the peer had ended its data, and of
// each write after the error that was kept.
func (c *Conn) recordLocked(err error) {
	var cause syscall.Errno
	if c.lost == nil && errors.As(err, &cause) && cause != syscall.EPIPE {
		c.lost = cause
	}
}

// opError returns the error of the operation, in the form that package net uses.
func (c *Conn) opError(operation string, err error) error {
	return &net.OpError{Op: operation, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// SyscallConn returns the raw connection. Writes to it aren't known to Read.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// SetLinger is [net.TCPConn.SetLinger].
func (c *Conn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// CloseWrite is [net.TCPConn.CloseWrite].
func (c *Conn) CloseWrite() error { return c.tcp.CloseWrite() }

// SetReadBuffer is [net.TCPConn.SetReadBuffer].
func (c *Conn) SetReadBuffer(bytes int) error { return c.tcp.SetReadBuffer(bytes) }
