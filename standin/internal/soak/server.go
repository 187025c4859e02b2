package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"magnoliahitch/platform"
)

// Properties of an upstream server.
const (
	serverSlots = 3
	serverQueue = 9
	// A request takes minServiceTime and a random part of serviceTimeSpread, and
	// twice as long during warm-up.
	minServiceTime    = 20 * time.Millisecond
	serviceTimeSpread = 60 * time.Millisecond
	// warmUp is the duration of the warm-up after a cold start.
	warmUp = 3 * time.Second
	// idleTimeout is how long a server keeps an idle connection open.
	idleTimeout = 10 * time.Second
	// healthPath is the path of the health check.
	healthPath = "/health"
	// maxResponseBody bounds the length of a response body in bytes, exclusive.
	maxResponseBody = 6000
	// earlySuffix ends the ids of requests that servers answer, with a body of
	// earlyResponseBody bytes, before they read the request's body. They read it up to
	// maxEarlyPause later.
	earlySuffix       = "-early"
	earlyResponseBody = 400 << 10
	maxEarlyPause     = 100 * time.Millisecond
	// maxCutDelay is below the time in which such a body arrives.
	maxCutDelay = 20 * time.Millisecond
)

// ServerFault is the fault of a server. The zero value is a healthy server.
type ServerFault struct {
	// Slow is the factor on the service time, 0 for none.
	Slow float64
	// Fail, Lose, Truncate and Extra are the shares of requests that fail with status
	// 500, and whose response is lost, truncated, or followed by another one. Malform is the share
	// of those whose response has a blank in the name of the field that tells its framing, Cut
	// that of early responses without a length that a reset breaks off.
	Fail, Lose, Truncate, Extra, Malform, Cut float64
	// HoldOff is the share of requests that are refused with a time in which none should
	// follow, Repeat that of those whose refusal is repeated before the next response of the
	// connection, and Unavailable that of those that run and get a status of a refusal.
	HoldOff, Repeat, Unavailable float64
}

// Server is one start of an upstream server.
type Server struct {
	Upstream
	Born      int64
	addr      string
	ledger    *Ledger
	coldUntil atomic.Pointer[time.Time]
	http      *http.Server
	slots     chan struct{}
	waiting   atomic.Int64
	// leaving is set once the server is about to stop, which all of its responses tell.
	leaving atomic.Bool
	fault   atomic.Pointer[ServerFault]
	ended   atomic.Bool
	// onFatal is called with the target of a fatal request that the server runs. It reports
	// whether the server crashes.
	onFatal func(target string) bool

	mu   sync.Mutex
	idle map[net.Conn]bool
}

// StartServer starts a server that listens on the address. A cold one is in
// warm-up first. OnFatal decides whether it crashes by a fatal request.
func StartServer(now time.Time, u Upstream, addr string, cold bool, l *Ledger, onFatal func(target string) bool) (*Server, error) {
	s := &Server{
		Upstream: u, Born: now.UnixMilli(), ledger: l, slots: make(chan struct{}, serverSlots), idle: make(map[net.Conn]bool),
		onFatal: onFatal,
	}
	s.coldUntil.Store(&now)
	if cold {
		s.Cool(now)
	}
	s.fault.Store(&ServerFault{})
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "start server %s", u.ID)
	}
	s.addr = ln.Addr().String()
	l.Start(u, *s.coldUntil.Load())
	s.http = &http.Server{Handler: s, IdleTimeout: idleTimeout, ConnState: s.track}
	go func() { _ = s.http.Serve(ln) }()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// Cool starts a warm-up of the server.
func (s *Server) Cool(now time.Time) {
	until := now.Add(warmUp)
	s.coldUntil.Store(&until)
}

// WarmUpLeft returns the remaining time of the warm-up, 0 without one.
func (s *Server) WarmUpLeft(now time.Time) time.Duration { return max(0, s.coldUntil.Load().Sub(now)) }

// Crash closes the server's listener and all its connections at once.
func (s *Server) Crash() {
	s.ended.Store(true)
	_ = s.http.Close()
}

// Forget resets the idle connections without notice.
func (s *Server) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.idle {
		if t, ok := c.(*net.TCPConn); ok {
			abort(t)
		}
	}
}

func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.idle, c)
	if state == http.StateIdle {
		s.idle[c] = true
	}
}

// Checksum returns the checksum of a body.
func Checksum(body []byte) uint64 { return xxhash.Sum64(body) }

