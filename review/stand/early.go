package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the early answers. Bodies stay far within max_body_bytes (64 MiB).
const (
	earlyBody   = 300_000
	earlyAnswer = 400_000
	earlyPart   = 16 << 10
	earlyPause  = 8 * time.Millisecond
	earlyCount  = 30
	// apply is apply_s.
	apply = 2500 * time.Millisecond
)

// seen is what a server got of one request.
type seen struct {
	method, target string
	body           []byte
	// whole reports that the body ended as the protocol says: by its length, or by its last chunk.
	whole  bool
	status int
}

// earlyServer is a server that may answer before it has read a long body, keeps the
// connection and reads on later.
type earlyServer struct {
	world    *world
	id, addr string
	// early is set if it answers long bodies early.
	early bool

	mu   *sync.Mutex
	seen map[string][]seen
}

func (s *earlyServer) start() error {
	l, err := net.Listen("tcp4", s.addr)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return nil
}

func (s *earlyServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if !s.answer(c, r) {
			return
		}
	}
}

// answer serves one request and reports whether the connection goes on.
func (s *earlyServer) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	if r.URL.Path == "/health" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
		return err == nil
	}
	if r.Header.Get("Expect-Instance") != s.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		_, _ = io.Copy(io.Discard, r.Body)
		return err == nil
	}
	s.world.arrive(s.id, id)
	s.world.begin(s.id, id)
	x := seen{method: r.Method, target: r.RequestURI, status: http.StatusOK}
	out := bytes.Repeat([]byte(id+"\n"), earlyAnswer/(len(id)+1)+1)[:earlyAnswer]
	respond := func() bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s.%s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", id, s.id, id, len(out), out)
		return err == nil
	}
	sent := true
	early := s.early && (r.ContentLength < 0 || r.ContentLength > earlyPart)
	if early {
		sent = respond()
	}
	var err error
	x.body, err = io.ReadAll(r.Body)
	x.whole = err == nil
	s.world.note("server %s: body of request %s ends after %d bytes, %s", s.id, id, len(x.body), map[bool]string{true: "whole", false: "broken off: " + errText(err)}[x.whole])
	s.mu.Lock()
	s.seen[id] = append(s.seen[id], x)
	s.mu.Unlock()
	if !x.whole {
		return false
	}
	if !early {
		time.Sleep(20 * time.Millisecond)
		sent = respond()
	}
	s.world.end(s.id, id, x.status)
	return sent
}

