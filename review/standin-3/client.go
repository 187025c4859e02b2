package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// deadline is that of the clients' requests, as on the site.
const deadline = 1200 * time.Millisecond

// request sends a request to the host on a connection of its own. It returns the connection and the
// status of the answer, 0 for none before the deadline.
func request(r *record, h *host, target string, object int) (net.Conn, int) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	c, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", h.ip, frontPort), time.Second)
	if err != nil {
		r.line("client of %s could not connect to %s: %v", id, h.name, err)
		return nil, 0
	}
	r.line("client sends %s GET %s to %s", id, target, h.name)
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: stock.example\r\nRequest-Id: %s\r\nCookie: Affinity-Key=%d\r\nDeadline-Ms: %d\r\n\r\n", target, id, object, deadline.Milliseconds())
	_ = c.SetReadDeadline(time.Now().Add(deadline))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	if err != nil {
		r.line("client got no answer to %s: %v", id, err)
		return c, 0
	}
	r.line("client got status %d for %s", res.StatusCode, id)
	return c, res.StatusCode
}

// requestOnce is request on a connection that is closed afterwards.
func requestOnce(r *record, h *host, target string, object int) int {
	c, status := request(r, h, target, object)
	if c != nil {
		_ = c.Close()
	}
	return status
}
