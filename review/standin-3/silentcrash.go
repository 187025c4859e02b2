package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crashAfter is the work of the request that crashes servers, up to the crash.
	crashAfter = 700 * time.Millisecond
	// repeatEvery is the time between two of its attempts, so that one server at most is down.
	repeatEvery = 3600 * time.Millisecond
	// poisonTime is the time during which it comes again.
	poisonTime = 50 * time.Second
	// mostRetries is the number of retries that the rule allows.
	mostRetries = 3
)

// poisonPath is the path of the request that crashes each server that begins to run it.
const poisonPath = "/stock/poison"

// silentCrash is the case of a request that makes servers fall silent and comes again and again. Without
// trouble the servers crash with their connections and ports closed.
func silentCrash(r *record, dir string, trouble bool) int {
	n := freeNetwork()
	st := newStore()
	if err := st.serve(fmt.Sprintf("%s:%d", n.ip(1), storePort)); err != nil {
		r.tell("could not run: %v", err)
		return couldnt
	}
	st.put("op", "config", []byte(configText))

	var mu sync.Mutex
	var arrivals, crashes []time.Time
	work := func(x *incarnation, q *http.Request) bool {
		if q.URL.Path != poisonPath {
			time.Sleep(time.Duration(20+rand.IntN(40)) * time.Millisecond)
			return true
		}
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		r.line("server %s (%s) begins to run %s", x.name, x.id, q.Header.Get("Request-Id"))
		time.Sleep(crashAfter)
		mu.Lock()
		crashes = append(crashes, time.Now())
		r.line("server %s (%s) crashes by %s, crash %d", x.name, x.id, q.Header.Get("Request-Id"), len(crashes))
		mu.Unlock()
		if trouble {
			x.crashSilently()
		} else {
			x.crash()
		}
		return false
	}
	for i := range 12 {
		z := zones[i%len(zones)]
		s := &server{name: fmt.Sprintf("inventario-%d", i+1), service: "inventario", addr: fmt.Sprintf("%s:%d", n.ip(11+i), serverPort), zone: z.name, store: st, record: r, run: work}
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
	// Machines are in touch contact after their start, and know the servers.
	time.Sleep(contact + 2*time.Second)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	served, asked := 0, 0
	for i := range 24 {
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(200+rand.IntN(400)) * time.Millisecond):
				}
				object := rand.IntN(50)
				status := request(hosts[(i+k)%len(hosts)], fmt.Sprintf("/stock/item%d", object), object)
				mu.Lock()
				asked++
				if status == http.StatusOK {
					served++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	for i, begin := 0, time.Now(); time.Since(begin) < poisonTime; i++ {
		h := hosts[i%len(hosts)]
		next := time.Now().Add(repeatEvery)
		r.line("the request comes to %s, attempt %d", h.name, i+1)
		if status := request(h, poisonPath, 17); status > 0 {
			r.line("attempt %d was answered with status %d", i+1, status)
		} else {
			r.line("attempt %d had no answer before the deadline", i+1)
		}
		time.Sleep(time.Until(next))
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	r.tell("%d arrivals of the request at servers, %d servers crashed by it; %d of %d other requests were served", len(arrivals), len(crashes), served, asked)
	if len(crashes) < 3 {
		r.tell("could not run: fewer than three servers crashed")
		return couldnt
	}
	late := 0
	for _, t := range arrivals {
		if t.Sub(crashes[2]) > contact {
			late++
		}
	}
	r.tell("%d arrivals later than %v after the third crash; the rule allows %d", late, contact, mostRetries)
	if late > mostRetries {
		r.tell("BUDGET is broken")
		return broken
	}
	r.tell("BUDGET held")
	return held
}

// request sends a request to the host on a connection of its own and returns the status of the
// answer, 0 for none before the deadline.
func request(h *host, target string, object int) int {
	c, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", h.ip, frontPort), time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	const deadline = 1200 * time.Millisecond
	id := fmt.Sprintf("%016x", rand.Uint64())
	var b strings.Builder
	fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: stock.example\r\nRequest-Id: %s\r\nCookie: Affinity-Key=%d\r\nDeadline-Ms: %d\r\n\r\n", target, id, object, deadline.Milliseconds())
	if _, err := io.WriteString(c, b.String()); err != nil {
		return 0
	}
	_ = c.SetReadDeadline(time.Now().Add(deadline))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}
