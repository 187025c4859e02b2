package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/hitchd/internal/front"
	"magnoliahitch/hitchd/internal/keep"
	"magnoliahitch/hitchd/internal/peer"
	"magnoliahitch/hitchd/internal/view"
	"magnoliahitch/links/certs"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/member"
	"magnoliahitch/steer/place"
)

// The load and the deployment of the benchmark. The rate is in requests/s, the size
// of a response in bytes, the deadline in milliseconds; benchIdle is the number of
// idle connections that the client keeps.
const (
	benchRate     = 2000
	benchTime     = 3 * time.Second
	benchServers  = 12
	benchSlots    = 3
	benchResponse = 1 << 10
	benchDeadline = 3000
	benchIdle     = 256
)

// singleHost is a system of one host, which keeps every cell.
type singleHost struct{ self member.Host }

func (h singleHost) Live() []member.Host { return []member.Host{h.self} }
func (h singleHost) Self() member.Host   { return h.self }

func (h singleHost) Keeper(time.Time, place.Key) (member.Host, bool) { return h.self, true }

func (h singleHost) Holds(time.Time, place.Key) bool { return true }

// must returns a function that returns its value, and ends the benchmark at an error.
func must[T any](b *testing.B) func(T, error) T {
	return func(v T, err error) T {
		b.Helper()
		if err != nil {
			b.Fatal(err)
		}
		return v
	}
}

// serveHTTP serves on a free loopback port and returns its address.
func serveHTTP(b *testing.B, s *http.Server) string {
	l := must[net.Listener](b)(net.Listen("tcp", "127.0.0.1:0"))
	go s.Serve(l)
	b.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// startUpstreams starts the upstream servers and returns their configuration.
func startUpstreams(b *testing.B) *config.Config {
	response := make([]byte, benchResponse)
	r := config.Records{
		Regions:  []config.Region{{Name: "norte", Domains: []string{"norte-a"}}},
		Profiles: []config.Profile{{Name: "calm"}},
		Services: []config.Service{{Name: "stock", Profile: "calm", Class: config.ClassInteractive, DeadlineMs: benchDeadline}},
	}
	for i := range benchServers {
		addr := serveHTTP(b, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(response) })})
		r.Servers = append(r.Servers, config.Server{
			Name: fmt.Sprint("stock-", i), Service: "stock", Region: "norte", Domain: "norte-a",
			Addr: addr, Slots: benchSlots, Connections: 650,
		})
	}
	return must[*config.Config](b)((&config.Config{}).WithChange(config.Change{Revision: 1, Puts: r}))
}

// forwardTo returns a stage that forwards every request over QUIC to a server that
// passes it to next.
func forwardTo(b *testing.B, next call.Doer) call.Doer {
	dir := b.TempDir()
	if err := certs.MakeCA(time.Now(), dir, time.Hour); err != nil {
		b.Fatal(err)
	}
	open := func(name string) *certs.Keys {
		if err := certs.MakeHost(time.Now(), dir, name, nil, time.Hour); err != nil {
			b.Fatal(err)
		}
		return must[*certs.Keys](b)(certs.Open(certs.HostFiles(dir, name)))
	}
	conn := must[net.PacketConn](b)(net.ListenPacket("udp", "127.0.0.1:0"))
	s := peer.NewServer(open("norte-a-1"))
	s.HandleCalls(next)
	ctx, cancel := context.WithCancel(context.Background())
	go s.Serve(ctx, conn)
	client := peer.NewClient(open("norte-a-2"))
	b.Cleanup(func() {
		client.Close()
		cancel()
	})
	to := member.Host{Name: "norte-a-1", PeerAddr: conn.LocalAddr().String()}
	return call.DoerFunc(func(ctx context.Context, r *call.Request) (*call.Response, error) { return client.Forward(ctx, to, r) })
}

// load sends requests to the URL at the rate of the benchmark and returns the sorted
// latencies.
func load(b *testing.B, client *http.Client, url string) []time.Duration {
	const interval = time.Second / benchRate
	out := make([]time.Duration, int(benchTime/interval))
	var g sync.WaitGroup
	start := time.Now()
	for i := range out {
		time.Sleep(time.Until(start.Add(time.Duration(i) * interval)))
		g.Go(func() {
			begin := time.Now()
			res, err := client.Get(url)
			if err != nil {
				b.Error(err)
				return
			}
			defer res.Body.Close()
			n, err := io.Copy(io.Discard, res.Body)
			if err != nil || res.StatusCode != http.StatusOK || n != benchResponse {
				b.Errorf("got status %d, %d bytes, %v", res.StatusCode, n, err)
			}
			out[i] = time.Since(begin)
		})
	}
	g.Wait()
	slices.Sort(out)
	return out
}

// BenchmarkAddedLatency compares requests through the daemon's stages with requests
// straight to an upstream, at 2,000 requests/s. The two alternate.
func BenchmarkAddedLatency(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go runGCTuning(ctx)
	conf := startUpstreams(b)
	log := hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: io.Discard, JSONFormat: true})
	self := singleHost{member.Host{Name: "norte-a-1", Region: "norte", Domain: "norte-a"}}
	v := view.New()
	v.Update(conf)
	keeper := keep.New(self.self.Name, self, log)
	keeper.Configure(clock.Now(), conf)
	for _, c := range []struct {
		name string
		next call.Doer
	}{{"keeper", keeper}, {"forwarded", forwardTo(b, keeper)}} {
		b.Run(c.name, func(b *testing.B) {
			addr := serveHTTP(b, front.New(v, self, c.next, log).Server())
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchIdle}}
			straight := "http://" + conf.Servers["stock-0"].Addr + "/item"
			through := "http://" + addr + "/service/stock/item"
			load(b, client, through)
			b.ResetTimer()
			for range b.N {
				a, z := load(b, client, straight), load(b, client, through)
				for _, q := range []struct {
					name  string
					share float64
				}{{"p50", 0.5}, {"p99", 0.99}} {
					i := int(float64(len(a)) * q.share)
					b.ReportMetric(a[i].Seconds()*1e3, "ms-straight-"+q.name)
					b.ReportMetric(z[i].Seconds()*1e3, "ms-through-"+q.name)
					b.ReportMetric((z[i]-a[i]).Seconds()*1e3, "ms-added-"+q.name)
				}
			}
		})
	}
}

// settleTime is how long an idle daemon runs before its memory is measured.
const settleTime = 3 * time.Second

// BenchmarkIdleMemory measures the resident memory of an idle daemon whose
// platform is down.
func BenchmarkIdleMemory(b *testing.B) {
	dir := b.TempDir()
	bin := filepath.Join(dir, "hitchd")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	settings := writeSettings(b, dir)
	for range b.N {
		cmd := exec.Command(bin, "--config", settings)
		if err := cmd.Start(); err != nil {
			b.Fatal(err)
		}
		time.Sleep(settleTime)
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(resident(b, string(status)), "MB-rss")
	}
}

// resident returns the resident memory in the contents of /proc/PID/status, in MB.
func resident(b *testing.B, status string) float64 {
	_, rest, ok := strings.Cut(status, "VmRSS:")
	if !ok {
		b.Fatalf("no resident memory in %q", status)
	}
	kib := must[int](b)(strconv.Atoi(strings.Fields(rest)[0]))
	return float64(kib) * 1024 / 1e6
}
