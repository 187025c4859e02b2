package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Load of the case: several callers look up the same entry. The request of one of them
// crashes each server that runs it.
const (
	popularPath = "/look/7"
	badCaller   = "till-7"
	callerTime  = 40 * time.Second
	badPause    = 2500 * time.Millisecond
	// badCrash is the time from the begin of the request to the crash.
	badCrash = 20 * time.Millisecond
)

// runCaller plays the case BUDGET: a caller's request crashes servers, others with the same
// path and body don't.
func runCaller(w *world, trouble bool) bool {
	w.configure(2, rule{"shop.example", "look", "safe", "/look/", "catalogue", 1.5, 2})
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	fatal := func(r *http.Request) bool { return r.Header.Get("User-Agent") == badCaller }
	onRun := func(_ *server, r *http.Request) {
		if fatal(r) {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, time.Now())
		}
	}
	onFatal := func(s *server) {
		mu.Lock()
		defer mu.Unlock()
		if s.crash(serverBack) {
			crashes = append(crashes, time.Now())
		}
	}
	for i := range 8 {
		s := w.startServer(fmt.Sprintf("i-%d", i), "catalogue", i%4, 40*time.Millisecond, 400)
		s.crashAfter, s.onRun, s.onFatal, s.fatal = badCrash, onRun, onFatal, fatal
	}
	w.startHosts(4)
	time.Sleep(6 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), callerTime)
	defer cancel()
	var group sync.WaitGroup
	var sent, good atomic.Int64
	for i := range 6 {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := 0; ctx.Err() == nil; n++ {
				path := popularPath
				if n%2 == 1 {
					path = fmt.Sprintf("/look/%d", 10+n%24)
				}
				sent.Add(1)
				if w.get(n+i, path, fmt.Sprintf("o%d-%d", i, n), i+1) == http.StatusOK {
					good.Add(1)
				}
				sleep(ctx, 100*time.Millisecond)
			}
		}()
	}
	refused := 0
	for n := 0; ctx.Err() == nil; n++ {
		begun := time.Now()
		if trouble && w.get(n, popularPath, fmt.Sprintf("f-%d", n), 7) == http.StatusServiceUnavailable {
			refused++
		}
		sleep(ctx, badPause-time.Since(begun))
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, t := range arrivals {
			if t.After(crashes[2].Add(contact)) {
				late++
			}
		}
	}
	text := fmt.Sprintf("fatal request: %d arrivals, %d crashes, %d refusals, %d arrivals later than 4 s after the third crash (allowed 3); other callers: %d sent, %d served",
		len(arrivals), len(crashes), refused, late, sent.Load(), good.Load())
	w.record.add("%s", text)
	fmt.Println(text)
	return late > 3
}

// get sends a request of the caller with the number, who has an address and a program of its
// own, to the host with the number n. It returns the status, 0 for none.
func (w *world) get(n int, path, id string, caller int) int {
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 78, byte(caller))}}
	c, err := d.Dial("tcp4", w.hosts[n%len(w.hosts)].frontAddr(w))
	if err != nil {
		w.record.add("%s: no connection: %v", id, err)
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	w.record.add("caller %d sends %s %s to %s", caller, id, path, w.hosts[n%len(w.hosts)].name)
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: shop.example\r\nUser-Agent: till-%d\r\nRequest-Id: %s\r\nCookie: Affinity-Key=%s\r\nDeadline-Ms: %d\r\n\r\n", path, caller, id, path[6:], deadlineMs)
	status, err := readStatus(c)
	w.record.add("%s: status %d, error %v", id, status, err)
	return status
}
