package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is an upstream server that behaves as the pages say.
type server struct {
	world                     *world
	id, service, zone, region string
	addr                      string
	slots                     chan struct{}
	// work is the time of a request, size the length of an answer in bytes.
	work time.Duration
	size int
	// breakOff is the share of answers that the server breaks off.
	breakOff float64
	// crashAfter is the time from the begin of a fatal request to the server's crash. The
	// server doesn't drop requests whose connection is closed if it is set.
	crashAfter time.Duration
	http       *http.Server
	coldUntil  time.Time
	// onRun is called for each request that the server begins to run.
	onRun func(s *server, r *http.Request)
	ended atomic.Bool
	// onFatal is called when a request crashes the server, and fatal tells which does.
	onFatal func(s *server)
	fatal   func(r *http.Request) bool

	mu       sync.Mutex
	sequence int64
	born     int64
	// ran holds the ids of the requests that it ran, and broken those whose answers it broke off.
	ran, broken map[string]bool
}

func (w *world) startServer(id, service string, zone int, work time.Duration, size int) *server {
	s := &server{
		world: w, id: id, service: service, zone: zones[zone].zone, region: zones[zone].region, slots: make(chan struct{}, 3), work: work, size: size,
		born: time.Now().UnixMilli(), ran: make(map[string]bool), broken: make(map[string]bool),
	}
	s.listen("127.0.0.1:0")
	return s
}

// listen starts the server at the address.
func (s *server) listen(addr string) {
	l, err := net.Listen("tcp4", addr)
	for tries := 0; err != nil && tries < 20; tries++ {
		time.Sleep(50 * time.Millisecond)
		l, err = net.Listen("tcp4", addr)
	}
	if err != nil {
		// The server stays away.
		s.ended.Store(true)
		s.world.record.add("server %s can't listen: %v", s.id, err)
		return
	}
	s.addr = l.Addr().String()
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	s.beat()
	go func() {
		for !s.ended.Load() {
			time.Sleep(1500 * time.Millisecond)
			if !s.ended.Load() {
				s.beat()
			}
		}
	}()
}

// crash ends the server at once. Its entry expires after three heartbeats. Another start of
// it, under another id, is there after the time. It reports false for one that has ended.
func (s *server) crash(back time.Duration) bool {
	if s.ended.Swap(true) {
		return false
	}
	s.world.record.add("server %s crashes", s.id)
	_ = s.http.Close()
	time.AfterFunc(4500*time.Millisecond, func() { s.world.store.set("servers", s.id, nil) })
	time.AfterFunc(back, func() {
		next := &server{
			world: s.world, id: s.id + "x", service: s.service, zone: s.zone, region: s.region, slots: make(chan struct{}, 3), work: s.work, size: s.size,
			born: time.Now().UnixMilli(), ran: make(map[string]bool), broken: make(map[string]bool), crashAfter: s.crashAfter, onRun: s.onRun, onFatal: s.onFatal, fatal: s.fatal,
			coldUntil: time.Now().Add(3 * time.Second),
		}
		next.listen(s.addr)
		s.world.record.add("server %s is back as %s", s.id, next.id)
	})
	return true
}

func (s *server) beat() {
	s.mu.Lock()
	s.sequence++
	entry := map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "max_concurrency": 3, "state": "ready",
		"warmup_left_s": max(0, time.Until(s.coldUntil).Seconds()), "sequence": s.sequence, "born": s.born,
	}
	s.mu.Unlock()
	s.world.store.set("servers", s.id, entry)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", s.id)
		if left := time.Until(s.coldUntil); left > 0 {
			h.Set("Warmup-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		}
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	refuse := func(status int) { h.Set("Not-Executed", "1"); w.WriteHeader(status) }
	if e := r.Header.Get("Expect-Instance"); e != "" && e != s.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	parent := r.Context()
	if s.crashAfter > 0 {
		parent = context.WithoutCancel(parent)
		_, _ = io.Copy(io.Discard, r.Body)
	}
	ctx, cancel := context.WithTimeout(parent, time.Duration(ms)*time.Millisecond)
	defer cancel()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.ran[id] = true
	s.mu.Unlock()
	s.world.record.add("server %s runs %s", s.id, id)
	if s.onRun != nil {
		s.onRun(s, r)
	}
	if s.crashAfter > 0 && s.fatal(r) {
		sleep(ctx, s.crashAfter)
		if ctx.Err() == nil {
			s.onFatal(s)
		}
		panic(http.ErrAbortHandler)
	}
	sleep(ctx, s.work)
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	body := bytes.Repeat([]byte(id+"\n"), s.size/(len(id)+1)+1)
	h.Set("Server-Seal", "seal."+id)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Server-Load", fmt.Sprintf("%d,0,3", len(s.slots)))
	s.mu.Lock()
	breaks := rand.Float64() < s.breakOff
	s.broken[id] = breaks
	s.mu.Unlock()
	if breaks {
		s.world.record.add("server %s breaks its answer to %s off", s.id, id)
		_, _ = w.Write(body[:len(body)-5000])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func (s *server) setBreakOff(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.world.record.add("server %s breaks %g of its answers off", s.id, share)
	s.breakOff = share
}

func (s *server) has(id string) (ran, broke bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id], s.broken[id]
}