// earlyWorld is a deployment with servers that answer early, or don't.
func earlyWorld(hitchd, record string, early bool) (*world, *earlyServer, error) {
	w, err := newWorld(hitchd, record, pdrZones)
	if err != nil {
		return nil, nil, err
	}
	const service = "svc-res"
	w.store.put("op", "config", config(5, []string{service}, []route{{"reserve.example", "/reserve/", "unsafe", service, 4}}))
	shared := &earlyServer{mu: &sync.Mutex{}, seen: map[string][]seen{}}
	for i := range 6 {
		z := w.zones[i%len(w.zones)]
		s := &earlyServer{world: w, id: fmt.Sprintf("i-%02d", i), addr: fmt.Sprintf("%s%d:8500", w.net, 100+i), early: early, mu: shared.mu, seen: shared.seen}
		if err := s.start(); err != nil {
			return w, nil, err
		}
		w.store.put("servers", s.id, map[string]any{
			"service": service, "address": s.addr, "zone": z[0], "version": "v1", "max_concurrency": slots, "state": "ready",
			"warmup_left_s": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
	}
	w.addHosts(1)
	for _, h := range w.hosts {
		if err := h.start(true); err != nil {
			return w, nil, err
		}
	}
	if !w.waitReady(10 * time.Second) {
		return w, nil, errors.New("hosts are not ready")
	}
	time.Sleep(contact + time.Second)
	return w, shared, nil
}

// longReply is what the client of a long body got.
type longReply struct {
	id, target string
	body       []byte
	// sent is set once the whole body was sent.
	sent   bool
	status int
	sealed bool
	// whole reports that the answer was complete, right that its bytes were the server's.
	whole, right bool
	// closes reports that the answer closes the connection.
	closes bool
	err    error
}

// sendLong sends a request with a long body on the connection, in parts with short pauses, and
// reads the answer meanwhile. The body is sent to its end also after the answer.
func (w *world) sendLong(c net.Conn, in *bufio.Reader, n, length int, chunked bool) longReply {
	x := longReply{id: w.id(), target: fmt.Sprintf("/reserve/%d", n)}
	var text strings.Builder
	for i := 0; text.Len() < length; i++ {
		fmt.Fprintf(&text, "%s line %07d\n", x.id, i)
	}
	x.body = []byte(text.String())
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	framing := fmt.Sprintf("Content-Length: %d", len(x.body))
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	w.note("client: sends %s POST %s, body of %d bytes, %s", x.id, x.target, len(x.body), framing)
	sent := make(chan error, 1)
	go func() {
		sent <- func() error {
			if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: reserve.example\r\nRequest-Id: %s\r\nCookie: Affinity-Key=%d\r\nDeadline-Ms: 4000\r\n%s\r\n\r\n", x.target, x.id, n, framing); err != nil {
				return err
			}
			for rest := x.body; len(rest) > 0; {
				part := rest[:min(earlyPart, len(rest))]
				rest = rest[len(part):]
				out := part
				if chunked {
					out = []byte(fmt.Sprintf("%x\r\n%s\r\n", len(part), part))
				}
				if _, err := c.Write(out); err != nil {
					return err
				}
				time.Sleep(earlyPause)
			}
			if chunked {
				_, err := io.WriteString(c, "0\r\n\r\n")
				return err
			}
			return nil
		}()
	}()
	res, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
	if err == nil {
		var body []byte
		x.closes = res.Close
		x.status, x.sealed = res.StatusCode, res.Header.Get("Server-Seal") != ""
		body, err = io.ReadAll(res.Body)
		x.whole = err == nil
		x.right = bytes.Equal(body, bytes.Repeat([]byte(x.id+"\n"), earlyAnswer/(len(x.id)+1)+1)[:earlyAnswer])
		w.note("client: %s gets %d, %d bytes, whole: %v %s", x.id, x.status, len(body), x.whole, errText(err))
	} else {
		w.note("client: %s gets no answer: %v", x.id, err)
	}
	x.err = err
	sendErr := <-sent
	x.sent = sendErr == nil
	w.note("client: %s has sent its body, error %q", x.id, errText(sendErr))
	return x
}

// early sends long bodies in chunks to servers that answer before they have read them, and
// checks what the servers get where the rest of a body is due.
func early(hitchd, record string, trouble bool) (bool, error) {
	w, servers, err := earlyWorld(hitchd, record, trouble)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return false, err
	}
	var all []longReply
	for n := range earlyCount {
		c, err := net.DialTimeout("tcp4", w.hosts[n%len(w.hosts)].front(), time.Second)
		if err != nil {
			return false, err
		}
		all = append(all, w.sendLong(c, bufio.NewReader(c), n, earlyBody, true))
		_ = c.Close()
	}
	time.Sleep(500 * time.Millisecond)
	servers.mu.Lock()
	defer servers.mu.Unlock()
	changed, answered := 0, 0
	for _, x := range all {
		if x.status == http.StatusOK && x.whole {
			answered++
		}
		for _, got := range servers.seen[x.id] {
			if !got.whole || bytes.Equal(got.body, x.body) {
				continue
			}
			changed++
			same := 0
			for same < min(len(got.body), len(x.body)) && got.body[same] == x.body[same] {
				same++
			}
			w.note("UNASKED: the server of %s got a whole body of %d bytes, the client sent %d; they differ from byte %d on", x.id, len(got.body), len(x.body), same)
		}
	}
	verdict := fmt.Sprintf("UNASKED: of %d requests with long bodies, %d were answered and %d ran with another body than the client's", len(all), answered, changed)
	w.note("%s", verdict)
	fmt.Println(verdict)
	if !trouble && answered != len(all) {
		return false, errors.New("requests fail without trouble")
	}
	return changed > 0, nil
}

// cut sends long bodies with a length on kept connections to servers that answer before they
// have read them, and counts the answers that the host breaks off.
func cut(hitchd, record string, trouble bool) (bool, error) {
	w, _, err := earlyWorld(hitchd, record, trouble)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return false, err
	}
	broken, planned, answered, total := 0, 0, 0, 0
	var reload time.Time
	for n := range earlyCount {
		if time.Since(reload) > 2*time.Second {
			// Planned work, which excuses no lost answer of the requests after it.
			for _, h := range w.hosts {
				h.signal(syscall.SIGHUP)
			}
			reload = time.Now()
		}
		c, err := net.DialTimeout("tcp4", w.hosts[n%len(w.hosts)].front(), time.Second)
		if err != nil {
			return false, err
		}
		in := bufio.NewReader(c)
		if first := w.sendLong(c, in, n, 500, false); first.status != http.StatusOK || !first.right || first.closes {
			return false, fmt.Errorf("the first request of a connection got status %d, closing: %v, error %v", first.status, first.closes, first.err)
		}
		x := w.sendLong(c, in, n, earlyBody, false)
		_ = c.Close()
		total++
		ran := len(w.events(x.id, "begins to run")) > 0
		switch {
		case x.status == http.StatusOK && x.whole && x.right:
			answered++
		case ran && x.sent && (x.status == 0 || !x.whole):
			broken++
			if time.Since(reload) < apply {
				planned++
			}
			w.note("LOST: %s was passed on to a server, and the connection was closed before its answer was complete", x.id)
		}
	}
	verdict := fmt.Sprintf("LOST: of %d requests with long bodies, %d were answered and %d were read whole, passed on and their connections closed before the answer was complete (3 allowed); %d of these within apply_s of a SIGHUP of the machine (none allowed)", total, answered, broken, planned)
	w.note("%s", verdict)
	fmt.Println(verdict)
	if !trouble && answered != total {
		return false, errors.New("requests fail without trouble")
	}
	return broken > 3 || planned > 0, nil
}
