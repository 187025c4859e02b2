package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// freshRate is how many requests on new connections a host gets in a second: the site's 202 of
	// stock in three regions, at the two hosts that a look-up names.
	freshRate = 34
	// idleTime is the time for which clients come.
	idleTime = 99 * time.Second
	// fewest is the number of clients that the rule asks for.
	fewest = 7
)

// idle is the case of clients that leave their connections open, idle, until the system closes them.
// Without trouble they close each one after its answer.
func idle(r *record, dir string, trouble bool) int {
	n := freeNetwork()
	st := newStore()
	if err := st.serve(fmt.Sprintf("%s:%d", n.ip(1), storePort)); err != nil {
		r.tell("could not run: %v", err)
		return couldnt
	}
	st.put("op", "config", []byte(configText))
	for i := range 12 {
		z := zones[i%len(zones)]
		s := &server{name: fmt.Sprintf("inventario-%d", i+1), service: "inventario", addr: fmt.Sprintf("%s:%d", n.ip(11+i), serverPort), zone: z.name, store: st, record: r, run: func(_ *incarnation, _ *http.Request, until time.Time) int {
			return work(until)
		}}
		if err := s.start(false); err != nil {
			r.tell("could not run: %v", err)
			return couldnt
		}
	}
	hosts, err := startHosts(n, dir)
	defer func() { end(hosts) }()
	if err == nil {
		err = awaitReady(hosts)
	}
	if err != nil {
		r.tell("could not run: %v", err)
		return couldnt
	}
	time.Sleep(contact + time.Second)

	h := hosts[0]
	var mu sync.Mutex
	var refusedSince time.Time
	tried, served, worstTried := 0, 0, 0
	var worst time.Duration
	answered := func(at time.Time, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case ok:
			refusedSince, tried = time.Time{}, 0
			served++
			return
		case refusedSince.IsZero():
			refusedSince = at
		}
		tried++
		if d := time.Since(refusedSince); d > worst {
			worst, worstTried = d, tried
		}
	}
	// The platform asks on a connection that it keeps, as it does once a second.
	ready, asked := 0, 0
	readyTo := make(chan struct{})
	go func() {
		defer close(readyTo)
		c, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", h.ip, readyPort), time.Second)
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		in := bufio.NewReader(c)
		for begin := time.Now(); time.Since(begin) < idleTime; time.Sleep(time.Second) {
			_ = c.SetDeadline(time.Now().Add(time.Second))
			_, _ = fmt.Fprintf(c, "GET /api/ready HTTP/1.1\r\nHost: %s\r\n\r\n", h.ip)
			res, err := http.ReadResponse(in, nil)
			mu.Lock()
			asked++
			if err == nil && res.StatusCode == http.StatusOK {
				ready++
			}
			mu.Unlock()
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, res.Body)
		}
	}()
	var clients sync.WaitGroup
	var open []net.Conn
	t := time.NewTicker(time.Second / freshRate)
	defer t.Stop()
	for begin := time.Now(); time.Since(begin) < idleTime; {
		<-t.C
		clients.Go(func() {
			at := time.Now()
			c, status := request(r, h, fmt.Sprintf("/stock/item%d", rand.IntN(50)), rand.IntN(50))
			answered(at, status > 0)
			mu.Lock()
			defer mu.Unlock()
			if c != nil && trouble && status > 0 {
				open = append(open, c)
			} else if c != nil {
				_ = c.Close()
			}
			if k := len(open); status > 0 && k%250 == 0 && k > 0 {
				r.line("%d connections are open", k)
			}
			if status != http.StatusOK {
				r.line("a request on a new connection: status %d", status)
			}
		})
	}
	clients.Wait()
	<-readyTo
	mu.Lock()
	defer mu.Unlock()
	r.tell("%d requests on new connections were answered; %d connections were left open; the host said %d of %d times that it is ready", served, len(open), ready, asked)
	r.tell("the longest time without an answer on a new connection: %.1f s, with %d tries; the rule allows %v", worst.Seconds(), worstTried, contact)
	for _, c := range open {
		_ = c.Close()
	}
	if worst > contact && worstTried >= fewest && ready == asked {
		r.tell("RECOVER is broken")
		return broken
	}
	r.tell("RECOVER held")
	return held
}
