package shift

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"magnoliahitch/steer/budget"
	"magnoliahitch/steer/config"
)

// The benchmarks here run on virtual time: their figures don't depend on the
// machine and are the same in each run.

// measuredSeeds are the number of worlds that a figure is taken from.
const measuredSeeds = 10

// overSeeds reports the median and the greatest of the measured times.
func overSeeds(b *testing.B, measure func(w *world) time.Duration, edits ...func(*config.Records)) {
	for range b.N {
		var times []time.Duration
		for seed := range uint64(measuredSeeds) {
			times = append(times, measure(newWorld(b, seed, 6, edits...)))
		}
		slices.Sort(times)
		b.ReportMetric(times[measuredSeeds/2].Seconds(), "median-virtual-s")
		b.ReportMetric(times[measuredSeeds-1].Seconds(), "max-virtual-s")
	}
}

// BenchmarkDrainTime measures how long a region of 90 requests/s and a cap of
// 200 takes until no request ran there for a second, at the default pace.
func BenchmarkDrainTime(b *testing.B) {
	overSeeds(b, func(w *world) time.Duration {
		w.calls["a"] = 90
		w.run(8 * time.Second)
		w.configure(configOf(b, withFloors(18), withDrain(config.TargetRegion, "a"), func(r *config.Records) {
			r.Drains[0].CapRate, r.Drains[0].CapMbps = 200, 200
		}))
		start := w.now
		for {
			if w.ranIn("a", time.Second) == 0 {
				return w.now - start - time.Second
			}
		}
	})
}

// ranIn returns how many requests run in the region in the time.
func (w *world) ranIn(region string, d time.Duration) int {
	before := w.ran[region]
	w.run(d)
	return w.ran[region] - before
}

// BenchmarkKilledKeeper measures the time from the death of a budget's keeper
// to lending at the full rate again. The lease and the margin are 2 s of it.
func BenchmarkKilledKeeper(b *testing.B) {
	overSeeds(b, func(w *world) time.Duration {
		w.calls = map[string]int{"a": 300, "b": 10, "c": 10}
		w.run(8 * time.Second)
		w.lost["a"] = true
		w.run(20 * time.Second)
		s := w.keeperOf("region/a/p")
		s.holder.dead = true
		start := w.now
		full := w.amounts[Account{s.key, Requests}]
		for w.run(worldTick); ; w.run(worldTick) {
			now := w.clock(s.holder)
			if w.up(s.holder) && !now.Before(s.opens) && s.lenders[Requests].Lent(now) >= (full.Cap-full.Floor)*95/100 {
				return w.now - start
			}
		}
	})
}

// BenchmarkConvergence measures the time from a change of demand until the
// host that spends has 90 percent of what can be lent, when others had it all.
func BenchmarkConvergence(b *testing.B) {
	for _, n := range []int{6, 60, 600} {
		b.Run(fmt.Sprint("spenders=", n), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(converge(n).Seconds(), "virtual-s")
			}
		})
	}
}

// converge lets n spenders want more than the cap and then all but one want
// next to nothing. It returns the time from there until that one may spend 90
// percent.
func converge(n int) time.Duration {
	const limit, piece = 60_000, 5
	start := noon
	lender := budget.NewLender[int64](start.Add(-time.Hour))
	lender.Configure(start, limit, 0)
	buckets := make([]*budget.Bucket[int64], n)
	for i := range buckets {
		buckets[i] = budget.NewBucket[int64](start.Add(-time.Hour), 0)
	}
	for now := start; ; now = now.Add(worldTick) {
		changed := now.Sub(start) > 10*time.Second
		for i, b := range buckets {
			for range limit / int(budget.Window/worldTick) / piece {
				if !changed || i == 0 {
					b.Offer(piece)
				}
			}
			if (int(now.Sub(start)/worldTick)+i)%int(budget.Renew/worldTick) == 0 {
				if g, ok := lender.Grant(now, fmt.Sprint(i), b.Ask(now, 0)); ok {
					b.Apply(now, g)
				}
			}
		}
		if changed && buckets[0].Limit(now) >= limit*9/10 {
			return now.Sub(start) - 10*time.Second
		}
	}
}

// BenchmarkMessages measures the asks a second of a host and of a keeper for
// one budget that all hosts spend from.
func BenchmarkMessages(b *testing.B) {
	for _, n := range []int{6, 60, 600} {
		b.Run(fmt.Sprint("spenders=", n), func(b *testing.B) {
			lender := budget.NewLender[int64](noon)
			lender.Configure(noon, 1e9, 0)
			buckets := make([]*budget.Bucket[int64], n)
			for i := range buckets {
				buckets[i] = budget.NewBucket[int64](noon, 0)
			}
			now, asks := lender.Opens(), 0
			for b.Loop() {
				bucket := buckets[asks%n]
				bucket.Offer(1000)
				now = now.Add(budget.Renew / time.Duration(n))
				g, _ := lender.Grant(now, fmt.Sprint(asks%n), bucket.Ask(now, 0))
				bucket.Apply(now, g)
				asks++
			}
			perHost := float64(time.Second) / float64(budget.Renew)
			b.ReportMetric(perHost, "messages/s/host")
			b.ReportMetric(perHost*float64(n), "messages/s/keeper")
		})
	}
}
