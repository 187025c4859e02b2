package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"magnoliahitch/links/plat"
	"magnoliahitch/platform"
)

// retryInterval is the time between two attempts of the operator or of a server
// to write to the store.
const retryInterval = 100 * time.Millisecond

// services are the services of every run. Each has a route of the same name.
var services = []string{"stock", "reserve", "care", "return"}

// Path prefixes of routes that change with the configuration.
const (
	// movedPrefix is a route whose service may change with each configuration.
	movedPrefix = "/moved/"
	// versionPrefix starts the prefix of the route that only one version has.
	versionPrefix = "/only-"
)

// routeTimeout is the timeout of all routes.
const routeTimeout = 1500 * time.Millisecond

// requestRoute is the route drawn for a request.
type requestRoute struct {
	prefix  string
	unsafe  bool
	timeout time.Duration
}

// route draws a route that every configuration has.
func (w *World) route(r *rand.Rand) requestRoute {
	switch {
	case r.Float64() < unsafeShare:
		return requestRoute{[]string{"/reserve/", "/return/"}[r.IntN(2)], true, routeTimeout}
	case r.IntN(6) == 0:
		return requestRoute{movedPrefix, false, routeTimeout}
	}
	return requestRoute{[]string{"/stock/", "/care/"}[r.IntN(2)], false, routeTimeout}
}

// operator writes configurations and evacuations to the store, as the platform's operator does.
type operator struct {
	store        *platform.Store
	ledger       *Ledger
	disturbances *Disturbances

	// configMu guards version and is held until the store has acknowledged a configuration.
	configMu sync.Mutex
	version  int
	config   []byte

	// mu guards evacuated, which has each failure domain that was evacuated since the start
	// and whether it still is.
	mu        sync.Mutex
	evacuated map[string]bool
}

func newOperator(store *platform.Store, l *Ledger, disturbances *Disturbances) *operator {
	return &operator{store: store, ledger: l, disturbances: disturbances, evacuated: make(map[string]bool)}
}

// Newest returns the version of the newest configuration. It waits while one is being written.
func (o *operator) Newest() int {
	o.configMu.Lock()
	defer o.configMu.Unlock()
	return o.version
}

// configure writes a new configuration to the store and waits for the acknowledgement.
func (o *operator) configure(ctx context.Context) {
	o.configMu.Lock()
	defer o.configMu.Unlock()
	o.version += 1 + o.version%3
	routes := map[string]string{movedPrefix: services[o.version%2*2]}
	for _, s := range services {
		routes["/"+s+"/"] = s
	}
	only := fmt.Sprintf("%s%d/", versionPrefix, o.version)
	routes[only] = services[0]
	o.ledger.Configure(time.Now(), o.version, routes)
	o.config = encodeConfig(o.version, routes)
	if o.write(ctx, platform.ConfigKey, o.config) {
		o.ledger.Configured(time.Now())
	}
}

func encodeConfig(version int, routes map[string]string) []byte {
	type object = map[string]any
	var rules, clusters []object
	for prefix, service := range routes {
		kind := "safe"
		if service == "reserve" || service == "return" {
			kind = "unsafe"
		}
		rules = append(rules, object{
			"name": strings.Trim(prefix, "/"), "kind": kind, "target_latency_s": 0.3, "match": object{"prefix": prefix}, "sticky": true,
			"action": object{"service": service, "timeout_s": routeTimeout.Seconds(), "max_attempts": maxAttempts},
		})
	}
	for _, s := range services {
		clusters = append(clusters, object{"name": s, "health_path": healthPath, "max_connections": 600, "warmup_per_s": PlatformBounds().WarmUpRate})
	}
	out, err := json.Marshal(object{
		"version": fmt.Sprintf("r%d", version), "limits": object{"max_body_bytes": 1 << 20},
		"listeners": []object{{"host": routeHost, "rules": rules}}, "clusters": clusters,
	})
	if err != nil {
		panic(err)
	}
	return out
}

