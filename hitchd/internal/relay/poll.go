package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/hitchd/internal/peer"
	"magnoliahitch/hitchd/internal/watch"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/crash"
	"magnoliahitch/steer/member"
)

const (
	pollPath = "/poll"
	// maxAnswer bounds an answer in bytes.
	maxAnswer = 16 << 20
	// peerIdle is how long the connection to a source is kept.
	peerIdle = 10 * time.Second
)

var (
	pollsAnswered = metrics.NewCounter(`hitch_relay_polls_total{result="answered"}`)
	pollsFailed   = metrics.NewCounter(`hitch_relay_polls_total{result="failed"}`)
)

// pollRequest asks a host for what changed.
type pollRequest struct {
	Self     member.Host       `msgpack:"self"`
	Versions watch.Versions    `msgpack:"versions"`
	Sums     map[string]uint64 `msgpack:"sums"`
	Deaths   []crash.Report    `msgpack:"deaths"`
}

// pollAnswer holds what the asking host lacks.
type pollAnswer struct {
	Copy  watch.Copy `msgpack:"copy"`
	Lists []toldList `msgpack:"lists"`
	// Deaths are the requests with which servers crashed.
	Deaths []crash.Report `msgpack:"deaths"`
}

// toldList is the list of live hosts of a failure domain.
type toldList struct {
	Domain string `msgpack:"domain"`
	Sum    uint64 `msgpack:"sum"`
	// Hosts is nil when the asking host has the list already.
	Hosts []member.Host `msgpack:"hosts"`
	// Age is the time since the list was made.
	Age time.Duration `msgpack:"age"`
}

var client = &http.Client{Timeout: timeout, Transport: &http.Transport{
	DialContext: conns.Dialer().DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdle, DisableCompression: true,
}}

// poll asks the host for what this one lacks and takes it in.
func (r *Relay) poll(ctx context.Context, h member.Host) error {
	r.mu.Lock()
	ask := pollRequest{Self: r.self, Versions: r.watch.Versions(), Sums: r.members.Sums(), Deaths: r.deaths.Reports(clock.Now())}
	r.mu.Unlock()
	data, err := msgpack.Marshal(ask)
	if err != nil {
		return errors.Wrap(err, "encode poll")
	}
	asked := clock.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.PeerAddr+pollPath, bytes.NewReader(data))
	if err != nil {
		return errors.Wrapf(err, "poll %s", h.Name)
	}
	res, err := client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "poll %s", h.Name)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("poll %s: status %d", h.Name, res.StatusCode)
	}
	data, err = io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return errors.Wrapf(err, "poll %s", h.Name)
	}
	var a pollAnswer
	if err := msgpack.Unmarshal(data, &a); err != nil {
		return errors.Wrapf(err, "poll %s", h.Name)
	}
	pollsAnswered.Inc()
	r.take(asked, h, a)
	return nil
}

// take takes the answer of the host in.
func (r *Relay) take(asked time.Time, h member.Host, a pollAnswer) {
	r.watch.Adopt(asked, a.Copy)
	r.deaths.Told(clock.Now(), a.Deaths)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.avoided, h.Name)
	for _, l := range a.Lists {
		// Only the source speaks for all domains; another domain's host
		// speaks for its own.
		if h.Domain == r.self.Domain || l.Domain == h.Domain {
			r.members.Tell(l.Domain, l.Hosts, l.Sum, asked.Add(-l.Age))
		}
	}
}

// Handler answers the polls of other hosts.
func (r *Relay) Handler() http.Handler {
	m := http.NewServeMux()
	m.Handle("POST "+pollPath, peer.Message(func(_ *http.Request, in pollRequest) (pollAnswer, error) {
		return r.answer(clock.Now(), in), nil
	}))
	return m
}

func (r *Relay) answer(now time.Time, in pollRequest) pollAnswer {
	r.deaths.Told(now, in.Deaths)
	a := pollAnswer{Copy: r.watch.Since(in.Versions), Deaths: r.deaths.Reports(now)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.members.Hear(now, in.Self) {
		r.log.Info("host is heard", "peer", in.Self.Name, "incarnation", in.Self.Incarnation)
	}
	if r.source == "" {
		r.members.Judge(now)
	}
	for d, l := range r.members.lists {
		if now.Sub(l.at) >= listLife {
			continue
		}
		t := toldList{Domain: d, Sum: l.sum, Age: now.Sub(l.at)}
		if in.Sums[d] != l.sum {
			t.Hosts = append([]member.Host{}, l.hosts...)
		}
		a.Lists = append(a.Lists, t)
	}
	return a
}
