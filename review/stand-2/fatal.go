package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Load of the case: one caller of five repeats a request that crashes each server that runs it,
// the others hold entries.
const (
	// givingUp is how long the caller leaves before its deadline, leaveAfter the time after which
	// it leaves: half of the route's latency objective of 375 ms.
	givingUp   = 5500 * time.Millisecond
	leaveAfter = 185 * time.Millisecond
	// fatalTime is the time of the load.
	fatalTime = 12 * time.Second
	// crashAfter is the time from the begin of the request to the crash, before its deadline.
	crashAfter = 700 * time.Millisecond
	// serverBack is the time from a crash to the next start of the server.
	serverBack = 3 * time.Second
	deadlineMs = 1500
	// contact is the time after the third crash from which arrivals count.
	contact = 4 * time.Second
)

// fatalTimes are the times at which the caller sends the request: at once and often, twice while
// it leaves, and later, when it waits for the answer.
var fatalTimes = []time.Duration{
	0, 40 * time.Millisecond, 80 * time.Millisecond, 120 * time.Millisecond, 160 * time.Millisecond, 200 * time.Millisecond,
	4960 * time.Millisecond, 5020 * time.Millisecond, 5080 * time.Millisecond, 5140 * time.Millisecond, 5200 * time.Millisecond, 5260 * time.Millisecond,
	7500 * time.Millisecond, 9 * time.Second, 10500 * time.Millisecond,
}

// fatalPath is the path of the request that crashes servers.
const fatalPath = "/hold/fatal"

// runFatal plays the case BUDGET: a request crashes servers, and its caller leaves before
// the crash.
func runFatal(w *world, trouble bool) bool {
	w.configure(2, rule{"shop.example", "hold", "unsafe", "/hold/", "booking", 1.5, 2})
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	var servers []*server
	fatal := func(r *http.Request) bool { return r.URL.Path == fatalPath }
	onRun := func(_ *server, r *http.Request) {
		if fatal(r) {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, time.Now())
		}
	}
	var onFatal func(s *server)
	onFatal = func(s *server) {
		mu.Lock()
		defer mu.Unlock()
		if s.crash(serverBack) {
			crashes = append(crashes, time.Now())
		}
	}
	for i := range 8 {
		s := w.startServer(fmt.Sprintf("i-%d", i), "booking", i%4, 40*time.Millisecond, 400)
		s.crashAfter, s.onRun, s.onFatal, s.fatal = crashAfter, onRun, onFatal, fatal
		servers = append(servers, s)
	}
	w.startHosts(4)
	time.Sleep(6 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), fatalTime)
	defer cancel()
	var group sync.WaitGroup
	var sent, good atomic.Int64
	for i := range 4 {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("o%d-%d", i, n)
				sent.Add(1)
				if w.post(i, fmt.Sprintf("/hold/%d", n%24), id, "item=1", 2*time.Second) == http.StatusOK {
					good.Add(1)
				}
				sleep(ctx, 150*time.Millisecond)
			}
		}()
	}
	var refused atomic.Int64
	begin := time.Now()
	for n, at := range fatalTimes {
		sleep(ctx, time.Until(begin.Add(at)))
		wait := 2 * time.Second
		if trouble && at+leaveAfter <= givingUp {
			wait = leaveAfter
		}
		group.Add(1)
		go func() {
			defer group.Done()
			if w.post(n, fatalPath, fmt.Sprintf("f-%d", n), "item=fatal", wait) == http.StatusServiceUnavailable {
				refused.Add(1)
			}
		}()
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
	text := fmt.Sprintf("fatal request: %d arrivals, %d crashes, %d refusals, %d arrivals later than 4 s after the third crash (allowed 3); other requests: %d sent, %d served",
		len(arrivals), len(crashes), refused.Load(), late, sent.Load(), good.Load())
	w.record.add("%s", text)
	fmt.Println(text)
	return late > 3
}

// post sends a request on a new connection to the host with the number and leaves after the
// time. It returns the status, 0 for none.
func (w *world) post(n int, path, id, body string, wait time.Duration) int {
	c, err := net.DialTimeout("tcp4", w.hosts[n%len(w.hosts)].frontAddr(w), time.Second)
	if err != nil {
		w.record.add("%s: no connection: %v", id, err)
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(wait))
	w.record.add("caller sends %s %s to %s", id, path, w.hosts[n%len(w.hosts)].name)
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", path, id, deadlineMs, len(body), body)
	status, err := readStatus(c)
	w.record.add("%s: status %d, error %v", id, status, err)
	return status
}

func readStatus(c net.Conn) (int, error) {
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	return res.StatusCode, nil
}
