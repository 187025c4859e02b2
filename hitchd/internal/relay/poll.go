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
	"magnoliahitch/links/head"
	"magnoliahitch/steer/fleet"
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
	pollsLate     = metrics.NewCounter(`hitch_relay_polls_total{result="late"}`)
)

// pollRequest requests the changes since the positions, and the lists whose digest
// differs.
type pollRequest struct {
	Self      member.Host       `msgpack:"self"`
	Positions watch.Positions   `msgpack:"positions"`
	Digests   map[string]uint64 `msgpack:"sums"`
	Crashes   crashRequest      `msgpack:"crashes"`
	// Departures are servers of which responses told that they leave.
	Departures []fleet.Departure `msgpack:"departures"`
}

// pollResponse holds the changes that the polling host lacks.
type pollResponse struct {
	Update  watch.Update  `msgpack:"copy"`
	Lists   []domainList  `msgpack:"lists"`
	Crashes crashResponse `msgpack:"crashes"`
	// Departures are servers of which responses told that they leave.
	Departures []fleet.Departure `msgpack:"departures"`
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

var client = &http.Client{Transport: &http.Transport{
	DialContext: conns.Dialer().DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdle, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeader,
}}

// poll requests the changes that this host lacks from the host h and applies them.
func (r *Relay) poll(ctx context.Context, h member.Host) error {
	r.mu.Lock()
	request := pollRequest{Self: r.self, Positions: r.watch.Positions(), Digests: r.members.Digests(), Crashes: r.crashRequest(clock.Now(), h.Name), Departures: r.watch.Departures(clock.Now())}
	r.mu.Unlock()
	sentAt := clock.Now()
	timeout := pollTimeout + min(maxLateTime, 2*r.delays.Standing(sentAt))
	var a pollResponse
	if err := call(ctx, h, pollPath, timeout, request, &a); err != nil {
		return errors.Wrapf(err, "poll %s", h.Name)
	}
	pollsAnswered.Inc()
	r.apply(sentAt, h, request.Crashes, a)
	return nil
}

// call sends the message to the host's path and decodes the response.
func call(ctx context.Context, h member.Host, path string, timeout time.Duration, in, out any) error {
	data, err := msgpack.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.PeerAddr+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", res.StatusCode)
	}
	if err := head.Check(res.Header); err != nil {
		return err
	}
	if data, err = io.ReadAll(io.LimitReader(head.Body(res), maxResponse)); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, out)
}

// apply applies the response of the host to a poll that was sent at the time.
func (r *Relay) apply(sentAt time.Time, h member.Host, request crashRequest, a pollResponse) {
	r.watch.Adopt(sentAt, a.Update)
	r.watch.RecordDepartures(clock.Now(), a.Departures)
	r.applyCrashes(h.Name, request, a.Crashes)
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
	m.Handle("POST "+crashesPath, peer.MessageHandler(func(_ *http.Request, in crashRequest) (crashResponse, error) {
		return r.respondCrashes(clock.Now(), in), nil
	}))
	return m
}

func (r *Relay) respond(now time.Time, in pollRequest) pollResponse {
	r.watch.RecordDepartures(now, in.Departures)
	a := pollResponse{Update: r.watch.Since(in.Positions), Crashes: r.respondCrashes(now, in.Crashes), Departures: r.watch.Departures(now)}
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
