package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// echoed returns a link to a server that sends back what it gets, and a
// function that opens a connection through it.
func echoed(t *testing.T) (*Link, func() net.Conn) {
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

// ask sends a byte and waits for it to come back.
func ask(c net.Conn, wait time.Duration) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	return answer(c, wait)
}

func answer(c net.Conn, wait time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

const (
	soon = 10 * time.Second
	not  = 50 * time.Millisecond
)

func TestLinkHoldsBytesOfACutDirection(t *testing.T) {
	for _, d := range []Direction{Forth, Back} {
		l, open := echoed(t)
		c := open()
		if err := ask(c, soon); err != nil {
			t.Fatal(err)
		}
		var f LinkFault
		f.Cut[d] = true
		l.Set(f)
		if err := ask(c, not); !isTimeout(err) {
			t.Errorf("direction %d: error = %v, want a time-out", d, err)
		}
		l.Set(LinkFault{})
		if err := answer(c, soon); err != nil {
			t.Errorf("direction %d: after the cut: %v", d, err)
		}
	}
}

func TestSilentLinkServesNewConnections(t *testing.T) {
	l, open := echoed(t)
	old := open()
	if err := ask(old, soon); err != nil {
		t.Fatal(err)
	}
	l.Silence()
	if err := ask(old, not); !isTimeout(err) {
		t.Errorf("error = %v, want a time-out", err)
	}
	if err := ask(open(), soon); err != nil {
		t.Errorf("new connection: %v", err)
	}
}

func TestLinkResets(t *testing.T) {
	l, open := echoed(t)
	c := open()
	if err := ask(c, soon); err != nil {
		t.Fatal(err)
	}
	l.Reset()
	if err := answer(c, soon); err == nil || isTimeout(err) {
		t.Errorf("error = %v, want a reset", err)
	}
	l.Set(LinkFault{Refuse: true})
	// The reset may come while the connection is being opened, or after it.
	c, err := net.Dial("tcp4", l.Addr())
	if err == nil {
		err = ask(c, soon)
		_ = c.Close()
	}
	if err == nil || isTimeout(err) {
		t.Errorf("new connection: error = %v, want a reset", err)
	}
}