// write writes a row of the operator table and retries until the store
// acknowledges it. It reports false when the context ended before.
func (o *operator) write(ctx context.Context, key string, value []byte) bool {
	for ctx.Err() == nil {
		if _, err := o.store.Put(ctx, platform.OperatorTable, key, value); err == nil {
			return true
		}
		sleep(ctx, retryInterval)
	}
	return false
}

// coolBeforeEnd is the time from the cooling of an evacuated domain's servers to the end
// of the evacuation.
const coolBeforeEnd = time.Second

// evacuate requests the evacuation of the failure domain and withdraws it after d, but
// not before all hosts must know of it. Shortly before the end it calls cool.
func (o *operator) evacuate(ctx context.Context, domain string, d time.Duration, cool func()) {
	o.setEvacuated(domain, true)
	if !o.write(ctx, evacuateKey(domain), []byte("{}")) {
		return
	}
	o.ledger.Evacuated(time.Now(), domain)
	sleep(ctx, max(o.ledger.bounds.Evacuate, d-coolBeforeEnd))
	cool()
	sleep(ctx, coolBeforeEnd)
	o.ledger.Evacuated(time.Time{}, domain)
	o.setEvacuated(domain, false)
	o.remove(ctx, evacuateKey(domain))
}

func evacuateKey(domain string) string { return "evacuate/" + domain }

func (o *operator) setEvacuated(domain string, on bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evacuated[domain] = on
}

// remove removes a row of the operator table and retries until the store acknowledges it
// or the context ends.
func (o *operator) remove(ctx context.Context, key string) {
	for ctx.Err() == nil && o.store.Delete(ctx, platform.OperatorTable, key, plat.Position{}) != nil {
		sleep(ctx, retryInterval)
	}
}

// writeAgain writes the newest configuration and the evacuations to a store that was
// restored from a copy, and removes evacuations that have ended.
func (o *operator) writeAgain(ctx context.Context) {
	o.configMu.Lock()
	o.write(ctx, platform.ConfigKey, o.config)
	o.configMu.Unlock()
	for _, d := range domains {
		o.mu.Lock()
		on, known := o.evacuated[d.name]
		o.mu.Unlock()
		switch {
		case on:
			o.write(ctx, evacuateKey(d.name), []byte("{}"))
		case known:
			o.remove(ctx, evacuateKey(d.name))
		}
	}
}

// probeInterval is the pause between two probes of a host.
const probeInterval = 250 * time.Millisecond

// probe sends requests to every host, on the route that only the newest
// configuration has, until the context ends.
func (w *World) probe(ctx context.Context) {
	var all sync.WaitGroup
	for i, h := range w.hosts {
		all.Go(func() {
			c := &caller{world: w, name: "probe-" + h.Name, region: h.Region, host: h, rand: rand.New(rand.NewPCG(w.options.Seed, uint64(1000+i)))}
			for ctx.Err() == nil {
				sleep(ctx, probeInterval)
				c.probe()
			}
			c.close()
		})
	}
	all.Wait()
}

// probe sends one request to c.host, on the route that only the newest configuration has.
func (c *caller) probe() {
	version := c.world.operator.Newest()
	if c.conn == nil {
		c.addrs = []string{c.host.Addr}
		if c.host.downFor(time.Now()) > 0 || !c.connect() {
			return
		}
	}
	c.count++
	prefix := fmt.Sprintf("%s%d/", versionPrefix, version)
	c.exchange(1, func(bool) (Attempt, []byte) {
		return Attempt{
			ID: fmt.Sprintf("%s-%d", c.name, c.count), Host: c.host.Name, Incarnation: c.hostStart, Route: prefix, Method: http.MethodGet,
			Target: prefix + "probe", Checksum: Checksum(nil), Sent: time.Now(), Timeout: callerTimeout, EffectiveTimeout: routeTimeout,
		}, nil
	})
}
