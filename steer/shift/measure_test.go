package shift

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"magnoliahitch/steer/budget"
	"magnoliahitch/steer/config"
)

// The benchmarks in this file run on virtual time: their figures don't depend on
// the machine and are the same in each run.

// measuredSeeds is the number of simulations from which a figure is taken.
const measuredSeeds = 10

// overSeeds reports the median and the maximum of the times over all seeds.
func overSeeds(b *testing.B, measure func(s *simulation) time.Duration, edits ...func(*config.Records)) {
	for range b.N {
		var times []time.Duration
		for seed := range uint64(measuredSeeds) {
			times = append(times, measure(newSimulation(b, seed, 6, edits...)))
		}
		slices.Sort(times)
		b.ReportMetric(times[measuredSeeds/2].Seconds(), "median-virtual-s")
		b.ReportMetric(times[measuredSeeds-1].Seconds(), "max-virtual-s")
	}
}

// BenchmarkDrainTime measures the time from the start of a drain until no request
// has run in the region for a second, for 90 requests/s under a cap of 200 at the
// default pace.
func BenchmarkDrainTime(b *testing.B) {
	overSeeds(b, func(s *simulation) time.Duration {
		s.callRate["a"] = 90
		s.run(8 * time.Second)
		s.configure(configOf(b, withFloors(18), withDrain(config.TargetRegion, "a"), func(r *config.Records) {
			r.Drains[0].CapRate, r.Drains[0].CapMbps = 200, 200
		}))
		start := s.now
		for {
			if s.countRuns("a", time.Second) == 0 {
				return s.now - start - time.Second
			}
		}
	})
}

// countRuns advances the time by d and returns the number of requests that ran in
// the region meanwhile.
func (s *simulation) countRuns(region string, d time.Duration) int {
	before := s.ran[region]
	s.run(d)
	return s.ran[region] - before
}

// BenchmarkKilledKeeper measures the time from the crash of a budget's keeper until
// the new keeper lends at 95 percent of the full rate. The lease and the margin are
// 2 s of it.
func BenchmarkKilledKeeper(b *testing.B) {
	overSeeds(b, func(s *simulation) time.Duration {
		s.callRate = map[string]int{"a": 300, "b": 10, "c": 10}
		s.run(8 * time.Second)
		s.failedRegions["a"] = true
		s.run(20 * time.Second)
		c := s.cellNamed("region/a/p")
		c.keeper.crashed = true
		start := s.now
		full := s.sizes[BudgetKey{c.key, Requests}]
		for s.run(tick); ; s.run(tick) {
			now := s.clock(c.keeper)
			if s.up(c.keeper) && !now.Before(c.lendsFrom) && c.lenders[Requests].Lent(now) >= (full.Cap-full.Floor)*95/100 {
				return s.now - start
			}
		}
	})
}

// BenchmarkConvergence measures the time from a change of demand, after which only
// one host spends, until that host has 90 percent of what can be lent.
func BenchmarkConvergence(b *testing.B) {
	for _, n := range []int{6, 60, 600} {
		b.Run(fmt.Sprint("spenders=", n), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(converge(n).Seconds(), "virtual-s")
			}
		})
	}
}

// converge gives n spenders the demand of the full cap each, and after 10 s only the
// first one. It returns the time from that change until the first one may spend 90
// percent of the cap.
func converge(n int) time.Duration {
	const limit, piece = 60_000, 5
	start := testStart
	lender := budget.NewLender[int64](start.Add(-time.Hour))
	lender.Configure(start, limit, 0)
	buckets := make([]*budget.Bucket[int64], n)
	for i := range buckets {
		buckets[i] = budget.NewBucket[int64](start.Add(-time.Hour), 0)
	}
	for now := start; ; now = now.Add(tick) {
		changed := now.Sub(start) > 10*time.Second
		for i, b := range buckets {
			for range limit / int(budget.Window/tick) / piece {
				if !changed || i == 0 {
					b.AddDemand(piece)
				}
			}
			if (int(now.Sub(start)/tick)+i)%int(budget.RenewInterval/tick) == 0 {
				if g, ok := lender.Grant(now, fmt.Sprint(i), b.NextRequest(now, 0)); ok {
					b.Apply(now, g)
				}
			}
		}
		if changed && buckets[0].Limit(now) >= limit*9/10 {
			return now.Sub(start) - 10*time.Second
		}
	}
}

// BenchmarkMessages reports the asks a second that a host sends and that a keeper
// receives for one budget from which all hosts spend.
func BenchmarkMessages(b *testing.B) {
	for _, n := range []int{6, 60, 600} {
		b.Run(fmt.Sprint("spenders=", n), func(b *testing.B) {
			lender := budget.NewLender[int64](testStart)
			lender.Configure(testStart, 1e9, 0)
			buckets := make([]*budget.Bucket[int64], n)
			for i := range buckets {
				buckets[i] = budget.NewBucket[int64](testStart, 0)
			}
			now, asks := lender.LendsFrom(), 0
			for b.Loop() {
				bucket := buckets[asks%n]
				bucket.AddDemand(1000)
				now = now.Add(budget.RenewInterval / time.Duration(n))
				g, _ := lender.Grant(now, fmt.Sprint(asks%n), bucket.NextRequest(now, 0))
				bucket.Apply(now, g)
				asks++
			}
			perHost := float64(time.Second) / float64(budget.RenewInterval)
			b.ReportMetric(perHost, "messages/s/host")
			b.ReportMetric(perHost*float64(n), "messages/s/keeper")
		})
	}
}
