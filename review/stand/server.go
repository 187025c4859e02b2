package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in of one upstream server. Its process may crash and start again
// under the same id and address (PROTOCOL.md, Servers).
type server struct {
	world   *world
	id      string
	service string
	zone    string
	addr    string
	slots   chan struct{}
	waiting atomic.Int64
	work    time.Duration
	// crashes tells which requests crash the server as soon as it begins to run them.
	crashes func(r *http.Request) bool

	mu    sync.Mutex
	run   int
	born  int64
	seq   int64
	http  *http.Server
	conns map[net.Conn]bool
	up    bool
	cold  time.Time
	gone  chan struct{}
}

const (
	slots     = 3
	queue     = 9
	heartbeat = 1500 * time.Millisecond
	coldTime  = 3 * time.Second
	// downTime is how long a crashed server is down ("back after some seconds").
	downTime = 2 * time.Second
)

func (w *world) newServer(id, service, zone, addr string, work time.Duration) *server {
	return &server{world: w, id: id, service: service, zone: zone, addr: addr, slots: make(chan struct{}, slots), work: work, crashes: func(*http.Request) bool { return false }}
}

// start starts the server's process. A cold one has just been started during traffic.
func (s *server) start(cold bool) error {
	l, err := net.Listen("tcp4", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.run++
	s.born, s.seq, s.up, s.conns, s.gone = time.Now().UnixMilli(), 0, true, make(map[net.Conn]bool), make(chan struct{})
	if cold {
		s.cold = time.Now().Add(coldTime)
	}
	s.slots = make(chan struct{}, slots)
	s.waiting.Store(0)
	h := &http.Server{Handler: s, IdleTimeout: 10 * time.Second, ConnState: func(c net.Conn, st http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if st == http.StateClosed || st == http.StateHijacked {
			delete(s.conns, c)
			return
		}
		s.conns[c] = true
	}}
	s.http = h
	go func() { _ = h.Serve(l) }()
	go s.beat(s.gone)
	return nil
}

// beat writes the server's record at its start and, with a new sequence, while it warms up.
func (s *server) beat(gone chan struct{}) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for first := true; ; first = false {
		s.mu.Lock()
		left := max(0, time.Until(s.cold).Seconds())
		s.seq++
		rec := map[string]any{
			"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "max_concurrency": slots, "state": "ready",
			"warmup_left_s": left, "sequence": s.seq, "born": s.born,
		}
		s.mu.Unlock()
		if first || left > 0 {
			s.world.store.put("servers", s.id, rec)
		}
		select {
		case <-gone:
			return
		case <-t.C:
		}
	}
}

// crash ends the process at once: the kernel resets its connections. It starts again
// after downTime.
func (s *server) crash() {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	close(s.gone)
	h := s.http
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	s.mu.Unlock()
	_ = h.Close()
	s.world.note("server %s crashes", s.id)
	time.AfterFunc(downTime, func() {
		if err := s.start(true); err != nil {
			s.world.note("server %s can't start again: %v", s.id, err)
		}
	})
}

func (s *server) alive(run int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up && s.run == run
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	h := w.Header()
	s.mu.Lock()
	run, sl := s.run, s.slots
	cold := time.Until(s.cold)
	s.mu.Unlock()
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", s.id)
		if cold > 0 {
			h.Set("Warmup-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
		}
		return
	}
	h.Set("Request-Id", id)
	reject := func(status int) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(status)
	}
	if e := r.Header.Get("Expect-Instance"); e != "" && e != s.id {
		reject(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		reject(http.StatusBadRequest)
		return
	}
	s.world.arrive(s.id, id)
	ms, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	if s.waiting.Add(1) > queue {
		s.waiting.Add(-1)
		reject(http.StatusServiceUnavailable)
		return
	}
	select {
	case sl <- struct{}{}:
		s.waiting.Add(-1)
	case <-end:
		s.waiting.Add(-1)
		reject(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		s.waiting.Add(-1)
		panic(http.ErrAbortHandler)
	}
	defer func() { <-sl }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !s.alive(run) {
		panic(http.ErrAbortHandler)
	}
	s.world.begin(s.id, id)
	if s.crashes(r) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	select {
	case <-time.After(s.work):
	case <-end:
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	if !s.alive(run) {
		panic(http.ErrAbortHandler)
	}
	s.world.end(s.id, id, status)
	out := fmt.Sprintf("%s %s %d %s\n", s.id, r.RequestURI, len(body), strings.Repeat("x", 200))
	h.Set("Server-Seal", fmt.Sprintf("%s.%s.%d", s.id, id, len(out)))
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(sl), s.waiting.Load(), slots))
	h.Set("Keep-Alive", "timeout=10")
	h.Set("Content-Length", strconv.Itoa(len(out)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, out)
}
