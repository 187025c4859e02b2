package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/platform"
)

// Behaviour of callers.
const (
	// callerTimeout is the timeout that a caller sends with each request.
	callerTimeout = 2 * time.Second
	// meanPause is the mean time between two requests of a caller.
	meanPause = 60 * time.Millisecond
	// connectTimeout bounds the opening of a connection.
	connectTimeout = time.Second
	// maxRequestBody is the largest request body in bytes.
	maxRequestBody = 80 << 10
	// One of earlyEvery requests that must not run twice is answered early. Its body of
	// earlyBody bytes is sent in parts of earlyPart bytes with pauses of earlyPause.
	earlyEvery = 20
	earlyBody  = 300 << 10
	earlyPart  = 16 << 10
	earlyPause = 3 * time.Millisecond
	// objects is the number of distinct objects and affinity keys in requests.
	objects = 40
	// unsafeShare is the share of requests that must not run twice (non-idempotent).
	unsafeShare = 0.4
	// cancelShare is the share of requests that callers cancel early.
	cancelShare = 0.04
	// stickyShare is the share of callers that use an open connection until it
	// ends, even when lookups no longer return its host.
	stickyShare = 0.5
	// pipelineShare is the share of exchanges in which further safe requests follow
	// before the first response, up to maxPipelined in all.
	pipelineShare = 0.25
	maxPipelined  = 6
	// popularEvery is the number of requests of which one is the same for all callers.
	popularEvery = 8
	// lateWait is how long after the timeout a caller still waits for a late response.
	lateWait = time.Second
)

// caller sends requests over a single connection, one at a time or pipelined.
type caller struct {
	world  *World
	name   string
	region string
	sticky bool
	rand   *rand.Rand
	count  int

	addrs     []string
	expires   time.Time
	host      *Host
	hostStart int
	conn      net.Conn
	in        *bufio.Reader
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.rand.ExpFloat64() * float64(meanPause))):
			c.call(ctx)
		}
	}
	c.close()
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// call sends one request, or several pipelined ones. It returns without one when no host accepts a connection.
func (c *caller) call(ctx context.Context) {
	c.resolve(ctx)
	if c.conn != nil && !c.sticky && !slices.Contains(c.addrs, c.host.Addr) {
		c.close()
	}
	if c.conn == nil && !c.connect() {
		return
	}
	count := 1
	if c.rand.Float64() < pipelineShare {
		count = 2 + c.rand.IntN(maxPipelined-1)
	}
	c.exchange(count, c.nextRequest)
}

// resolve queries a nearby host for the hosts to use, once the last result's
// TTL has expired. It keeps the last result when no query succeeds.
func (c *caller) resolve(ctx context.Context) {
	if time.Now().Before(c.expires) {
		return
	}
	for _, h := range c.world.nearHosts(c.rand, c.region) {
		addrs, ttl, err := lookUp(ctx, h, c.region)
		if err != nil {
			continue
		}
		c.addrs, c.expires = addrs, time.Now().Add(ttl)
		for _, addr := range addrs {
			if x := c.world.hostAt(addr); x != nil && x.downFor(time.Now()) > c.world.bounds.QuietPeriod+3*time.Second {
				c.world.ledger.LookupReturnedDownHost(time.Now(), h.Name, x.Name)
			}
		}
		return
	}
}

// lookUp queries a host for the addresses that callers of the region should
// use, and how long they are valid.
func lookUp(ctx context.Context, h *Host, region string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	q := url.Values{"name": {routeHost}, "region": {region}, "zone": {h.Domain}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Lookup+"/api/resolve?"+q.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0, errors.Wrapf(err, "look up hosts at %s", h.Name)
	}
	defer func() { _ = res.Body.Close() }()
	var out struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(res.Body).Decode(&out); err != nil || len(out.Addresses) == 0 {
		return nil, 0, errors.Errorf("look up hosts at %s: no addresses in response with status %d", h.Name, res.StatusCode)
	}
	return out.Addresses, time.Duration(out.TTLS * float64(time.Second)), nil
}

// connect opens a connection to a random host of the last lookup through the
// host's link, and reports whether it succeeded.
func (c *caller) connect() bool {
	if len(c.addrs) == 0 {
		return false
	}
	c.host = c.world.hostAt(c.addrs[c.rand.IntN(len(c.addrs))])
	if c.host == nil {
		return false
	}
	c.hostStart = c.host.Starts()
	return c.open(c.host.front.Addr(), nil)
}

