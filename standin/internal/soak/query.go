package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// fatalMark marks the target of a request that crashes each server that runs it.
	fatalMark = "fatal="
	// meanFatalPause is the mean time between two repeats of such a request.
	meanFatalPause = 250 * time.Millisecond
	// fatalAddrs is the number of addresses from which it is repeated.
	fatalAddrs = 50
	// fatalCrashes is the number of servers that it may crash before it must be refused.
	fatalCrashes = 3
)

// isFatal reports whether a request for the target crashes servers.
func isFatal(target string) bool { return strings.Contains(target, fatalMark) }

// query is the ledger's state of a fatal request.
type query struct {
	crashes int
	// third is when it crashed the third server, late the number of times that it reached
	// servers afterwards, of those that count.
	third time.Time
	late  int
}

// Crashed records that the request for the target crashed a server.
func (l *Ledger) Crashed(now time.Time, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queries[target]
	if q == nil {
		q = &query{}
		l.queries[target] = q
	}
	if q.crashes++; q.crashes == fatalCrashes {
		q.third = now
	}
}

// checkQuery checks that a fatal request reaches no server once it must be refused.
func (l *Ledger) checkQuery(now time.Time, r *record) {
	q := l.queries[r.Target]
	if q == nil || q.third.IsZero() || r.Sent.Sub(q.third) <= l.bounds.QuietPeriod || !l.undisturbed(r.Sent, now, r) {
		return
	}
	if q.late++; q.late > l.bounds.FatalRetries {
		l.addViolation(now, QueryRefused, r, "reached servers %d times later than %s after it crashed the third, %d crashed", q.late, l.bounds.QuietPeriod, q.crashes)
	}
}

// repeatFatally repeats a fatal request at random hosts and from several addresses until the
// event ends.
func (w *World) repeatFatally(ctx context.Context, e Event) {
	r := rand.New(rand.NewPCG(w.options.Seed, 3))
	prefix := []string{"/stock/", "/care/"}[r.IntN(2)]
	target := fmt.Sprintf("%sitem/2?%s%d", prefix, fatalMark, e.Target)
	for n, end := 0, time.Now().Add(e.For); time.Now().Before(end); n++ {
		sleep(ctx, time.Duration(r.ExpFloat64()*float64(meanFatalPause)))
		c := &caller{world: w, host: w.hosts[r.IntN(len(w.hosts))], rand: r}
		c.hostStart = c.host.Starts()
		from := &net.TCPAddr{IP: net.ParseIP(w.ip(120, 1+r.IntN(fatalAddrs)))}
		if !c.open(c.host.Addr, from) {
			continue
		}
		id := fmt.Sprintf("%s%d-%d", fatalMark, e.Target, n)
		c.exchange(1, func(bool) (Attempt, []byte) {
			return Attempt{
				ID: id, Host: c.host.Name, Incarnation: c.hostStart, Route: prefix, Method: http.MethodGet, Target: target,
				Checksum: Checksum(nil), Sent: time.Now(), Timeout: callerTimeout, EffectiveTimeout: min(callerTimeout, routeTimeout),
			}, nil
		})
		c.close()
	}
}
