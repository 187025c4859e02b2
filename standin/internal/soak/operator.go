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

	"magnoliahitch/platform"
)

// retryPause is the time between two tries of the operator and of servers to
// write to the store.
const retryPause = 100 * time.Millisecond

// services are those of all runs. The route of each has its name.
var services = []string{"stock", "reserve", "care", "return"}

// Prefixes of routes that change with the configuration.
const (
	// movedPrefix is a route that each configuration sends to another service.
	movedPrefix = "/moved/"
	// onlyPrefix begins the routes that one version alone has.
	onlyPrefix = "/only-"
)

// routeTimeout is the time-out of all routes.
const routeTimeout = 1500 * time.Millisecond

// drawn is a route for a request.
type drawn struct {
	prefix  string
	unsafe  bool
	timeout time.Duration
}

// route draws a route that every configuration has.
func (w *World) route(r *rand.Rand) drawn {
	switch {
	case r.Float64() < unsafeShare:
		return drawn{[]string{"/reserve/", "/return/"}[r.IntN(2)], true, routeTimeout}
	case r.IntN(6) == 0:
		return drawn{movedPrefix, false, routeTimeout}
	}
	return drawn{[]string{"/stock/", "/care/"}[r.IntN(2)], false, routeTimeout}
}

// operator writes configurations and evacuations to the store.
type operator struct {
	store  *platform.Store
	ledger *Ledger
	calm   *Calm

	// turn is held while a configuration is written.
	turn    sync.Mutex
	version int
}

func newOperator(store *platform.Store, l *Ledger, calm *Calm) *operator {
	return &operator{store: store, ledger: l, calm: calm}
}

// Newest returns the version of the newest configuration that was sent.
func (o *operator) Newest() int {
	o.turn.Lock()
	defer o.turn.Unlock()
	return o.version
}

// configure sends a new configuration and waits for the store's acknowledgement.
func (o *operator) configure(ctx context.Context) {
	o.turn.Lock()
	defer o.turn.Unlock()
	o.version += 1 + o.version%3
	routes := map[string]string{movedPrefix: services[o.version%2*2]}
	for _, s := range services {
		routes["/"+s+"/"] = s
	}
	only := fmt.Sprintf("%s%d/", onlyPrefix, o.version)
	routes[only] = services[0]
	o.ledger.Configure(time.Now(), o.version, routes)
	if o.write(ctx, platform.ConfigKey, encodeConfig(o.version, routes)) {
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
		clusters = append(clusters, object{"name": s, "health_path": healthPath, "max_connections": 600, "warmup_per_s": PlatformBounds().ColdRate})
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

// write writes a row of the operator's until the store acknowledges it.
func (o *operator) write(ctx context.Context, key string, value []byte) bool {
	for ctx.Err() == nil {
		if o.store.Put(ctx, platform.OperatorTable, key, value) == nil {
			return true
		}
		sleep(ctx, retryPause)
	}
	return false
}

// evacuate asks that the failure domain's servers get nothing for the time.
func (o *operator) evacuate(ctx context.Context, domain string, d time.Duration) {
	key := "evacuate/" + domain
	if !o.write(ctx, key, []byte("{}")) {
		return
	}
	o.ledger.Evacuated(time.Now(), domain)
	sleep(ctx, d)
	o.ledger.Evacuated(time.Time{}, domain)
	for ctx.Err() == nil && o.store.Delete(ctx, platform.OperatorTable, key, 0) != nil {
		sleep(ctx, retryPause)
	}
}

// probeInterval is the time between two rounds of probes.
const probeInterval = 250 * time.Millisecond

// probe sends requests on the newest configuration's own route to every host.
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

// probe sends one request on the route that only the newest configuration has.
func (c *caller) probe() {
	version := c.world.operator.Newest()
	if c.conn == nil {
		c.addrs = []string{c.host.Addr}
		if c.host.deadFor(time.Now()) > 0 || !c.connect() {
			return
		}
	}
	c.count++
	prefix := fmt.Sprintf("%s%d/", onlyPrefix, version)
	a := Attempt{
		ID: fmt.Sprintf("%s-%d", c.name, c.count), Host: c.host.Name, Life: c.life, Route: prefix, Method: http.MethodGet,
		Target: prefix + "probe", Sum: Sum(nil), Sent: time.Now(), Patience: patience, Limit: routeTimeout,
	}
	c.world.ledger.Send(a)
	c.exchange(a, nil)
}
