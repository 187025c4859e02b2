package head

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

// scan scans the text in parts of the size.
func scan(text string, size int) (n int, done bool, err error) {
	var s Scanner
	for n < len(text) && !done && err == nil {
		var k int
		k, done, err = s.Scan([]byte(text[n:min(len(text), n+size)]))
		n += k
	}
	return n, done, err
}

func TestValidHeads(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200\r\nA:\r\n\r\n",
		"HTTP/1.0  404  Not Found \nX-Y:  a\tb \x01\xff:\n\n",
		"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: v\r\nX-Y: \r\n\r\n",
	} {
		for size := 1; size <= len(head)+4; size++ {
			n, done, err := scan(head+"body", size)
			if n != len(head) || !done || err != nil {
				t.Errorf("%q by %d bytes: got %d, %t, error %v, want %d, true", head, size, n, done, err, len(head))
			}
		}
		for n := range len(head) {
			if _, done, err := scan(head[:n], len(head)); done || err != nil {
				t.Errorf("%q: got %t, error %v, want an incomplete head", head[:n], done, err)
			}
		}
	}
}

func TestInvalidHeads(t *testing.T) {
	lines := []string{
		"Content-Length : 5", "Content Length: 5", " X: 1", "\tX: 1", "X\t: 1", "X", ": 1", "X\r: 1", "X: 1\rY: 2", "X: 1\x00", "X(Y): 1", "X/Y: 1", "\r",
		"X\x00: 1", "X\x01: 1", "X\x0b: 1", "X\x7f: 1", "X\x80: 1", "\x00", " ",
	}
	for _, line := range lines {
		for _, before := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n", "HTTP/1.1 200 OK\nA: b\n"} {
			head := before + line + "\r\nA: b\r\n\r\n"
			for _, size := range []int{1, 3, len(head)} {
				if _, done, err := scan(head, size); done || !errors.Is(err, ErrInvalid) {
					t.Errorf("%q: got %t, error %v, want %v", head, done, err, ErrInvalid)
				}
			}
		}
	}
	for _, status := range []string{"HTTP/1.1 200 O\x00K", "HTTP/1.1\r200 OK", "HTTP/1.1 200 OK\rA: b"} {
		if _, done, err := scan(status+"\r\n\r\n", 100); done || !errors.Is(err, ErrInvalid) {
			t.Errorf("%q: got %t, error %v, want %v", status, done, err, ErrInvalid)
		}
	}
}

// The version decides on the framing: HTTP/1.0 has no transfer codings.
func TestVersions(t *testing.T) {
	const chunked = "\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n"
	for head, want := range map[string]bool{
		"HTTP/1.1 200 OK" + chunked: true, "HTTP/1.0 200 OK" + chunked: false, "HTTP/1.0 200 OK\r\ntransfer-encoding:\r\n\r\n": false,
		"HTTP/1.0 200 OK\r\nTransfer-Encodings: a\r\nTransfer: a\r\nX-Transfer-Encoding: a\r\n\r\n": true,
		"HTTP/1.9 200 OK" + chunked: true, "HTTP/2.0 200 OK\r\n\r\n": false, "HTTP/0.9 200 OK\r\n\r\n": false,
		"HTTP/1. 200 OK\r\n\r\n": false, "HTTP/1.10 200 OK\r\n\r\n": false, "HTTP/1.x 200 OK\r\n\r\n": false, "http/1.1 200 OK\r\n\r\n": false, "\r\n\r\n": false,
	} {
		if _, done, err := scan(head, 5); done != want || (err == nil) != want {
			t.Errorf("%q: got %t, error %v, want valid %t", head, done, err, want)
		}
	}
}

func TestInterim(t *testing.T) {
	for line, want := range map[string]bool{"HTTP/1.1 100 Continue": true, "HTTP/1.1  103": true, "HTTP/1.1 200 1": false, "HTTP/1.1 000 X": false} {
		var s Scanner
		if _, done, err := s.Scan([]byte(line + "\r\n\r\n")); !done || err != nil || s.Interim() != want {
			t.Errorf("%q: got %t, %t, error %v, want %t", line, s.Interim(), done, err, want)
		}
	}
}

func TestCheck(t *testing.T) {
	for name, want := range map[string]bool{"X-Y": true, "x_y": true, "X Y": false, "X ": false, "": false, "X\x7f": false, "Ü": false} {
		if err := Check(http.Header{"A": {"b"}, name: {"1"}}); (err == nil) != want {
			t.Errorf("%q: error %v, want valid %t", name, err, want)
		}
	}
	if err := Check(http.Header{"X Y": nil}); err != nil {
		t.Errorf("announced trailer: error %v", err)
	}
	if err := Check(nil); err != nil {
		t.Errorf("no header: error %v", err)
	}
}

// FuzzScanner checks that a head which both accept ends at the same byte for net/http.
func FuzzScanner(f *testing.F) {
	for _, s := range []string{"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", "HTTP/1.1 204 No\nA:b\n\nbody", "HTTP/1.0 404\r\nA: b\r\na: c\r\nX : 1\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		n, done, err := scan(text, len(text))
		in := bufio.NewReader(strings.NewReader(text))
		res, parseErr := http.ReadResponse(in, &http.Request{Method: http.MethodHead})
		if parseErr != nil || !done {
			if parseErr == nil && err == nil {
				t.Errorf("%q: net/http found a complete head, the scanner none", text)
			}
			return
		}
		if got := len(text) - in.Buffered(); got != n && len(text) < in.Size() {
			t.Errorf("%q: net/http read %d bytes, the scanner %d", text, got, n)
		}
		if err := Check(res.Header); err != nil {
			t.Errorf("%q: error %v after a valid head", text, err)
		}
	})
}