// Body returns the response body to the request with the id.
func Body(id string) []byte {
	n := int(xxhash.Sum64String(id) % maxResponseBody)
	if isEarly(id) {
		n += earlyResponseBody
	}
	return bytes.Repeat([]byte(id+"\n"), n/(len(id)+1)+1)[:n]
}

// isEarly reports whether servers answer the request with the id before they read its body.
func isEarly(id string) bool { return strings.HasSuffix(id, earlySuffix) }

// ServeHTTP serves a request or health check of a host.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderRequestID)
	h := w.Header()
	leaving := s.leaving.Load()
	if leaving {
		h.Set(platform.HeaderLeaving, "1")
	}
	if r.URL.Path == healthPath {
		s.health(w)
		return
	}
	h.Set(platform.HeaderRequestID, id)
	if expect := r.Header.Get(platform.HeaderExpect); expect != "" && expect != s.ID {
		s.reject(w, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		s.reject(w, http.StatusBadRequest)
		return
	}
	ms, err := strconv.Atoi(r.Header.Get(platform.HeaderDeadline))
	if err != nil {
		ms = 0
	}
	allowed := time.Duration(ms) * time.Millisecond
	s.ledger.Arrive(time.Now(), id, s.ID, allowed)
	if leaving {
		s.ledger.Announce(id, s.ID)
	}
	f := *s.fault.Load()
	switch dice := rand.Float64(); {
	case dice < f.HoldOff:
		s.holdOff(w, r, id)
		return
	case dice < f.HoldOff+f.Repeat && hijackable(w):
		s.repeat(w, r)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), allowed)
	defer cancel()
	if !s.admit(ctx) {
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.work(ctx, w, r, id)
}

