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

// What callers are like.
const (
	// patience is how long a caller waits.
	patience = 2 * time.Second
	// pauseMean is the mean time between two requests of a caller.
	pauseMean = 60 * time.Millisecond
	// connectTimeout bounds the opening of a connection.
	connectTimeout = time.Second
	// longestBody is the largest request body in bytes.
	longestBody = 80 << 10
	// objects is the number of objects that requests concern.
	objects = 40
	// unsafeShare of the requests must not run twice.
	unsafeShare = 0.4
	// leaveShare of the callers' requests are given up early.
	leaveShare = 0.04
	// stickyShare of the callers use an open connection until it ends, also when
	// look-ups no longer name its host.
	stickyShare = 0.5
	// waitLate is how long after the time-out a caller waits for a late answer.
	waitLate = time.Second
)

// caller sends one request after the other on one connection.
type caller struct {
	world  *World
	name   string
	region string
	sticky bool
	rand   *rand.Rand
	count  int

	addrs []string
	until time.Time
	host  *Host
	life  int
	conn  net.Conn
	in    *bufio.Reader
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.rand.ExpFloat64() * float64(pauseMean))):
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

// call sends one request.
func (c *caller) call(ctx context.Context) {
	c.resolve(ctx)
	if c.conn != nil && !c.sticky && !slices.Contains(c.addrs, c.host.Addr) {
		c.close()
	}
	if c.conn == nil && !c.connect() {
		return
	}
	a, body := c.next()
	c.world.ledger.Send(a)
	c.exchange(a, body)
}

// resolve asks a host near the caller which hosts to use.
func (c *caller) resolve(ctx context.Context) {
	if time.Now().Before(c.until) {
		return
	}
	for _, h := range c.world.near(c.rand, c.region) {
		addrs, ttl, err := lookUp(ctx, h, c.region)
		if err != nil {
			continue
		}
		c.addrs, c.until = addrs, time.Now().Add(ttl)
		for _, addr := range addrs {
			if x := c.world.hostAt(addr); x != nil && x.deadFor(time.Now()) > c.world.bounds.Contact+3*time.Second {
				c.world.ledger.DeadHost(time.Now(), h.Name, x.Name)
			}
		}
		return
	}
}

// lookUp asks a host for the addresses that callers of the region should use.
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
		return nil, 0, errors.Wrapf(err, "ask %s for hosts", h.Name)
	}
	defer func() { _ = res.Body.Close() }()
	var out struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(res.Body).Decode(&out); err != nil || len(out.Addresses) == 0 {
		return nil, 0, errors.Errorf("ask %s for hosts: status %d", h.Name, res.StatusCode)
	}
	return out.Addresses, time.Duration(out.TTLS * float64(time.Second)), nil
}

// connect opens a connection to one of the hosts through its link.
func (c *caller) connect() bool {
	if len(c.addrs) == 0 {
		return false
	}
	c.host = c.world.hostAt(c.addrs[c.rand.IntN(len(c.addrs))])
	if c.host == nil {
		return false
	}
	c.life = c.host.Life()
	conn, err := net.DialTimeout("tcp4", c.host.front.Addr(), connectTimeout)
	if err != nil {
		return false
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return true
}

// next draws a request.
func (c *caller) next() (Attempt, []byte) {
	c.count++
	route := c.world.route(c.rand)
	a := Attempt{
		ID: fmt.Sprintf("%s-%d", c.name, c.count), Host: c.host.Name, Life: c.life, Route: route.prefix, Method: http.MethodGet,
		Target: fmt.Sprintf("%sitem/%d?of=%d", route.prefix, c.rand.IntN(objects), c.count), Unsafe: route.unsafe, Patience: patience,
	}
	a.Limit = min(patience, route.timeout)
	var body []byte
	if a.Unsafe {
		a.Method = http.MethodPost
		body = bytes.Repeat([]byte(a.ID+"."), 1+c.rand.IntN(200))
		if c.rand.IntN(10) == 0 {
			body = bytes.Repeat([]byte(a.ID+"."), longestBody/(len(a.ID)+1))
		}
	}
	a.Sum, a.Sent = Sum(body), time.Now()
	return a, body
}

// exchange sends the request and takes its answer.
func (c *caller) exchange(a Attempt, body []byte) {
	leave := c.rand.Float64() < leaveShare
	wait := a.Limit + waitLate
	if leave {
		wait = time.Duration(c.rand.Int64N(int64(100 * time.Millisecond)))
	}
	_ = c.conn.SetDeadline(a.Sent.Add(wait))
	err := c.write(a, body)
	var out Answer
	closing := true
	if err == nil {
		out, closing, err = c.read(a)
	}
	now := time.Now()
	var slow net.Error
	switch {
	case err == nil:
		c.world.ledger.Answered(now, a.ID, out)
	case errors.As(err, &slow) && slow.Timeout() && leave:
		c.close()
		c.world.ledger.Left(time.Now(), a.ID)
	case errors.As(err, &slow) && slow.Timeout():
		c.world.ledger.Unanswered(now, a.ID)
	default:
		c.world.ledger.Cut(now, a.ID, err.Error())
	}
	if closing {
		c.close()
	}
}

func (c *caller) write(a Attempt, body []byte) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nCookie: Affinity-Key=%d\r\n", a.Method, a.Target, routeHost,
		platform.HeaderRequestID, a.ID, platform.HeaderDeadline, a.Patience.Milliseconds(), c.rand.IntN(objects))
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
	_, err := c.conn.Write(b.Bytes())
	return err
}

// read returns the answer and whether the connection must not be used again.
func (c *caller) read(a Attempt) (Answer, bool, error) {
	res, err := http.ReadResponse(c.in, &http.Request{Method: a.Method})
	if err != nil {
		return Answer{}, true, err
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return Answer{}, true, err
	}
	out := Answer{
		Status: res.StatusCode, ID: res.Header.Get(platform.HeaderRequestID), Signed: res.Header.Get(platform.HeaderSignature) != "", Sum: Sum(body),
	}
	return out, res.Close || c.in.Buffered() > 0, nil
}
