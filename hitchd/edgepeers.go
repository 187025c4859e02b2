package main

import (
	"context"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"magnoliahitch/hitchd/internal/conns"
	"magnoliahitch/hitchd/internal/gossip"
	"magnoliahitch/hitchd/internal/watch"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

const (
	copyPath = "/copy"
	// copyTimeout bounds the fetch of another host's copy.
	copyTimeout = time.Second
	// maxCopy bounds a copy in bytes.
	maxCopy = 16 << 20
	// staleAfter is the age of this host's own reads from which it asks others.
	staleAfter = 1500 * time.Millisecond
	// lookupLife is how long callers keep the answer of a look-up.
	lookupLife = 2 * time.Second
	// A look-up names this part of the region's hosts, but at least a few. The
	// fewer hosts serve a host name, the more each knows of its servers' load and
	// the more connections are reused.
	lookupShare = 1.0 / 8
	minLookup   = 2
	// sponsors is the number of hosts that send to a server that warms up.
	sponsors = 2
	// sponsorShare is the part of a cold server's limit that its sponsors use
	// together. Twice as many hosts take themselves for sponsors while the
	// hosts' knowledge of each other differs.
	sponsorShare = 0.7
	// sponsorBurst is the part of a sponsor's limit that it may use at once.
	sponsorBurst = 0.4
	// registerInterval is the time between two tries to write this host's row.
	registerInterval = 500 * time.Millisecond
)

// Ready reports whether the host takes requests.
func (h *edgeHost) Ready() bool {
	return h.watch.State().Ready() && !h.gossip.Self().Leaving
}

// Lookup returns the hosts that a caller should use.
func (h *edgeHost) Lookup(name, region, _ string) ([]string, time.Duration) {
	live := h.gossip.Live(clock.Now())
	near := place.InRegion(live, region)
	if len(near) == 0 {
		near = live
	}
	var out []string
	most := max(minLookup, int(math.Ceil(lookupShare*float64(len(near)))))
	for i, x := range place.Rank(name, near) {
		if i == most {
			break
		}
		out = append(out, x.CallerAddr)
	}
	return out, min(lookupLife, h.settings.Bounds.LookupTTL)
}

// sponsor returns how fast this host may send to a server that warms up.
func (h *edgeHost) sponsor(service, server string) (rate, burst float64) {
	st := h.watch.State()
	if st.Table == nil {
		return 0, 0
	}
	limit := st.Table.Services[service].WarmRate*h.settings.Bounds.ColdOverrun + h.settings.Bounds.ColdSlack
	for i, x := range place.Rank(server, h.gossip.Live(clock.Now())) {
		if i >= sponsors {
			break
		}
		if x.Name == h.settings.Host {
			each := limit * sponsorShare / sponsors
			return each * (1 - sponsorBurst), max(1, each*sponsorBurst)
		}
	}
	return 0, 0
}

// register writes this host's row until it stands.
func (h *edgeHost) register(ctx context.Context) error {
	row, err := h.gossip.Row()
	if err != nil {
		return errors.Wrap(err, "encode row of this host")
	}
	for {
		err := h.store.Put(ctx, hostsTable, h.settings.Host, row)
		if err == nil {
			close(h.listed)
			h.log.Info("row of this host written")
			<-ctx.Done()
			return nil
		}
		h.log.Warn("row of this host not written", "error", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(registerInterval):
		}
	}
}

// peers serves the other hosts.
func (h *edgeHost) peers() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+copyPath, func(w http.ResponseWriter, _ *http.Request) {
		data, err := msgpack.Marshal(h.watch.Copy())
		if err != nil {
			h.log.Error("copy can't be encoded", "error", err)
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(data)
	})
	return m
}

var peerClient = &http.Client{Timeout: copyTimeout, Transport: &http.Transport{DialContext: conns.Dialer().DialContext, MaxIdleConnsPerHost: 1}}

// catchUp fetches the copy of a host that knows more, while this host's own
// reads of the store fail.
func (h *edgeHost) catchUp(ctx context.Context) {
	st := h.watch.State()
	now := clock.Now()
	if now.Sub(st.Servers) < staleAfter && now.Sub(st.Operator) < staleAfter+lookupLife {
		return
	}
	from, ok := h.gossip.Newest(now, gossip.Versions{Operator: st.OperatorVersion, Servers: st.ServersVersion})
	if !ok {
		return
	}
	c, err := fetchCopy(ctx, from)
	if err != nil {
		h.log.Warn("copy of another host not read", "from", from.Name, "error", err)
		return
	}
	h.watch.Adopt(c)
	h.log.Info("copy adopted", "from", from.Name, "operator", c.Operator.Version, "servers", c.Servers.Version, "serversAge", c.Servers.Age)
}

func fetchCopy(ctx context.Context, from member.Host) (watch.Copy, error) {
	var c watch.Copy
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.PeerAddr+copyPath, nil)
	if err != nil {
		return c, err
	}
	res, err := peerClient.Do(req)
	if err != nil {
		return c, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return c, errors.Errorf("status %d", res.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxCopy))
	if err != nil {
		return c, err
	}
	return c, msgpack.Unmarshal(data, &c)
}
