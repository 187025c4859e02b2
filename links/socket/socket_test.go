package socket

import (
	"context"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// connect returns both ends of a connection, the first one as [Dial] makes it.
func connect(t *testing.T) (near net.Conn, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err = Dial(&net.Dialer{})(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = near.Close(), c.Close() })
	_ = near.SetDeadline(time.Now().Add(10 * time.Second))
	return near, c.(*net.TCPConn)
}

// reset resets the connection and waits until the other end has got that.
func reset(t *testing.T, c *net.TCPConn) {
	t.Helper()
	if err := c.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
}

// A write takes the error of the socket. The read after it returned the end of the data.
func TestResetSeenByWriteIsNoEnd(t *testing.T) {
	near, far := connect(t)
	if _, err := io.WriteString(far, "part"); err != nil {
		t.Fatal(err)
	}
	reset(t, far)
	if _, err := near.Write([]byte("x")); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("write: error %v, want %v", err, syscall.ECONNRESET)
	}
	for range 2 {
		data, err := io.ReadAll(near)
		if err == nil || !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read %q, error %v, want %v", data, err, syscall.ECONNRESET)
		}
	}
}

// A read that fails takes the error too, so that the next one would return the end of the data.
func TestReadAfterResetIsNoEnd(t *testing.T) {
	near, far := connect(t)
	reset(t, far)
	for range 2 {
		if n, err := near.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read %d bytes, error %v, want %v", n, err, syscall.ECONNRESET)
		}
	}
}

// A peer that doesn't acknowledge what it gets costs the connection, which isn't an end either.
func TestTimeoutSeenByWriteIsNoEnd(t *testing.T) {
	near, far := connect(t)
	if _, err := io.WriteString(far, "part"); err != nil {
		t.Fatal(err)
	}
	c := near.(*Conn)
	// The kernel gives such an error by itself only after a time without acknowledgements.
	c.record(&net.OpError{Op: "write", Err: syscall.ETIMEDOUT})
	if err := far.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if data, err := io.ReadAll(near); string(data) != "part" || !errors.Is(err, syscall.ETIMEDOUT) {
		t.Errorf("read %q, error %v, want the part and %v", data, err, syscall.ETIMEDOUT)
	}
}

// A peer may end its data and reset the connection later, since it leaves unread what it gets.
func TestResetAfterTheEnd(t *testing.T) {
	near, far := connect(t)
	if _, err := io.WriteString(far, "whole"); err != nil {
		t.Fatal(err)
	}
	if err := far.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if _, err := near.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	// Unread bytes reset the connection.
	if err := far.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if _, err := near.Write([]byte("x")); !errors.Is(err, syscall.EPIPE) {
		t.Fatalf("write: error %v, want %v", err, syscall.EPIPE)
	}
	if data, err := io.ReadAll(near); string(data) != "whole" || err != nil {
		t.Errorf("read %q, error %v, want the whole data", data, err)
	}
}

// The end of the data is read at once while a write waits for room at the peer.
func TestEndDuringAWrite(t *testing.T) {
	near, far := connect(t)
	ended := make(chan error, 1)
	go func() {
		_, err := near.Write(make([]byte, 64<<20))
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond)
	if _, err := io.WriteString(far, "whole"); err != nil {
		t.Fatal(err)
	}
	if err := far.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if data, err := io.ReadAll(near); string(data) != "whole" || err != nil {
		t.Errorf("read %q, error %v, want the whole data", data, err)
	}
	select {
	case err := <-ended:
		t.Errorf("write ended with %v before the read, want it to wait", err)
	default:
	}
	_ = near.SetWriteDeadline(time.Now())
	var timeout net.Error
	if err := <-ended; !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("write: error %v, want a timeout", err)
	}
}

// What is written arrives, also by several writers and in many parts.
func TestWrites(t *testing.T) {
	const writers, length = 4, 3 << 20
	near, far := connect(t)
	var running sync.WaitGroup
	for range writers {
		running.Go(func() {
			if n, err := near.Write([]byte(strings.Repeat("x", length))); n != length || err != nil {
				t.Errorf("wrote %d bytes, error %v, want %d", n, err, length)
			}
		})
	}
	go func() {
		running.Wait()
		_ = near.Close()
	}()
	if n, err := io.Copy(io.Discard, far); n != writers*length || err != nil {
		t.Errorf("got %d bytes, error %v, want %d", n, err, writers*length)
	}
	if n, err := near.Write([]byte("x")); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("wrote %d bytes to a closed connection, error %v, want %v", n, err, net.ErrClosed)
	}
}

// The error of the dialer is returned, and a connection that isn't over TCP as it is.
func TestDial(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if c, err := Dial(&net.Dialer{})(ctx, "tcp", "127.0.0.1:1"); err == nil {
		t.Errorf("got %v, want an error", c)
	}
	l, err := net.Listen("unix", filepath.Join(t.TempDir(), "socket"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := Dial(&net.Dialer{})(t.Context(), "unix", l.Addr().String())
	if _, ok := c.(*net.UnixConn); !ok || err != nil {
		t.Errorf("got %T, error %v, want a connection of package net", c, err)
	}
}

// net/http took the part before a reset for a whole response, if its write of the request got
// the error.
func TestTransportAndReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 100))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(5 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DialContext: Dial(&net.Dialer{}), DisableKeepAlives: true}}
	for range 30 {
		res, err := client.Post("http://"+l.Addr().String(), "", strings.NewReader(strings.Repeat("x", 8<<20)))
		if err != nil {
			continue
		}
		data, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err == nil {
			t.Errorf("response %q, want an error", data)
		}
	}
}
