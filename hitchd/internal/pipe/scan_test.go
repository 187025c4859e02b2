package pipe

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

// FuzzFraming checks that the scanners end a request where net/http does. Else bytes
// of a body could be taken for a request.
func FuzzFraming(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\nHost: h\n\nrest", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\nGET",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nA;x=y\r\n0123456789\r\n0;z\r\nT: x\r\n\r\nGET",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4 \nbody\r\n000\n\nGET", "\r\n\r\nGET / HTTP/1.1\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		raw := bytes.NewReader(data)
		in := bufio.NewReaderSize(raw, len(data)+16)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		head := len(data) - raw.Len() - in.Buffered()
		if got := headEnd(data); got != head {
			t.Fatalf("head of %q has %d bytes, net/http read %d", data, got, head)
		}
		if r.ContentLength >= 0 {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			// The server closes the connection after such a body.
			return
		}
		var s chunkScanner
		n, done, ok := s.scan(data[head:])
		if read := len(data) - raw.Len() - in.Buffered() - head; ok && (!done || n != read) {
			t.Fatalf("body of %q has %d bytes, done %v; net/http read %d", data, n, done, read)
		}
	})
}
