package slots

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"magnoliahitch/steer/config"
	"magnoliahitch/steer/result"
)

// mix returns a constant load for each class, as a share of the capacity.
func mix(shares ...float64) func(time.Duration, int) float64 {
	return func(_ time.Duration, class int) float64 { return shares[class] }
}

// simProfile is the profile of both deployments, except for the queue wait.
var simProfile = config.Profile{QueueWaitMs: 200, ReserveShare: 0.2, RetryShare: 0.1, EjectShare: 0.5, SlowStartMs: 1000}

var simDeadline = [classCount]time.Duration{2 * time.Second, 5 * time.Second, 30 * time.Second}

// simLength is the length of a replay in most tests.
const simLength = 20 * time.Second

func TestGoodputAtTwiceTheCapacity(t *testing.T) {
	for seed := range uint64(3) {
		s := runSim(simSetup{seed: seed, profile: simProfile, length: simLength, rate: mix(2, 0, 0), deadline: simDeadline})
		got := s.share(-1, "done", 0, simLength) * 2
		if want := 0.95; got < want {
			t.Errorf("seed %d: got goodput of %.3f of the capacity, want at least %.2f", seed, got, want)
		}
		if got, want := s.peak(), simSlots; got > want {
			t.Errorf("seed %d: got %d requests at once on a server, want at most %d", seed, got, want)
		}
	}
}

func TestBookingsUnderCatalogueOverload(t *testing.T) {
	for seed := range uint64(3) {
		s := runSim(simSetup{seed: seed, profile: simProfile, length: simLength, rate: mix(3, 0.15, 0.3), deadline: simDeadline})
		if got, want := s.share(booking, "done", 0, simLength), 0.99; got < want {
			t.Errorf("seed %d: got %.4f of the bookings done, want at least %.2f", seed, got, want)
		}
		if got, want := s.share(bulk, "refused", 0, simLength), s.share(interactive, "refused", 0, simLength); got < want {
			t.Errorf("seed %d: got %.3f of bulk refused and %.3f of interactive, want bulk shed first", seed, got, want)
		}
	}
}

func TestLatencyRecoversFiveSecondsAfterOverload(t *testing.T) {
	const (
		overload = 20 * time.Second
		end      = 40 * time.Second
		length   = 75 * time.Second
	)
	rate := func(at time.Duration, class int) float64 {
		switch {
		case class == bulk:
			return 0.1
		case class == interactive && at >= overload && at < end:
			return 3
		}
		return 0.3
	}
	for seed := range uint64(3) {
		s := runSim(simSetup{seed: seed, profile: simProfile, length: length, rate: rate, deadline: simDeadline})
		before := s.quantile(0.99, interactive, 0, overload)
		after := s.quantile(0.99, interactive, end+5*time.Second, length)
		if after > before*5/4 {
			t.Errorf("seed %d: got p99 latency %v after the overload, want at most 5/4 of %v before it", seed, after, before)
		}
		if got, want := s.share(-1, "done", end+5*time.Second, length), 0.99; got < want {
			t.Errorf("seed %d: got %.3f of the requests done after the overload, want at least %.2f", seed, got, want)
		}
	}
}

func TestRetriesStayWithinBudget(t *testing.T) {
	s := runSim(simSetup{seed: 1, profile: simProfile, length: time.Minute, rate: mix(0.5, 0, 0), deadline: simDeadline, failing: 0.3})
	if got, want := float64(s.attempts)/float64(len(s.results)), 1.1+0.01; got > want {
		t.Fatalf("got %.3f attempts per request, want at most %.2f", got, want)
	}
}

// BenchmarkAdmit measures the CPU time of admitting one request and finishing
// another, in 8 goroutines with a cell each, with free slots and with a queue.
func BenchmarkAdmit(b *testing.B) {
	for _, queued := range []int{0, 1000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			before := processorTime()
			var g sync.WaitGroup
			for range 8 {
				m := newModel(12)
				m.profile.QueueWaitMs = 1_000_000
				m.cell.Configure(m.now, m.servers, m.isDraining, m.profile)
				id := uint64(0)
				if queued > 0 {
					for ; id < uint64(36+queued); id++ {
						m.cell.Submit(m.now, Request{ID: id})
					}
				}
				g.Go(func() {
					oldest := uint64(0)
					for range b.N {
						m.cell.Submit(m.now, Request{ID: id})
						m.cell.Finish(m.now, Completion{ID: oldest, Outcome: result.Done})
						id++
						oldest++
					}
				})
			}
			g.Wait()
			b.ReportMetric(float64(processorTime()-before)/float64(8*b.N), "cpu-ns/request")
		})
	}
}