// admit waits for a slot. It reports false when the queue is full, or when the
// deadline passed, the client disconnected or the server crashed meanwhile.
func (s *Server) admit(ctx context.Context) bool {
	if s.waiting.Add(1) > serverQueue {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	if ctx.Err() != nil || s.ended.Load() {
		<-s.slots
		return false
	}
	return true
}

func (s *Server) reject(w http.ResponseWriter, status int) {
	w.Header().Set(platform.HeaderNotRun, "1")
	w.Header().Set(platform.HeaderLoad, s.load())
	w.WriteHeader(status)
}

// Bounds of the time in which a server wants no requests of a host.
const (
	minHoldOff    = 200 * time.Millisecond
	holdOffSpread = 3 * time.Second
)

// holdOff refuses the request with a time in which the host should send no more.
func (s *Server) holdOff(w http.ResponseWriter, r *http.Request, id string) {
	d := minHoldOff + rand.N(holdOffSpread)
	w.Header().Set(platform.HeaderRetryAfter, strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
	if r.Context().Err() == nil {
		s.ledger.HoldOff(time.Now(), id, s.ID, d)
	}
	s.reject(w, http.StatusServiceUnavailable)
}

// repeat refuses the request, and writes the refusal once more before the response to the
// next request of the connection.
func (s *Server) repeat(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	c, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	w.Header().Set(platform.HeaderNotRun, "1")
	var refusal strings.Builder
	refusal.WriteString("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n")
	_ = w.Header().Write(&refusal)
	refusal.WriteString("\r\n")
	_, _ = c.Write([]byte(refusal.String()))
	_ = c.SetDeadline(time.Now().Add(idleTimeout))
	next, err := http.ReadRequest(buf.Reader)
	if err != nil || s.ended.Load() {
		return
	}
	_, _ = c.Write([]byte(refusal.String()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out := httptest.NewRecorder()
	s.ServeHTTP(out, next.WithContext(ctx))
	_ = out.Result().Write(c)
}

func (s *Server) load() string {
	return fmt.Sprintf("%d,%d,%d", len(s.slots), s.waiting.Load(), serverSlots)
}

func (s *Server) health(w http.ResponseWriter) {
	w.Header().Set("Instance-Id", s.ID)
	if left := s.WarmUpLeft(time.Now()); left > 0 {
		w.Header().Set(platform.HeaderWarmUp, strconv.FormatInt(left.Milliseconds(), 10))
	}
	if s.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// work executes the request and responds to it, subject to the server's fault.
func (s *Server) work(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) {
	if c := http.NewResponseController(w); isEarly(id) && c.EnableFullDuplex() == nil {
		s.workEarly(w, c, r, id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.ledger.Run(time.Now(), id, s.ID, r.Method, r.RequestURI, Checksum(body))
	if isFatal(r.RequestURI) && s.onFatal(r.RequestURI) {
		panic(http.ErrAbortHandler)
	}
	f := *s.fault.Load()
	took := minServiceTime + rand.N(serviceTimeSpread)
	if s.WarmUpLeft(time.Now()) > 0 {
		took *= 2
	}
	if f.Slow > 0 {
		took = time.Duration(float64(took) * f.Slow)
	}
	select {
	case <-time.After(took):
	case <-ctx.Done():
	}
	if s.ended.Load() || r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	s.sign(w.Header(), id)
	status := http.StatusOK
	switch {
	case ctx.Err() != nil:
		status = http.StatusGatewayTimeout
	case rand.Float64() < f.Fail:
		status = http.StatusInternalServerError
	case rand.Float64() < f.Unavailable:
		status = refusals[rand.IntN(len(refusals))]
	}
	s.ledger.Finish(id, status)
	s.respond(w, f, status, Body(id))
}

// sign sets the headers of a response that the server made itself.
func (s *Server) sign(h http.Header, id string) {
	h.Set(platform.HeaderSignature, strconv.FormatUint(xxhash.Sum64String("seal"+id), 16))
	h.Set(platform.HeaderLoad, s.load())
	h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(idleTimeout.Seconds())))
	if s.leaving.Load() {
		h.Set("Connection", "close")
	}
}

// workEarly executes the request, responds, and reads the request's body after that.
func (s *Server) workEarly(w http.ResponseWriter, c *http.ResponseController, r *http.Request, id string) {
	s.ledger.Run(time.Now(), id, s.ID, r.Method, r.RequestURI, unreadBody)
	s.sign(w.Header(), id)
	s.ledger.Finish(id, http.StatusOK)
	body := Body(id)
	if rand.Float64() < s.fault.Load().Cut && hijackable(w) {
		cut(w, body)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
	_ = c.Flush()
	time.Sleep(rand.N(maxEarlyPause))
	got, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.ledger.ReadOn(time.Now(), id, s.ID, Checksum(got))
}

// cut writes a part of a response without a length and resets the connection, while the request is
// still being received.
func cut(w http.ResponseWriter, body []byte) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	var out strings.Builder
	out.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&out)
	out.WriteString("\r\n")
	out.Write(body[:rand.IntN(len(body))])
	_, _ = c.Write([]byte(out.String()))
	time.Sleep(rand.N(maxCutDelay))
	if t, ok := c.(*net.TCPConn); ok {
		abort(t)
	}
}

// hijackable reports whether the writer can give up its connection, which that of the request
// after a repeated refusal can't.
func hijackable(w http.ResponseWriter) bool {
	_, ok := w.(http.Hijacker)
	return ok
}

// respond writes the response, which the fault may lose, truncate, follow with another one or
// give an invalid header.
func (s *Server) respond(w http.ResponseWriter, f ServerFault, status int, body []byte) {
	dice := rand.Float64()
	if dice >= f.Lose+f.Truncate+f.Extra+f.Malform || !hijackable(w) {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(status)
		_, _ = w.Write(body)
		return
	}
	c, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if dice < f.Lose {
		return
	}
	var out strings.Builder
	if dice >= f.Lose+f.Truncate+f.Extra {
		fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nTransfer-Encoding : chunked\r\n", status, http.StatusText(status))
		_ = w.Header().Write(&out)
		fmt.Fprintf(&out, "\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		_, _ = buf.WriteString(out.String())
		_ = buf.Flush()
		return
	}
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	_ = w.Header().Write(&out)
	out.WriteString("\r\n")
	out.Write(body)
	if dice < f.Lose+f.Truncate {
		// Within the head or the body.
		_, _ = buf.WriteString(out.String()[:rand.IntN(out.Len())])
		_ = buf.Flush()
		return
	}
	if dice >= f.Lose+f.Truncate {
		fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\n%s: other\r\n%s: 0\r\nContent-Length: 2\r\n\r\nno", platform.HeaderRequestID, platform.HeaderSignature)
	}
	_, _ = buf.WriteString(out.String())
	_ = buf.Flush()
	if dice >= f.Lose+f.Truncate {
		// A host that returns the connection to its pool meanwhile finds the extra response on it.
		time.Sleep(time.Second)
	}
}
