package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// foreign puts an entry of another writer among those of the servers. It lacks the fields
// version, warmup_left_s and born. At its address listens that writer's own program, which
// knows none of the callers' paths: it answers 404.
func foreign(hitchd, record string, trouble bool) (bool, error) {
	w, err := newWorld(hitchd, record, pdrZones)
	if err != nil {
		return false, err
	}
	defer w.close()
	const service, host = "svc-res", "reserve.example"
	w.store.put("op", "config", config(5, []string{service}, []route{{host, "/reserve/", "unsafe", service, 1.5}}))
	for i := range 6 {
		z := w.zones[i%len(w.zones)]
		s := w.newServer(fmt.Sprintf("i-%02d", i), service, z[0], fmt.Sprintf("%s%d:8500", w.net, 100+i), 20*time.Millisecond)
		if err := s.start(false); err != nil {
			return false, err
		}
	}
	w.addHosts(1)
	for _, h := range w.hosts {
		if err := h.start(true); err != nil {
			return false, err
		}
	}
	if !w.waitReady(10 * time.Second) {
		return false, errors.New("hosts are not ready")
	}
	time.Sleep(contact + time.Second)
	if trouble {
		addr := w.net + "150:8500"
		go func() {
			_ = http.ListenAndServe(addr, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				w.note("program of the other writer: gets %s %s %s", r.Header.Get("Request-Id"), r.Method, r.RequestURI)
				rw.Header().Set("Connection", "close")
				http.NotFound(rw, r)
			}))
		}()
		w.store.put("servers", "b-1", map[string]any{"service": service, "address": addr, "zone": "mvd-a", "max_concurrency": 3, "state": "ready", "sequence": 1})
	}
	time.Sleep(2 * time.Second)
	total, denied := 0, 0
	for n := range 300 {
		r := w.send(w.hosts[n%len(w.hosts)], "POST", host, fmt.Sprintf("/reserve/%d", n), fmt.Sprint(n%25), []byte("x"), 1500*time.Millisecond)
		total++
		if r.status >= 300 && r.status < 500 && r.status != 408 && r.status != 421 && r.status != 429 && !r.sealed {
			denied++
		}
	}
	verdict := fmt.Sprintf("DENIED: %d of %d proper requests were ended with a 3xx or 4xx that no server had given (5 + one in 500 allowed)", denied, total)
	w.note("%s", verdict)
	fmt.Println(verdict)
	return float64(denied) > 5+float64(total)/500, nil
}
