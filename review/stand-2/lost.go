package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Load of the case: callers that look up catalogue entries, eight at a time on a kept connection.
const (
	lostCallers = 16
	lostAhead   = 8
	lostPause   = 100 * time.Millisecond
	lostAnswer  = 300 << 10
	// The servers are faulty for garbleTime: garbleShare of their answers break off.
	garbleTime  = 5500 * time.Millisecond
	garbleShare = 0.02
	// lostTime is the time of the load, from garbleBegin of which on servers are faulty.
	lostTime    = 10 * time.Second
	garbleBegin = 2 * time.Second
)

// runLost plays the case LOST: servers break answers off while callers pipeline.
func runLost(w *world, trouble bool) bool {
	w.configure(2, rule{"shop.example", "look", "safe", "/look/", "catalogue", 4, 2})
	var servers []*server
	for i, zone := range []int{0, 1, 1, 2, 3, 3} {
		servers = append(servers, w.startServer(fmt.Sprintf("i-%d", i), "catalogue", zone, 20*time.Millisecond, lostAnswer))
	}
	w.startHosts(4)
	time.Sleep(5 * time.Second)
	if trouble {
		// One of three in each region.
		for _, x := range []float64{garbleShare, 0} {
			after := garbleBegin
			if x == 0 {
				after += garbleTime
			}
			time.AfterFunc(after, func() {
				servers[0].setBreakOff(x)
				servers[3].setBreakOff(x)
			})
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), lostTime)
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	sent, answered := 0, 0
	var unanswered []string
	for i := range lostCallers {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := 0; ctx.Err() == nil; {
				c, err := net.Dial("tcp4", w.hosts[i%len(w.hosts)].frontAddr(w))
				if err != nil {
					sleep(ctx, 100*time.Millisecond)
					continue
				}
				in := bufio.NewReaderSize(c, 64<<10)
				for ok := true; ok && ctx.Err() == nil; {
					var ids []string
					for range lostAhead {
						n++
						id := fmt.Sprintf("q%d-%d", i, n)
						ids = append(ids, id)
						w.record.add("caller %d sends %s", i, id)
						fmt.Fprintf(c, "GET /look/%s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nCookie: Affinity-Key=%d\r\nDeadline-Ms: 4000\r\n\r\n", id, id, n%24)
					}
					got := 0
					for _, id := range ids {
						status, err := readAnswer(c, in, id)
						w.record.add("caller %d gets %s: status %d, error %v", i, id, status, err)
						if err != nil {
							ok = false
							break
						}
						got++
					}
					mu.Lock()
					sent += len(ids)
					answered += got
					unanswered = append(unanswered, ids[got:]...)
					mu.Unlock()
					sleep(ctx, lostPause)
				}
				_ = c.Close()
			}
		}()
	}
	group.Wait()
	time.Sleep(time.Second)
	brokenOff, lost := 0, 0
	for _, id := range unanswered {
		sound, broke := false, false
		for k, s := range servers {
			r, b := s.has(id)
			broke = broke || b
			sound = sound || r && k%3 != 0
		}
		switch {
		case broke:
			brokenOff++
		case sound:
			lost++
			w.record.add("LOST: %s ran at a sound server, its connection was closed without an answer", id)
		}
	}
	w.record.add("sent %d, answered %d, broken off by a server %d, run by a sound server and never answered %d (allowed 3)", sent, answered, brokenOff, lost)
	fmt.Printf("sent %d, answered %d, broken off by a server %d, run by a sound server and never answered %d (allowed 3)\n", sent, answered, brokenOff, lost)
	return lost > 3
}

// readAnswer reads one answer and checks that it is the request's.
func readAnswer(c net.Conn, in *bufio.Reader, id string) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return res.StatusCode, err
	}
	if got := res.Header.Get("Request-Id"); got != "" && got != id {
		return res.StatusCode, fmt.Errorf("answer of %s", got)
	}
	return res.StatusCode, nil
}
