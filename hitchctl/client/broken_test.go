package client

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
)

// answer runs the command line against a host that answers each request with the text, as it is.
func answer(t *testing.T, text string, args ...string) (code int, out string) {
	t.Helper()
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
			go func() {
				defer c.Close()
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(c, text)
				}
			}()
		}
	}()
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("secret"), 0o600); err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	return Run(t.Context(), append(args, "--addr", l.Addr().String(), "--token-file", token), &b, &b), b.String()
}

const status = `{"host":"host-1","hosts":[{"name":"host-1","callerAddr":"127.0.0.1:1"}]}`

// The whole answer of a host is taken.
func TestWholeAnswer(t *testing.T) {
	for _, length := range []string{"", fmt.Sprintf("Content-Length: %d\r\n", len(status))} {
		if code, out := answer(t, "HTTP/1.1 200 OK\r\n"+length+"\r\n"+status, "status"); code != ExitOK {
			t.Errorf("exit code %d, want %d: %s", code, ExitOK, out)
		}
	}
}

// An answer of a host had a blank in the name of a field, or no valid status.
func TestInvalidHeader(t *testing.T) {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(status))
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX Y: 1\r\n" + length + "\r\n" + status,
		"HTTP/1.1 200 OK\r\nX-Y : 1\r\n\r\n" + status,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(status), status),
		"HTTP/1.1 000 X\r\n" + length + "\r\n" + status,
		"HTTP/1.1 600 X\r\n" + length + "\r\n" + status,
	} {
		if code, out := answer(t, text, "status"); code != ExitFailed {
			t.Errorf("%.40q: exit code %d, want %d: %s", text, code, ExitFailed, out)
		}
	}
}

// An answer that breaks off at any byte isn't taken, whatever its framing and whether the
// connection ends in order.
func TestAnswerThatBreaksOff(t *testing.T) {
	for _, length := range []string{"", fmt.Sprintf("Content-Length: %d\r\n", len(status))} {
		for n := range len(status) {
			if code, out := answer(t, "HTTP/1.1 200 OK\r\n"+length+"\r\n"+status[:n], "status"); code != ExitFailed {
				t.Errorf("%d of %d bytes: exit code %d, want %d: %s", n, len(status), code, ExitFailed, out)
			}
		}
	}
}
