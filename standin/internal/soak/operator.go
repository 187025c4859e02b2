package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
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
	// splitPrefix is a route with two services, whose shares change with each configuration.
	splitPrefix = "/split/"
	// versionPrefix starts the prefix of the route that only one version has.
	versionPrefix = "/only-"
)

// routeTimeout is the timeout of all routes.
const routeTimeout = 1500 * time.Millisecond

// splitShares are the shares of the first service of the split route, in turn.
var splitShares = []float64{0.9, 0.5, 0.1, 0.7}

// requestRoute is the route drawn for a request.
type requestRoute struct {
	prefix  string
	unsafe  bool
	timeout time.Duration
}

// route draws a route that every configuration has.
func (w *World) route(r *rand.Rand) requestRoute {
	if r.Float64() < unsafeShare {
		return requestRoute{[]string{"/reserve/", "/return/"}[r.IntN(2)], true, routeTimeout}
	}
	switch r.IntN(6) {
	case 0:
		return requestRoute{movedPrefix, false, routeTimeout}
	case 1, 2:
		return requestRoute{splitPrefix, false, routeTimeout}
	}
	return requestRoute{[]string{"/stock/", "/care/"}[r.IntN(2)], false, routeTimeout}
}

// operator writes configurations and evacuations to the store, as the platform's operator does.
type operator struct {
	store *platform.Store
	// addr is the store's address.
	addr         string
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

func newOperator(store *platform.Store, addr string, l *Ledger, disturbances *Disturbances) *operator {
	return &operator{store: store, addr: addr, ledger: l, disturbances: disturbances, evacuated: make(map[string]bool)}
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
	first := splitShares[o.version%len(splitShares)]
	routes := map[string]shares{movedPrefix: only(services[o.version%2*2]), splitPrefix: {"stock": first, "care": 1 - first}}
	for _, s := range services {
		routes["/"+s+"/"] = only(s)
	}
	routes[fmt.Sprintf("%s%d/", versionPrefix, o.version)] = only(services[0])
	o.ledger.Configure(time.Now(), o.version, routes)
	o.config = encodeConfig(o.version, routes)
	if o.writeConfig(ctx) {
		o.ledger.Configured(time.Now())
	}
}

// writeConfig writes the newest configuration and retries until the store has it. It
// replaces only the row that it has read: a write of an older configuration that the store
// performs late must not undo this one. It reports false when the context ended before.
func (o *operator) writeConfig(ctx context.Context) bool {
	for ; ctx.Err() == nil; sleep(ctx, retryInterval) {
		rows, _, err := o.store.Rows(ctx, platform.OperatorTable)
		if err != nil {
			continue
		}
		var version int64
		if i := slices.IndexFunc(rows, func(r plat.Change) bool { return r.Key == platform.ConfigKey }); i >= 0 {
			if bytes.Equal(rows[i].Value, o.config) {
				return true
			}
			version = rows[i].At.Version
		}
		if o.replaceConfig(ctx, version) {
			return true
		}
	}
	return false
}

// replaceConfig writes the newest configuration in place of the row of the version, 0 for
// none. It reports whether the store acknowledged it.
func (o *operator) replaceConfig(ctx context.Context, version int64) bool {
	type object = map[string]any
	row := object{"table": platform.OperatorTable, "key": platform.ConfigKey}
	expected, write := maps.Clone(row), maps.Clone(row)
	expected["ver"], write["value"] = version, o.config
	body, err := json.Marshal(object{"expected": []object{expected}, "writes": []object{write}})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.addr+"/api/rows-tx", bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode == http.StatusOK
}

func encodeConfig(version int, routes map[string]shares) []byte {
	type object = map[string]any
	var rules, clusters []object
	for prefix, parts := range routes {
		kind := "safe"
		action := object{"timeout_s": routeTimeout.Seconds(), "max_attempts": maxAttempts}
		var backends []object
		for service, share := range parts {
			backends = append(backends, object{"service": service, "weight": 100 * share})
			action["service"] = service
			if service == "reserve" || service == "return" {
				kind = "unsafe"
			}
		}
		if len(parts) > 1 {
			delete(action, "service")
			action["backends"] = backends
		}
		rules = append(rules, object{
			"name": strings.Trim(prefix, "/"), "kind": kind, "target_latency_s": 0.3, "match": object{"prefix": prefix}, "sticky": true,
			"action": action,
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
	if !o.beginEvacuation(domain) {
		return
	}
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

// beginEvacuation marks the failure domain as evacuated. It reports false if it is already: the
// end of one evacuation would end the other one too.
func (o *operator) beginEvacuation(domain string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.evacuated[domain] {
		return false
	}
	o.evacuated[domain] = true
	return true
}

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
	o.writeConfig(ctx)
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
