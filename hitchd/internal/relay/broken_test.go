package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"magnoliahitch/steer/fleet"
	"magnoliahitch/steer/member"
)

// serveRaw serves each connection by the function and returns the host at the address.
func serveRaw(t *testing.T, serve func(c net.Conn, in *bufio.Reader)) member.Host {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return member.Host{Name: "host-2", PeerAddr: l.Addr().String()}
}

// answerPoll returns a host that answers a poll with the text, as it is.
func answerPoll(t *testing.T, text string) member.Host {
	return serveRaw(t, func(c net.Conn, in *bufio.Reader) {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err == nil {
			_, _ = io.WriteString(c, text)
		}
	})
}

func encodedAnswer(t *testing.T) string {
	t.Helper()
	data, err := msgpack.Marshal(pollResponse{
		Lists: []domainList{{Domain: "d", Digest: 7, Hosts: []member.Host{{Name: "host-3"}}}}, Departures: []fleet.Departure{{}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// An answer to a poll had a blank in the name of a field, or no valid status.
func TestInvalidHeaderOfPoll(t *testing.T) {
	data := encodedAnswer(t)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(data))
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX Y: 1\r\n" + length + "\r\n" + data,
		"HTTP/1.1 200 OK\r\nX-Y : 1\r\n\r\n" + data,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(data), data),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\nX Y: 1\r\n\r\n", len(data), data),
		"HTTP/1.1 000 X\r\n" + length + "\r\n" + data,
		"HTTP/1.1 600 X\r\n" + length + "\r\n" + data,
	} {
		var a pollResponse
		if err := call(t.Context(), answerPoll(t, text), pollPath, time.Second, pollRequest{}, &a); err == nil {
			t.Errorf("%.60q: got an answer with %d lists, want an error", text, len(a.Lists))
		}
	}
}

// An answer to a poll that breaks off at any byte isn't taken, whatever its framing and whether
// the connection ends in order.
func TestPollThatBreaksOff(t *testing.T) {
	data := encodedAnswer(t)
	for _, length := range []string{"", fmt.Sprintf("Content-Length: %d\r\n", len(data))} {
		for n := range len(data) {
			h := answerPoll(t, "HTTP/1.1 200 OK\r\n"+length+"\r\n"+data[:n])
			var a pollResponse
			if err := call(t.Context(), h, pollPath, time.Second, pollRequest{}, &a); err == nil {
				t.Errorf("got an answer with %d lists by %d of %d bytes, want an error", len(a.Lists), n, len(data))
			}
		}
		var a pollResponse
		if err := call(t.Context(), answerPoll(t, "HTTP/1.1 200 OK\r\n"+length+"\r\n"+data), pollPath, time.Second, pollRequest{}, &a); err != nil || len(a.Lists) != 1 {
			t.Errorf("got an answer with %d lists, error %v, want the whole one", len(a.Lists), err)
		}
	}
}
