package conns

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/clock"
	"magnoliahitch/links/head"
	"magnoliahitch/steer/result"
)

// invalidLines are lines that are no header fields, of those that net/http takes for some or joins
// to the line before.
var invalidLines = []string{
	"Content-Length : 5", "Content Length: 5", "Transfer-Encoding : chunked", "X-Y : 1", "X Y: 1", "X-Signed : s", "X-Id : 1", "X-Not-Run : 1",
	" X: 1", "\tX: 1", "  ", "X\tY: 1", "X\x00: 1", "X\x01: 1", "X\x0b: 1", "X\x7f: 1", "X\rY: 1", "X-Y: 1\rX-Z: 2", "X-Y: 1\x00", "X-Y",
}

// A server sent a head with a blank or a control byte in the name of a field. Callers got it with
// that line, or with framing bytes for a body.
func TestInvalidFieldIsNoAnswer(t *testing.T) {
	framings := []string{"", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"}
	check := func(name, text string, health bool) {
		t.Helper()
		u := listen(t, func(c net.Conn, _ *bufio.Reader, _ string) {
			_, _ = io.WriteString(c, text)
			time.Sleep(20 * time.Millisecond)
			_ = c.Close()
		})
		r := request("1")
		r.Check = health
		begin := clock.Now()
		a, outcome, err := send(t, New(headers), r, u.addr)
		if err == nil || outcome != result.Unknown {
			t.Errorf("%s: got %v, outcome %s, error %v, want an error and an unknown outcome", name, a, outcome, err)
		}
		if took := clock.Now().Sub(begin); took > 500*time.Millisecond {
			t.Errorf("%s: error after %s, want it at once", name, took)
		}
	}
	const fields = "X-Id: 1\r\nX-Signed: s\r\n"
	for _, line := range invalidLines {
		for _, f := range framings {
			body := "hello"
			if strings.Contains(f+line, "chunked") {
				body = "5\r\nhello\r\n0\r\n\r\n"
			}
			for i, order := range []string{fields + f + line + "\r\n", fields + line + "\r\n" + f, line + "\r\n" + fields + f} {
				check(fmt.Sprintf("%q, %q, place %d", line, f, i), "HTTP/1.1 200 OK\r\n"+order+"\r\n"+body, false)
			}
		}
		check(fmt.Sprintf("%q, informational", line), "HTTP/1.1 103 Early Hints\r\nLink: a\r\n"+line+"\r\n\r\n"+response("1", "body"), false)
		check(fmt.Sprintf("%q, behind an informational one", line), "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n"+fields+line+"\r\n\r\nbody", false)
		check(fmt.Sprintf("%q, health check", line), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+line+"\r\n\r\n", true)
		check(fmt.Sprintf("%q, refusal", line), "HTTP/1.1 503 S\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"+line+"\r\n\r\n", false)
		check(fmt.Sprintf("%q, of another request", line), "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 0\r\n"+line+"\r\n\r\n"+response("1", "body"), false)
		check(fmt.Sprintf("%q, behind that of another request", line), response("0", "stale")+"HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 4\r\n"+line+"\r\n\r\nbody", false)
		if line == "  " {
			continue
		}
		const whole = "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
		if line[0] != ' ' && line[0] != '\t' && !strings.HasPrefix(line, "X-Y: 1") {
			check(fmt.Sprintf("%q, trailer", line), whole+line+"\r\n\r\n", false)
		}
	}
}

// A field that announces trailers has names in its value, which may be wrong or not come.
func TestAnnouncedTrailerIsNoField(t *testing.T) {
	u := listen(t, func(c net.Conn, _ *bufio.Reader, _ string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: s\r\nTrailer: X Y, X-Z\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	})
	if a, _, err := send(t, New(headers), request("1"), u.addr); err != nil || string(a.Body) != "hello" {
		t.Errorf("got %v, error %v, want the whole response", a, err)
	}
}

// A head that arrives in pieces, and one that is longer than the buffer, are checked too.
func TestInvalidFieldInPieces(t *testing.T) {
	for _, length := range []int{0, 1, bufferSize - 60, bufferSize, 3 * bufferSize, 20 * bufferSize} {
		for _, line := range []string{"X-Y : 1", " X: 1", "X-Y: 1"} {
			u := listen(t, func(c net.Conn, _ *bufio.Reader, _ string) {
				text := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: " + strings.Repeat("x", length) + "\r\nX-Signed: s\r\nContent-Length: 4\r\n" + line + "\r\n\r\nbody"
				for len(text) > 0 {
					n := min(len(text), 7+length/3)
					_, _ = io.WriteString(c, text[:n])
					text = text[n:]
					time.Sleep(time.Millisecond)
				}
			})
			a, _, err := send(t, New(headers), request("1"), u.addr)
			if valid := line == "X-Y: 1"; valid != (err == nil) || valid && string(a.Body) != "body" || !valid && !errors.Is(err, head.ErrInvalid) {
				t.Errorf("%q behind %d bytes: got %v, error %v", line, length, a, err)
			}
		}
	}
}

// A server sent a chunked body in HTTP/1.0, which has no transfer codings, or in a version whose
// framing isn't that of HTTP/1.1. Callers got the sizes of the chunks as a part of the body.
func TestFramingOfOtherVersionIsNoAnswer(t *testing.T) {
	const fields = "X-Id: 1\r\nX-Signed: s\r\n"
	const chunks = "5\r\nhello\r\n0\r\n\r\n"
	for text, want := range map[string]string{
		"HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks:                       "",
		"HTTP/1.0 200 OK\r\ntransfer-ENCODING:chunked\r\n" + fields + "Content-Length: 15\r\n\r\n" + chunks:  "",
		"HTTP/2.0 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nhello":                                    "",
		"HTTP/0.9 200 OK\r\n" + fields + "\r\nhello":                                                         "",
		"HTTP/1.0 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nhello":                                    "hello",
		"HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encodings: chunked\r\nTransfer: a\r\n\r\nhello":           "hello",
		"HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks:                       "hello",
		"HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\nContent-Length: 99\r\n\r\n" + chunks: "hello",
	} {
		u := listen(t, func(c net.Conn, _ *bufio.Reader, _ string) {
			_, _ = io.WriteString(c, text)
			time.Sleep(20 * time.Millisecond)
			_ = c.Close()
		})
		a, outcome, err := send(t, New(headers), request("1"), u.addr)
		if want == "" && (!errors.Is(err, head.ErrInvalid) || outcome != result.Unknown) || want != "" && (err != nil || string(a.Body) != want) {
			t.Errorf("%q: got %v, outcome %s, error %v, want body %q", text, a, outcome, err, want)
		}
	}
}
