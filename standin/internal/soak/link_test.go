package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/socket"
)

// newEchoLink returns a link to an echo server, and a function that opens a
// connection through it.
func newEchoLink(t *testing.T) (*Link, func() net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	l, err := NewLink(t.Context(), "127.0.0.1:0", ln.Addr().String(), "")
	if err != nil {
		t.Fatal(err)
	}
	return l, func() net.Conn {
		c, err := net.Dial("tcp4", l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// A server's reset stays one on its way through a link, also when the link is still sending to the
// server. The link's write got the error of the socket, and its read an orderly end.
func TestResetStaysReset(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "part")
			time.Sleep(2 * time.Millisecond)
			abort(c.(*net.TCPConn))
		}
	}()
	l, err := NewLink(t.Context(), "127.0.0.1:0", ln.Addr().String(), "")
	if err != nil {
		t.Fatal(err)
	}
	ended := 0
	for range 50 {
		c, err := socket.Dial(&net.Dialer{})(t.Context(), "tcp4", l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = c.Write(make([]byte, 8<<20)) }()
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.Copy(io.Discard, c); err == nil {
			ended++
		}
		_ = c.Close()
	}
	if ended > 0 {
		t.Errorf("%d of 50 connections that a server reset ended in order", ended)
	}
}

// roundTrip sends a byte and waits until it is echoed.
func roundTrip(c net.Conn, wait time.Duration) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	return readByte(c, wait)
}

func readByte(c net.Conn, wait time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

const (
	longWait  = 10 * time.Second
	shortWait = 50 * time.Millisecond
)

func TestLinkBuffersBytesOfBlockedDirection(t *testing.T) {
	for _, d := range []Direction{Forth, Back} {
		l, open := newEchoLink(t)
		c := open()
		if err := roundTrip(c, longWait); err != nil {
			t.Fatal(err)
		}
		var f LinkFault
		f.Block[d] = true
		l.Set(f)
		if err := roundTrip(c, shortWait); !isTimeout(err) {
			t.Errorf("direction %d: error = %v, want a timeout", d, err)
		}
		l.Set(LinkFault{})
		if err := readByte(c, longWait); err != nil {
			t.Errorf("direction %d: after the block ended: %v", d, err)
		}
	}
}

func TestBlockedLinkServesNewConnections(t *testing.T) {
	l, open := newEchoLink(t)
	old := open()
	if err := roundTrip(old, longWait); err != nil {
		t.Fatal(err)
	}
	l.Block()
	if err := roundTrip(old, shortWait); !isTimeout(err) {
		t.Errorf("error = %v, want a timeout", err)
	}
	if err := roundTrip(open(), longWait); err != nil {
		t.Errorf("new connection: %v", err)
	}
}

func TestLinkResets(t *testing.T) {
	l, open := newEchoLink(t)
	c := open()
	if err := roundTrip(c, longWait); err != nil {
		t.Fatal(err)
	}
	l.Reset()
	if err := readByte(c, longWait); err == nil || isTimeout(err) {
		t.Errorf("error = %v, want a reset", err)
	}
	l.Set(LinkFault{Refuse: true})
	// The reset may arrive while the connection is being opened, or afterwards.
	c, err := net.Dial("tcp4", l.Addr())
	if err == nil {
		err = roundTrip(c, longWait)
		_ = c.Close()
	}
	if err == nil || isTimeout(err) {
		t.Errorf("new connection: error = %v, want a reset", err)
	}
}
