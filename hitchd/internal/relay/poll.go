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
	// maxResponse bounds the size of a response in bytes.
	maxResponse = 16 << 20
	// maxResponseHeader bounds the header of a response in bytes.
	maxResponseHeader = 16 << 10
	// peerIdle is how long an idle connection to another host is kept.
	peerIdle = 10 * time.Second
)

var (
	pollsAnswered = metrics.NewCounter(`hitch_relay_polls_total{result="answered"}`)
	pollsFailed   = metrics.NewCounter(`hitch_relay_polls_total{result="failed"}`)
)

// pollRequest requests the changes since the versions, and the lists whose digest
// differs.
type pollRequest struct {
	Self     member.Host       `msgpack:"self"`
	Versions watch.Versions    `msgpack:"versions"`
	Digests  map[string]uint64 `msgpack:"sums"`
	Crashes  []crash.Report    `msgpack:"deaths"`
}

// pollResponse holds the changes that the polling host lacks.
type pollResponse struct {
	Update watch.Update `msgpack:"copy"`
	Lists  []domainList `msgpack:"lists"`
	// Crashes are reports of requests during which servers crashed.
	Crashes []crash.Report `msgpack:"deaths"`
}

// domainList is the list of live hosts of a failure domain.
type domainList struct {
	Domain string `msgpack:"domain"`
	Digest uint64 `msgpack:"sum"`
	// Hosts is nil when the polling host has the same list.
	Hosts []member.Host `msgpack:"hosts"`
	// Age is the time since the list was correct.
	Age time.Duration `msgpack:"age"`
}

var client = &http.Client{Timeout: pollTimeout, Transport: &http.Transport{
	DialContext: conns.Dialer().DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdle, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeader,
}}

// poll requests the changes that this host lacks from the host h and applies them.
func (r *Relay) poll(ctx context.Context, h member.Host) error {
	r.mu.Lock()
	request := pollRequest{Self: r.self, Versions: r.watch.Versions(), Digests: r.members.Digests(), Crashes: r.crashes.Reports(clock.Now())}
	r.mu.Unlock()
	data, err := msgpack.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode poll")
	}
	sentAt := clock.Now()
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
	data, err = io.ReadAll(io.LimitReader(res.Body, maxResponse))
	if err != nil {
		return errors.Wrapf(err, "poll %s", h.Name)
	}
	var a pollResponse
	if err := msgpack.Unmarshal(data, &a); err != nil {
		return errors.Wrapf(err, "poll %s", h.Name)
	}
	pollsAnswered.Inc()
	r.apply(sentAt, h, a)
	return nil
}

// apply applies the response of the host to a poll that was sent at the time.
func (r *Relay) apply(sentAt time.Time, h member.Host, a pollResponse) {
	r.watch.Adopt(sentAt, a.Update)
	r.crashes.Merge(clock.Now(), a.Crashes)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.backoffs, h.Name)
	for _, l := range a.Lists {
		// The lists of all domains are accepted from a host of this domain, the
		// source. A host of another domain is only trusted for its own.
		if h.Domain == r.self.Domain || l.Domain == h.Domain {
			r.members.SetList(l.Domain, l.Hosts, l.Digest, sentAt.Add(-l.Age))
		}
	}
}

// Handler serves the polls of other hosts.
func (r *Relay) Handler() http.Handler {
	m := http.NewServeMux()
	m.Handle("POST "+pollPath, peer.MessageHandler(func(_ *http.Request, in pollRequest) (pollResponse, error) {
		return r.respond(clock.Now(), in), nil
	}))
	return m
}

func (r *Relay) respond(now time.Time, in pollRequest) pollResponse {
	r.crashes.Merge(now, in.Crashes)
	a := pollResponse{Update: r.watch.Since(in.Versions), Crashes: r.crashes.Reports(now)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.members.RecordPoll(now, in.Self) {
		r.log.Info("host is heard", "peer", in.Self.Name, "incarnation", in.Self.Incarnation)
	}
	if r.source == "" {
		r.members.UpdateOwnList(now)
	}
	for d, l := range r.members.lists {
		if now.Sub(l.at) >= listValidity {
			continue
		}
		t := domainList{Domain: d, Digest: l.digest, Age: now.Sub(l.at)}
		if in.Digests[d] != l.digest {
			t.Hosts = append([]member.Host{}, l.hosts...)
		}
		a.Lists = append(a.Lists, t)
	}
	return a
}
