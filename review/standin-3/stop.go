package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// slowTime and quickTime are how long servers run requests: the site's class stock takes 240 ms in
	// the mean and 720 at most, and less where a server has handled the object lately.
	slowTime  = 600 * time.Millisecond
	quickTime = 80 * time.Millisecond
	// lossSlack is the bound loss_slack_s.
	lossSlack = 200 * time.Millisecond
	// stoppedClients and otherClients are the numbers of clients of the host that is stopped and of each other one.
	stoppedClients, otherClients = 6, 1
	// calmTime is how long clients send before the stop, stopTime from then on: grace_s and more.
	calmTime, stopTime = 4 * time.Second, 9 * time.Second
	// grace is the bound grace_s.
	grace = 6 * time.Second
)

const slowPath = "/stock/slow"

// plannedStop is the case of clients that send further requests before they have the answers to those
// before, to a host that gets SIGTERM.
func plannedStop(r *record, dir string, trouble bool) int {
	n := freeNetwork()
	st := newStore()
	if err := st.serve(fmt.Sprintf("%s:%d", n.ip(1), storePort)); err != nil {
		r.tell("could not run: %v", err)
		return couldnt
	}
	st.put("op", "config", []byte(configText))
	run := func(_ *incarnation, q *http.Request, until time.Time) int {
		took := quickTime
		if strings.HasPrefix(q.URL.Path, slowPath) {
			took = slowTime
		}
		if time.Until(until) < took {
			stopAt(until)
			return http.StatusGatewayTimeout
		}
		time.Sleep(took)
		return http.StatusOK
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
	time.Sleep(contact + time.Second)

	x := &stopClients{record: r, until: time.Now().Add(calmTime + stopTime)}
	var clients sync.WaitGroup
	for i, h := range hosts {
		k := otherClients
		if i == 0 {
			k = stoppedClients
		}
		for range k {
			clients.Go(func() {
				for at := h; time.Now().Before(x.until); at = hosts[1+rand.IntN(len(hosts)-1)] {
					x.connection(at)
				}
			})
		}
	}
	time.Sleep(calmTime)
	if trouble {
		r.line("%s gets SIGTERM", hosts[0].name)
		began := time.Now()
		if err := hosts[0].cmd.Process.Signal(syscall.SIGTERM); err != nil {
			r.tell("could not run: %v", err)
			return couldnt
		}
		_ = hosts[0].cmd.Wait()
		r.line("%s has ended after %.2f s", hosts[0].name, time.Since(began).Seconds())
		if time.Since(began) > grace {
			r.tell("could not run: the host didn't end in time")
			return couldnt
		}
	}
	clients.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	r.tell("%d requests were answered; %d had none when their connection was closed in order over %v after they were sent; %d others had none", x.answered, x.lost, lossSlack, x.others)
	switch {
	case x.answered == 0:
		return couldnt
	case x.lost > 0:
		r.tell("LOST is broken")
		return broken
	}
	r.tell("LOST held")
	return held
}

// stopClients are the clients of the case.
type stopClients struct {
	record *record
	until  time.Time

	mu                     sync.Mutex
	answered, lost, others int
}

// sentRequest is a request without an answer yet.
type sentRequest struct {
	id string
	at time.Time
}

// connection sends requests on one connection until the host closes it or says that it will. Of each three
// requests the first one takes long, the second and the third come while it runs.
func (x *stopClients) connection(h *host) {
	c, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", h.ip, frontPort), time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer func() { _ = c.Close() }()
	// waiting holds the requests in the order in which they were sent.
	waiting := make(chan sentRequest, 16)
	closing := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() { x.read(c, h, waiting, closing) })
	defer reader.Wait()
	defer close(waiting)
	// Clients don't send at the same times.
	time.Sleep(rand.N(slowTime))
	send := func(path string) bool {
		select {
		case <-closing:
			return false
		default:
		}
		q := sentRequest{id: fmt.Sprintf("%016x", rand.Uint64()), at: time.Now()}
		x.record.line("client sends %s GET %s to %s", q.id, path, h.name)
		_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: stock.example\r\nRequest-Id: %s\r\nCookie: Affinity-Key=%d\r\nDeadline-Ms: %d\r\n\r\n", path, q.id, rand.IntN(50), deadline.Milliseconds())
		if err != nil {
			return false
		}
		q.at = time.Now()
		waiting <- q
		return true
	}
	for time.Now().Before(x.until) {
		begin := time.Now()
		for _, q := range []struct {
			path  string
			after time.Duration
		}{{slowPath, 0}, {"/stock/quick", 50 * time.Millisecond}, {"/stock/quick", 300 * time.Millisecond}} {
			time.Sleep(time.Until(begin.Add(q.after)))
			if !send(fmt.Sprintf("%s%d", q.path, rand.IntN(50))) {
				return
			}
		}
		select {
		case <-closing:
			return
		case <-time.After(time.Until(begin.Add(slowTime + 100*time.Millisecond))):
		}
	}
}

// read reads the answers in order. It closes the channel closing when the connection carries no further request.
func (x *stopClients) read(c net.Conn, h *host, waiting <-chan sentRequest, closing chan struct{}) {
	in := bufio.NewReader(c)
	ended := false
	var end error
	var at time.Time
	for q := range waiting {
		if !ended {
			_ = c.SetReadDeadline(q.at.Add(deadline))
			res, err := http.ReadResponse(in, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, res.Body)
			}
			if err == nil {
				x.record.line("client got status %d for %s, the connection closes: %t", res.StatusCode, q.id, res.Close)
				x.mu.Lock()
				x.answered++
				x.mu.Unlock()
				if res.Close {
					// What was sent before may still be answered.
					select {
					case <-closing:
					default:
						close(closing)
					}
				}
				continue
			}
			ended, end, at = true, err, time.Now()
			select {
			case <-closing:
			default:
				close(closing)
			}
		}
		age := at.Sub(q.at)
		// The other side has read all bytes if it closed in order, and not by a reset.
		inOrder := errors.Is(end, io.EOF) || errors.Is(end, io.ErrUnexpectedEOF)
		x.record.line("client got no answer to %s, sent %.3f s before the end of its connection to %s: %v", q.id, age.Seconds(), h.name, end)
		x.mu.Lock()
		if inOrder && age > lossSlack && age < deadline {
			x.lost++
		} else {
			x.others++
		}
		x.mu.Unlock()
	}
}
