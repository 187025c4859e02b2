package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// repeatEvery is the time between two attempts of the request that crashes servers, so that one
	// server at most is down with trouble.
	repeatEvery = 4800 * time.Millisecond
	// poisonTime is the time during which it comes again.
	poisonTime = 60 * time.Second
	// mostRetries is the number of retries that the rule allows.
	mostRetries = 3
	// early and late are the time from the begin of a run to the crash: within half of the deadline, so
	// that a second server crashes too, or beyond it.
	early = 300 * time.Millisecond
	late  = 700 * time.Millisecond
)

// poisonPath is the path of the request that crashes each server that begins to run it.
const poisonPath = "/stock/poison"

// crash is the way in which a request crashes servers.
type crash struct {
	after  time.Duration
	silent bool
}

// plainCrash is the way without trouble: the connections and the port of the server close.
var plainCrash = crash{after: early}

// silentCrash is the case of a request that makes servers fall silent.
func silentCrash(r *record, dir string, trouble bool) int {
	c := plainCrash
	c.silent = trouble
	return crashes(r, dir, c)
}

// lateCrash is the case of a request that crashes servers so late that a second one stops at the
// deadline and says so.
func lateCrash(r *record, dir string, trouble bool) int {
	c := plainCrash
	if trouble {
		c.after = late
	}
	return crashes(r, dir, c)
}

// crashes sends a request that crashes servers again and again, beside others.
func crashes(r *record, dir string, c crash) int {
	n := freeNetwork()
	st := newStore()
	if err := st.serve(fmt.Sprintf("%s:%d", n.ip(1), storePort)); err != nil {
		r.tell("could not run: %v", err)
		return couldnt
	}
	st.put("op", "config", []byte(configText))

	var mu sync.Mutex
	var crashes []time.Time
	var arrivals int
	// begun holds when a server first began to run an attempt of the client, by the attempt's id.
	begun := make(map[string]time.Time)
	run := func(x *incarnation, q *http.Request, until time.Time) int {
		if q.URL.Path != poisonPath {
			return work(until)
		}
		id := q.Header.Get("Request-Id")
		mu.Lock()
		arrivals++
		if begun[id].IsZero() {
			begun[id] = time.Now()
		}
		mu.Unlock()
		if time.Until(until) < c.after {
			stopAt(until)
			return http.StatusGatewayTimeout
		}
		time.Sleep(c.after)
		mu.Lock()
		crashes = append(crashes, time.Now())
		r.line("server %s (%s) crashes by %s, crash %d", x.name, x.id, id, len(crashes))
		mu.Unlock()
		if c.silent {
			x.crashSilently()
		} else {
			x.crash()
		}
		return 0
	}
	for i := range 12 {
		z := zones[i%len(zones)]
		s := &server{name: fmt.Sprintf("inventario-%d", i+1), service: "inventario", addr: fmt.Sprintf("%s:%d", n.ip(11+i), serverPort), zone: z.name, store: st, record: r, run: run}
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
				status := requestOnce(r, hosts[(i+k)%len(hosts)], fmt.Sprintf("/stock/item%d", object), object)
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
		status := requestOnce(r, h, poisonPath, 17)
		r.line("attempt %d ended with status %d", i+1, status)
		time.Sleep(time.Until(next))
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	r.tell("%d attempts of the request reached servers, with %d arrivals; %d servers crashed by it; %d of %d other requests were served", len(begun), arrivals, len(crashes), served, asked)
	if len(crashes) < 3 {
		r.tell("could not run: fewer than three servers crashed")
		return couldnt
	}
	retries := 0
	for _, t := range begun {
		if t.Sub(crashes[2]) > contact {
			retries++
		}
	}
	r.tell("%d attempts reached servers later than %v after the third crash; the rule allows %d", retries, contact, mostRetries)
	if retries > mostRetries {
		r.tell("BUDGET is broken")
		return broken
	}
	r.tell("BUDGET held")
	return held
}
