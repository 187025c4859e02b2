package config

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
)

// configOfSize returns a configuration with the given number of servers. Each group of
// 24 consecutive servers belongs to one of up to 40 services and is spread over the 20
// regions.
func configOfSize(servers int) *Config {
	var r Records
	for i := range servers {
		r.Servers = append(r.Servers, Server{
			Name: fmt.Sprintf("server-%d", i), Service: fmt.Sprintf("service-%d", i/24%40), Region: fmt.Sprintf("region-%d", i%20),
			Domain: fmt.Sprintf("region-%d-a", i%20), Addr: fmt.Sprintf("10.%d.%d.%d:80", i>>16&255, i>>8&255, i&255), Slots: 3, Connections: 650,
		})
	}
	c, err := (&Config{}).WithChange(Change{Revision: 1, Puts: r})
	if err != nil {
		panic(err)
	}
	return c
}

// BenchmarkChange applies a change of one server to configurations of different
// sizes. It reports the heap size of a configuration per server and the encoded
// size of the change.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{360, 3600, 36_000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := configOfSize(n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			s := c.Servers["server-7"]
			s.Slots = 4
			ch := Change{Revision: c.Revision + 1, Author: "operator", Reason: "one slot more", Puts: Records{Servers: []Server{s}}}
			encoded, err := json.Marshal(ch)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := c.WithChange(ch); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heapB/server")
			b.ReportMetric(float64(len(encoded)), "B/change")
			runtime.KeepAlive(c)
		})
	}
}

// BenchmarkFaults validates a complete configuration, which happens once for each
// accepted change, on the host that received it from the operator.
func BenchmarkFaults(b *testing.B) {
	for _, n := range []int{360, 3600, 36_000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			c := configOfSize(n)
			for b.Loop() {
				c.Faults()
			}
		})
	}
}
