package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Properties of the servers, as on the site pdr-hitch.
const (
	slots     = 3
	heartbeat = 1500 * time.Millisecond
	coldTime  = 3 * time.Second
	// downTime is how long a server is down after a crash.
	downTime = 3 * time.Second
)

// server is an upstream server that starts again after a crash, with a new id.
type server struct {
	name, service, addr, zone string
	store                     *store
	record                    *record
	// run runs a request until the time given and returns the status of the answer, 0 for none. It may
	// crash the server.
	run func(s *incarnation, r *http.Request, until time.Time) int
}

// incarnation is one start of a server.
type incarnation struct {
	*server
	id       string
	born     time.Time
	cold     time.Time
	listener net.Listener
	slots    chan struct{}

	mu       sync.Mutex
	sequence int
	ended    bool
	conns    map[net.Conn]bool
	waiting  int
}

// start starts the server. Cold servers are slow for some seconds.
func (s *server) start(cold bool) error {
	l, err := net.Listen("tcp4", s.addr)
	if err != nil {
		return err
	}
	x := &incarnation{server: s, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now(), listener: l, slots: make(chan struct{}, slots), conns: make(map[net.Conn]bool)}
	if cold {
		x.cold = x.born.Add(coldTime)
	}
	s.record.line("server %s starts as %s at %s", s.name, x.id, s.addr)
	go x.beat()
	go x.accept()
	return nil
}

func (x *incarnation) beat() {
	for {
		x.mu.Lock()
		x.sequence++
		ended := x.ended
		value, err := json.Marshal(map[string]any{
			"service": x.service, "address": x.addr, "zone": x.zone, "version": "v1", "max_concurrency": slots, "state": "ready",
			"warmup_left_s": max(0, time.Until(x.cold).Seconds()), "sequence": x.sequence, "born": x.born.UnixMilli(),
		})
		x.mu.Unlock()
		if err != nil {
			panic(err)
		}
		if ended {
			// The record expires after three heartbeats of silence.
			time.Sleep(3 * heartbeat)
			x.store.drop("servers", x.id)
			return
		}
		x.store.put("servers", x.id, value)
		time.Sleep(heartbeat)
	}
}

func (x *incarnation) accept() {
	for {
		c, err := x.listener.Accept()
		if err != nil {
			return
		}
		x.mu.Lock()
		x.conns[c] = true
		x.mu.Unlock()
		go x.serve(c)
	}
}

// crash ends the incarnation as the end of its process does: the port and all connections are
// closed, and the server starts again after downTime.
func (x *incarnation) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended {
		return
	}
	x.ended = true
	_ = x.listener.Close()
	for c := range x.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	time.AfterFunc(downTime, func() {
		if err := x.start(true); err != nil {
			x.record.line("server %s could not start again: %v", x.name, err)
		}
	})
}

// crashSilently ends the incarnation as a loss of power does: its connections stay open without an
// answer, and new ones aren't established, until the server starts again after downTime.
func (x *incarnation) crashSilently() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended {
		return
	}
	x.ended = true
	l := x.listener.(*net.TCPListener)
	_ = l.SetDeadline(time.Unix(1, 0))
	raw, err := l.SyscallConn()
	if err == nil {
		// A full queue of new connections makes the kernel drop further ones.
		err = raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	}
	if err != nil {
		x.record.line("server %s could not fall silent: %v", x.name, err)
	}
	var fill []net.Conn
	for range 3 {
		if c, err := net.DialTimeout("tcp4", x.addr, 100*time.Millisecond); err == nil {
			fill = append(fill, c)
		}
	}
	time.AfterFunc(downTime, func() {
		for _, c := range fill {
			_ = c.Close()
		}
		x.mu.Lock()
		_ = x.listener.Close()
		for c := range x.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
		x.mu.Unlock()
		if err := x.start(true); err != nil {
			x.record.line("server %s could not start again: %v", x.name, err)
		}
	})
}

// silent reports whether the incarnation has ended, so that it answers nothing.
func (x *incarnation) silent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ended
}

func (x *incarnation) serve(c net.Conn) {
	defer func() {
		if x.silent() {
			return
		}
		x.mu.Lock()
		delete(x.conns, c)
		x.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if x.silent() || !x.answer(c, r) {
			// The end of the incarnation closes the connection.
			if x.silent() {
				return
			}
			_ = c.Close()
			return
		}
	}
}

// answer runs the request and reports whether the connection goes on.
func (x *incarnation) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != x.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", x.id)
		return err == nil
	}
	arrived := time.Now()
	x.mu.Lock()
	full := x.waiting >= slots+9
	if !full {
		x.waiting++
	}
	x.mu.Unlock()
	if full {
		return x.reject(c, id)
	}
	x.slots <- struct{}{}
	done := func() {
		<-x.slots
		x.mu.Lock()
		x.waiting--
		x.mu.Unlock()
	}
	defer done()
	if r.URL.Path == "/health" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nWarmup-Ms: %d\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", x.id, max(0, time.Until(x.cold).Milliseconds()), x.load())
		return err == nil
	}
	// A server stops work at the value that it receives.
	until := arrived.Add(time.Hour)
	if ms, err := strconv.ParseInt(r.Header.Get("Deadline-Ms"), 10, 64); err == nil {
		until = arrived.Add(time.Duration(ms) * time.Millisecond)
	}
	if !time.Now().Before(until) {
		return x.reject(c, id)
	}
	x.record.line("server %s (%s) begins to run %s %s", x.name, x.id, id, r.URL.Path)
	status := x.run(x, r, until)
	if status == 0 || x.silent() {
		x.record.line("server %s (%s) gives no answer to %s", x.name, x.id, id)
		return false
	}
	body := "the answer of " + x.id + " to " + id
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nServer-Seal: %s.%s\r\nServer-Load: %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, x.id, id, x.load(), len(body), body)
	x.record.line("server %s (%s) answers %s with %d", x.name, x.id, id, status)
	return err == nil
}

// reject answers that the request has not run.
func (x *incarnation) reject(c net.Conn, id string) bool {
	x.record.line("server %s (%s) rejects %s", x.name, x.id, id)
	_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	return err == nil
}

// stopAt waits until the time, more exactly than a timer does.
func stopAt(until time.Time) {
	time.Sleep(time.Until(until) - 2*time.Millisecond)
	for time.Now().Before(until) {
		runtime.Gosched()
	}
}

// work is the run of a sound request: it takes 20 to 60 ms.
func work(until time.Time) int {
	took := time.Duration(20+rand.IntN(40)) * time.Millisecond
	if time.Until(until) < took {
		stopAt(until)
		return http.StatusGatewayTimeout
	}
	time.Sleep(took)
	return http.StatusOK
}

func (x *incarnation) load() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	running := len(x.slots)
	return fmt.Sprintf("%d,%d,%d", running, max(0, x.waiting-running), slots)
}
