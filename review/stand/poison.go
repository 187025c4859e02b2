package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// poisonKill repeats a request that crashes each server that begins to run it. With trouble, all
// hosts are killed at the same moment after its third crash.
func poisonKill(hitchd, record string, trouble bool) (bool, error) {
	return poison(hitchd, record, trouble, false)
}

// poisonQuery repeats a request that crashes each server that begins to run it. With trouble,
// its path, caller and body stay the same, but not its query.
func poisonQuery(hitchd, record string, trouble bool) (bool, error) {
	return poison(hitchd, record, false, trouble)
}

func poison(hitchd, record string, kill, query bool) (bool, error) {
	w, err := newWorld(hitchd, record, pdrZones)
	if err != nil {
		return false, err
	}
	defer w.close()
	const service, stock, returns = "svc-inv", "stock.example", "return.example"
	w.store.put("op", "config", config(5, []string{service}, []route{
		{stock, "/stock/", "safe", service, 1.2},
		{returns, "/return/", "unsafe", service, 1.0},
	}))
	for i := range 12 {
		z := w.zones[i%len(w.zones)]
		s := w.newServer(fmt.Sprintf("i-%02d", i), service, z[0], fmt.Sprintf("%s%d:8500", w.net, 100+i), 120*time.Millisecond)
		s.crashes = func(r *http.Request) bool { return strings.HasPrefix(r.RequestURI, "/stock/poison") }
		if err := s.start(false); err != nil {
			return false, err
		}
		w.servs = append(w.servs, s)
	}
	w.addHosts(1)
	for _, h := range w.hosts {
		if err := h.start(true); err != nil {
			return false, err
		}
	}
	if !w.waitReady(8 * time.Second) {
		return false, errors.New("hosts are not ready")
	}
	time.Sleep(contact)

	// Other callers' operations, which must not be lost.
	var stop atomic.Bool
	var lostMu sync.Mutex
	var lost []reply
	var wg sync.WaitGroup
	for i := range 4 * len(w.hosts) {
		h := w.hosts[i%len(w.hosts)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; !stop.Load(); n++ {
				r := w.send(h, "DELETE", returns, fmt.Sprintf("/return/%d/%d", i, n%24), fmt.Sprint(n%24), nil, time.Second)
				if r.status != http.StatusOK {
					lostMu.Lock()
					lost = append(lost, r)
					lostMu.Unlock()
				}
				time.Sleep(30 * time.Millisecond)
			}
		}()
	}
	defer func() { stop.Store(true); wg.Wait() }()

	// come sends the poison as a client does: at one host, and after a failure once more at
	// another one of its region.
	var sent []reply
	come := func(first, second *host) {
		for _, h := range []*host{first, second} {
			target := "/stock/poison"
			if query {
				target += fmt.Sprintf("?n=%d", len(sent))
			}
			r := w.send(h, "GET", stock, target, "7", nil, 1200*time.Millisecond)
			sent = append(sent, r)
			if r.status == http.StatusOK || r.header.Get("Retry-After") != "" {
				return
			}
		}
	}
	come(w.hosts[0], w.hosts[3])
	time.Sleep(2 * time.Second)
	come(w.hosts[2], w.hosts[5])
	time.Sleep(2 * time.Second)
	come(w.hosts[1], w.hosts[4])
	third := time.Time{}
	if at := poisonRuns(w, sent); len(at) >= 3 {
		third = at[2]
	} else {
		return false, fmt.Errorf("the request crashed %d servers only", len(at))
	}
	w.note("third crash at %.3f s", third.Sub(w.began).Seconds())
	time.Sleep(2 * time.Second)
	if kill {
		for _, h := range w.hosts {
			h.signal(syscall.SIGKILL)
		}
		time.Sleep(600 * time.Millisecond)
		for _, h := range w.hosts {
			h.waitExit(time.Second)
			if err := h.start(false); err != nil {
				return false, err
			}
		}
		if !w.waitReady(10 * time.Second) {
			return false, errors.New("hosts are not ready after the kill")
		}
	}
	time.Sleep(contact + 3*time.Second)
	lostMu.Lock()
	before := len(lost)
	lostMu.Unlock()
	late := time.Now()
	come(w.hosts[0], w.hosts[3])
	time.Sleep(3 * time.Second)
	come(w.hosts[2], w.hosts[5])
	time.Sleep(2 * time.Second)
	stop.Store(true)
	wg.Wait()

	count := 0
	for _, r := range sent {
		if r.sent.Before(late) || r.sent.Before(third.Add(contact)) || r.sent.Sub(r.host.since()) < contact {
			continue
		}
		for _, e := range w.events(r.id, "arrives") {
			count++
			w.note("late arrival of the request at %s as %s from %s", e.server, r.id, r.host.name)
		}
	}
	ran := 0
	for _, r := range lost[before:] {
		if len(w.events(r.id, "begins to run")) > 0 {
			ran++
		}
	}
	verdict := fmt.Sprintf("BUDGET: the request reached servers %d times later than contact_s after its third crash (3 allowed); meanwhile %d operations of other callers failed, %d of which had begun to run", count, len(lost)-before, ran)
	w.note("%s", verdict)
	fmt.Println(verdict)
	return count > 3, nil
}

// poisonRuns returns when servers began to run the requests, in order.
func poisonRuns(w *world, sent []reply) []time.Time {
	ids := make(map[string]bool)
	for _, r := range sent {
		ids[r.id] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []time.Time
	for _, e := range w.seen {
		if ids[e.id] && e.what == "begins to run" {
			out = append(out, e.at)
		}
	}
	return out
}
