package conns

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"magnoliahitch/steer/result"
)

// slow is a body that arrives in parts.
type slow struct {
	parts, length int
	interval      time.Duration
}

func (s *slow) Read(p []byte) (int, error) {
	if s.parts == 0 {
		return 0, io.EOF
	}
	s.parts--
	time.Sleep(s.interval)
	return copy(p, make([]byte, s.length)), nil
}

// uploads are requests that are still being written when their response arrives.
var uploads = []struct {
	name  string
	write func(r *Request)
}{
	{"streamed at once", func(r *Request) { r.Stream, r.Length = bytes.NewReader(make([]byte, 8<<20)), 8<<20 }},
	{"in memory", func(r *Request) { r.Body, r.Length = make([]byte, 4<<20), 4<<20 }},
	{"4 KiB parts", func(r *Request) { r.Stream, r.Length = &slow{1000, 4 << 10, time.Millisecond}, 4000<<10 }},
	{"512 byte parts", func(r *Request) { r.Stream, r.Length = &slow{500, 512, 3 * time.Millisecond}, 500<<9 }},
	{"in chunks", func(r *Request) { r.Stream, r.Length = bytes.NewReader(make([]byte, 8<<20)), -1 }},
}

// unframed is a response whose body ends with the connection.
func unframed(status string, length int) string {
	return "HTTP/1.1 " + status + "\r\nX-Id: 1\r\nX-Signed: s\r\n\r\n" + strings.Repeat("x", length)
}

// receive sends the upload and reads the response to its end.
func receive(t *testing.T, addr string, write func(*Request)) (status int, body []byte, outcome result.Outcome, err error) {
	t.Helper()
	r := request("1")
	r.Method = http.MethodPost
	write(r)
	a, outcome, err := New(headers).Send(t.Context(), r, "server-1", addr)
	if err != nil {
		return 0, nil, outcome, err
	}
	defer a.Close()
	body, err = io.ReadAll(a.Reader())
	return a.Status, body, outcome, err
}

// A server that resets the connection behind a part of its response while the request is still
// being written. The write got the error of the socket, the read an end, and the part counted
// as the whole response.
func TestResetBehindPartOfResponse(t *testing.T) {
	const runs = 6
	for _, u := range uploads {
		for _, length := range []int{10, 5 << 10, 300 << 10} {
			for _, delay := range []time.Duration{0, time.Millisecond, 15 * time.Millisecond} {
				for _, status := range []string{"200 OK", "404 Not Found", "500 Internal Server Error"} {
					if status != "200 OK" && length != 10 {
						continue
					}
					t.Run(fmt.Sprint(u.name, ", ", length, " bytes, ", delay, ", ", status), func(t *testing.T) {
						server := listen(t, func(c net.Conn, _ *bufio.Reader, _ string) {
							_, _ = io.WriteString(c, unframed(status, length))
							time.Sleep(delay)
							_ = c.(*net.TCPConn).SetLinger(0)
							_ = c.Close()
						})
						whole := 0
						for range runs {
							_, _, outcome, err := receive(t, server.addr, u.write)
							switch {
							case err == nil:
								whole++
							case outcome == result.NotRun:
								t.Errorf("outcome not run, error %v, of a request that the server got", err)
							}
						}
						if whole > 0 {
							t.Errorf("%d of %d parts of a response were taken for whole ones", whole, runs)
						}
					})
				}
			}
		}
	}
}

// A server may respond before it has the whole request, end its response in order and reset the
// connection after that, since it leaves the rest unread. Its response is whole.
func TestEarlyResponseThatEndsInOrder(t *testing.T) {
	for _, u := range uploads {
		for _, length := range []int{0, 10, 5 << 10, 300 << 10} {
			t.Run(fmt.Sprint(u.name, ", ", length, " bytes"), func(t *testing.T) {
				server := listen(t, func(c net.Conn, r *bufio.Reader, _ string) {
					_, _ = io.WriteString(c, unframed("404 Not Found", length))
					_ = c.(*net.TCPConn).CloseWrite()
					// What it reads of the rest comes with more, which the close leaves unread.
					_, _ = io.CopyN(io.Discard, r, 200<<10)
					// A reset discards the bytes that the peer hasn't got.
					time.Sleep(50 * time.Millisecond)
					_ = c.Close()
				})
				for range 4 {
					status, body, _, err := receive(t, server.addr, u.write)
					if err != nil || status != http.StatusNotFound || len(body) != length {
						t.Errorf("status %d with %d bytes, error %v, want 404 with %d", status, len(body), err, length)
					}
				}
			})
		}
	}
}

// The caller of a response may read the streamed part of it long after the server's end and reset.
func TestEarlyResponseThatIsReadLate(t *testing.T) {
	const length = maxBufferedResponse + 4<<10
	for _, inOrder := range []bool{true, false} {
		server := listen(t, func(c net.Conn, _ *bufio.Reader, _ string) {
			_, _ = io.WriteString(c, unframed("200 OK", length))
			if inOrder {
				_ = c.(*net.TCPConn).CloseWrite()
				time.Sleep(100 * time.Millisecond)
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		})
		r := request("1")
		r.Method = http.MethodPost
		uploads[0].write(r)
		a, _, err := New(headers).Send(t.Context(), r, "server-1", server.addr)
		if err != nil && inOrder {
			t.Fatalf("error %v, want a response", err)
		}
		if err != nil {
			continue
		}
		time.Sleep(200 * time.Millisecond)
		n, err := io.Copy(io.Discard, a.Reader())
		if inOrder != (err == nil) || inOrder && n != length {
			t.Errorf("ends in order %t: read %d bytes, error %v", inOrder, n, err)
		}
		a.Close()
	}
}