// processorTime returns the CPU time of the process in user and system mode.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkReplay compares policies on the same traces. One operation replays two
// minutes of one region's cell with seed 1.
func BenchmarkReplay(b *testing.B) {
	const length = 2 * time.Minute
	variant := func(f func(*config.Profile)) config.Profile {
		p := simProfile
		f(&p)
		return p
	}
	noReserve := variant(func(p *config.Profile) { p.ReserveShare = 0 })
	noBound := variant(func(p *config.Profile) { p.QueueWaitMs = 3_600_000 })
	noBudget := variant(func(p *config.Profile) { p.RetryShare = 1 })
	noRetry := variant(func(p *config.Profile) { p.RetryShare = 0 })
	hedged := variant(func(p *config.Profile) { p.HedgeQuantile = 0.95 })
	day, night, overload := mix(0.5, 0.1, 0.2), mix(0.2, 0.05, 0), mix(3, 0.15, 0.3)
	cases := []struct {
		name  string
		setup simSetup
	}{
		{"night/baseline", simSetup{baseline: true, rate: night}},
		{"night/cell", simSetup{rate: night}},
		{"day/baseline", simSetup{baseline: true, rate: day}},
		{"day/cell", simSetup{rate: day}},
		{"day/noReserve", simSetup{rate: day, profile: noReserve}},
		{"day/noBound", simSetup{rate: day, profile: noBound}},
		{"twice/baseline", simSetup{baseline: true, rate: mix(2, 0, 0)}},
		{"twice/cell", simSetup{rate: mix(2, 0, 0)}},
		{"twice/noBound", simSetup{rate: mix(2, 0, 0), profile: noBound}},
		{"catalogue3x/baseline", simSetup{baseline: true, rate: overload}},
		{"catalogue3x/cell", simSetup{rate: overload}},
		{"catalogue3x/noReserve", simSetup{rate: overload, profile: noReserve}},
		{"catalogue3x/noBound", simSetup{rate: overload, profile: noBound}},
		{"failing30/cell", simSetup{rate: day, failing: 0.3}},
		{"failing30/noBudget", simSetup{rate: day, failing: 0.3, profile: noBudget}},
		{"failing30/noRetry", simSetup{rate: day, failing: 0.3, profile: noRetry}},
		{"failing1/cell", simSetup{rate: day, failing: 0.01}},
		{"failing1/noRetry", simSetup{rate: day, failing: 0.01, profile: noRetry}},
		{"slowServer/baseline", simSetup{baseline: true, rate: night, slow: 10}},
		{"slowServer/cell", simSetup{rate: night, slow: 10}},
		{"slowServer/hedge", simSetup{rate: night, slow: 10, profile: hedged}},
		{"night/hedge", simSetup{rate: night, profile: hedged}},
		{"day/hedge", simSetup{rate: day, profile: hedged}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			c.setup.seed, c.setup.length, c.setup.deadline = 1, length, simDeadline
			if c.setup.profile == (config.Profile{}) {
				c.setup.profile = simProfile
			}
			for b.Loop() {
				report(b, runSim(c.setup), length)
			}
		})
	}
}

// report reports latencies, outcomes and goodput of a replay.
func report(b *testing.B, s *sim, length time.Duration) {
	ms := func(q float64, class int) float64 {
		return float64(s.quantile(q, class, 0, length)) / float64(time.Millisecond)
	}
	b.ReportMetric(ms(0.5, interactive), "p50-ms")
	b.ReportMetric(ms(0.99, interactive), "p99-ms")
	b.ReportMetric(ms(0.999, interactive), "p99.9-ms")
	b.ReportMetric(ms(0.99, booking), "bookingP99-ms")
	b.ReportMetric(100*s.share(booking, "done", 0, length), "bookingDone-%")
	b.ReportMetric(100*s.share(-1, "refused", 0, length), "refused-%")
	b.ReportMetric(100*s.share(-1, "late", 0, length), "late-%")
	b.ReportMetric(float64(s.peak()), "peakSlots")
	b.ReportMetric(float64(s.attempts)/float64(len(s.results)), "attempts/request")
	b.ReportMetric(s.share(-1, "done", 0, length)*float64(len(s.results))/(simCapacity*length.Seconds()), "goodput")
}