// open opens a connection to the address, from the given one unless it is nil.
func (c *caller) open(addr string, from net.Addr) bool {
	d := net.Dialer{Timeout: connectTimeout, LocalAddr: from}
	conn, err := d.Dial("tcp4", addr)
	if err != nil {
		return false
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return true
}

// nextRequest draws a request and its body. One that is pipelined behind others is
// safe.
func (c *caller) nextRequest(pipelined bool) (Attempt, []byte) {
	c.count++
	route := c.world.route(c.rand)
	for pipelined && route.unsafe {
		route = c.world.route(c.rand)
	}
	a := Attempt{
		ID: fmt.Sprintf("%s-%d", c.name, c.count), Host: c.host.Name, Incarnation: c.hostStart, Route: route.prefix, Method: http.MethodGet,
		Target: fmt.Sprintf("%sitem/%d?of=%d", route.prefix, c.rand.IntN(objects), c.count), Unsafe: route.unsafe, Timeout: callerTimeout,
	}
	if c.count%popularEvery == 0 {
		a.Target = route.prefix + "item/1"
	}
	a.EffectiveTimeout = min(callerTimeout, route.timeout)
	var body []byte
	if a.Unsafe {
		a.Method = http.MethodPost
		body = bytes.Repeat([]byte(a.ID+"."), 1+c.rand.IntN(200))
		if c.rand.IntN(10) == 0 {
			body = bytes.Repeat([]byte(a.ID+"."), maxRequestBody/(len(a.ID)+1))
		}
		if c.rand.IntN(earlyEvery) == 0 {
			a.ID += earlySuffix
			body = bytes.Repeat([]byte(a.ID+"."), earlyBody/(len(a.ID)+1))
		}
	}
	a.Checksum, a.Sent = Checksum(body), time.Now()
	return a, body
}

// exchange sends the requests that next returns one after the other, then reads
// their responses in order and records the outcomes in the ledger.
func (c *caller) exchange(count int, next func(pipelined bool) (Attempt, []byte)) {
	leave := c.rand.Float64() < cancelShare
	var sent []Attempt
	for i := range count {
		a, body := next(i > 0)
		c.world.ledger.Send(a)
		sent = append(sent, a)
		_ = c.conn.SetDeadline(a.Sent.Add(connectTimeout))
		if err := c.write(a, body); err != nil {
			// The read fails too, but for a response that came before.
			break
		}
		if c.rand.IntN(3) == 0 {
			time.Sleep(time.Duration(c.rand.Int64N(int64(10 * time.Millisecond))))
		}
	}
	left := time.Now().Add(time.Duration(c.rand.Int64N(int64(100 * time.Millisecond))))
	for i, a := range sent {
		end := a.Sent.Add(a.EffectiveTimeout + lateWait)
		if leave {
			end = left
		}
		_ = c.conn.SetDeadline(end)
		out, closing, err := c.read(a)
		if err != nil {
			c.failed(sent[i:], err, leave)
			return
		}
		c.world.ledger.Responded(time.Now(), a.ID, out)
		if closing {
			c.close()
			for _, behind := range sent[i+1:] {
				c.world.ledger.Unread(time.Now(), behind.ID)
			}
			return
		}
	}
	if c.in.Buffered() > 0 {
		c.close()
	}
}

// failed closes the connection and records the outcome of the attempts that have no
// response.
func (c *caller) failed(rest []Attempt, err error, leave bool) {
	c.close()
	now := time.Now()
	var slow net.Error
	for _, a := range rest {
		switch {
		case errors.As(err, &slow) && slow.Timeout() && leave:
			c.world.ledger.Cancelled(now, a.ID)
		case errors.As(err, &slow) && slow.Timeout():
			c.world.ledger.TimedOut(now, a.ID)
		default:
			c.world.ledger.ConnectionClosed(now, a.ID, err.Error())
		}
	}
}

func (c *caller) write(a Attempt, body []byte) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nCookie: Affinity-Key=%d\r\n", a.Method, a.Target, routeHost,
		platform.HeaderRequestID, a.ID, platform.HeaderDeadline, a.Timeout.Milliseconds(), c.rand.IntN(objects))
	switch {
	case !a.Unsafe:
		b.WriteString("\r\n")
	case c.rand.IntN(3) == 0:
		half := len(body) / 2
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n")
		for _, p := range [][]byte{body[:half], body[half:]} {
			if len(p) > 0 {
				fmt.Fprintf(&b, "%x\r\n%s\r\n", len(p), p)
			}
		}
		b.WriteString("0\r\n\r\n")
	default:
		fmt.Fprintf(&b, "Content-Length: %s\r\n\r\n%s", strconv.Itoa(len(body)), body)
	}
	for isEarly(a.ID) && b.Len() > earlyPart {
		if _, err := c.conn.Write(b.Next(earlyPart)); err != nil {
			return err
		}
		time.Sleep(earlyPause)
	}
	_, err := c.conn.Write(b.Bytes())
	return err
}

// read returns the response and whether it closes the connection.
func (c *caller) read(a Attempt) (Response, bool, error) {
	res, err := http.ReadResponse(c.in, &http.Request{Method: a.Method})
	if err != nil {
		return Response{}, true, err
	}
	c.world.ledger.Promised(time.Now(), a.ID, res.StatusCode)
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return Response{}, true, err
	}
	out := Response{
		Status: res.StatusCode, ID: res.Header.Get(platform.HeaderRequestID), Signed: res.Header.Get(platform.HeaderSignature) != "", Checksum: Checksum(body),
		Leaving: res.Header.Get(platform.HeaderLeaving) != "",
		Suspect: bytes.Contains(body, []byte("suspectRequest")),
	}
	return out, res.Close, nil
}
