package place

import (
	"encoding/binary"
	"fmt"
	"math/rand"
	"net/netip"
	"runtime"
	"testing"
)

// randomPrefix draws a prefix from a small space, so that many are nested.
func randomPrefix(r *rand.Rand) netip.Prefix {
	if r.Intn(2) == 0 {
		a := netip.AddrFrom4([4]byte{byte(r.Intn(3)) * 127, byte(r.Intn(2)), byte(r.Intn(4)) * 85, byte(r.Intn(256))})
		return netip.PrefixFrom(a, r.Intn(33)).Masked()
	}
	var q [16]byte
	q[0], q[1], q[7], q[15] = byte(r.Intn(2))*255, byte(r.Intn(2)), byte(r.Intn(4)), byte(r.Intn(256))
	return netip.PrefixFrom(netip.AddrFrom16(q), r.Intn(65)).Masked()
}

// longestPrefixSite returns the site of the longest matching prefix by linear
// search.
func longestPrefixSite(blocks map[netip.Prefix]string, a netip.Addr) string {
	best, bits := "", -1
	for p, s := range blocks {
		if p.Contains(a) && p.Bits() > bits {
			best, bits = s, p.Bits()
		}
	}
	return best
}

func TestFindsTheLongestPrefix(t *testing.T) {
	for seed := range int64(200) {
		r := rand.New(rand.NewSource(seed))
		var b Builder
		for i := range 5 {
			if err := b.AddSite(Site{fmt.Sprint("site-", i), "norte"}); err != nil {
				t.Fatal(err)
			}
		}
		blocks := make(map[netip.Prefix]string)
		for range r.Intn(60) {
			p, s := randomPrefix(r), fmt.Sprint("site-", r.Intn(5))
			if _, ok := blocks[p]; ok {
				continue
			}
			blocks[p] = s
			if err := b.AddBlock(p, s); err != nil {
				t.Fatal(err)
			}
		}
		table, err := b.Build()
		if err != nil {
			t.Fatal(err)
		}
		for range 500 {
			a := randomPrefix(r).Addr()
			got, ok := table.Find(a)
			if want := longestPrefixSite(blocks, a); got.Name != want || ok != (want != "") {
				t.Fatalf("seed %d: %v: got %q, %v, want %q", seed, a, got.Name, ok, want)
			}
		}
	}
}

func TestBuilderRejectsInvalidInput(t *testing.T) {
	var b Builder
	if err := b.AddSite(Site{"salto", "litoral"}); err != nil {
		t.Fatal(err)
	}
	if err := b.AddSite(Site{"salto", "norte"}); err == nil {
		t.Error("duplicate site: got no error, want one")
	}
	for _, c := range []struct{ prefix, site string }{
		{"10.0.0.0/8", "other"}, {"10.0.0.1/8", "salto"}, {"2001:db8::/65", "salto"}, {"::ffff:10.0.0.0/104", "salto"},
	} {
		if err := b.AddBlock(netip.MustParsePrefix(c.prefix), c.site); err == nil {
			t.Errorf("%v: got no error, want one", c)
		}
	}
	for range 2 {
		if err := b.AddBlock(netip.MustParsePrefix("10.0.0.0/8"), "salto"); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := b.Build(); err == nil {
		t.Error("duplicate block: got no error, want one")
	}
}

// Sizes of the table in the benchmarks.
const (
	largestBlocks = 2_000_000
	largestSites  = 1500
)

// buildLargest builds the table of the benchmarks: adjacent blocks have different
// sites, and one block in ipv6Interval has an IPv6 prefix.
func buildLargest(tb testing.TB, ipv6Interval int) (*SiteTable, []netip.Addr) {
	var b Builder
	for i := range largestSites {
		if err := b.AddSite(Site{fmt.Sprint("site-", i), fmt.Sprint("region-", i%20)}); err != nil {
			tb.Fatal(err)
		}
	}
	addrs := make([]netip.Addr, 0, largestBlocks)
	for i := range uint32(largestBlocks) {
		var p netip.Prefix
		if int(i)%ipv6Interval == 0 {
			var q [16]byte
			binary.BigEndian.PutUint64(q[:], 0x2000_0000_0000_0000|uint64(i)*0x1_0000_0001<<16)
			p = netip.PrefixFrom(netip.AddrFrom16(q), 56).Masked()
		} else {
			var q [4]byte
			binary.BigEndian.PutUint32(q[:], i*2100)
			p = netip.PrefixFrom(netip.AddrFrom4(q), 24).Masked()
		}
		if err := b.AddBlock(p, fmt.Sprint("site-", i%largestSites)); err != nil {
			tb.Fatal(err)
		}
		addrs = append(addrs, p.Addr())
	}
	table, err := b.Build()
	if err != nil {
		tb.Fatal(err)
	}
	rand.New(rand.NewSource(1)).Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return table, addrs
}

func BenchmarkFind(b *testing.B) {
	for _, c := range []struct {
		name         string
		ipv6Interval int
	}{{"ipv4 and 1 in 4 ipv6", 4}, {"ipv6 only", 1}} {
		b.Run(c.name, func(b *testing.B) {
			table, addrs := buildLargest(b, c.ipv6Interval)
			runtime.GC()
			var with, without runtime.MemStats
			runtime.ReadMemStats(&with)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if _, ok := table.Find(addrs[i%len(addrs)]); !ok {
					b.Fatal("got no site, want one")
				}
				i++
			}
			b.StopTimer()
			runtime.KeepAlive(table)
			table = nil
			runtime.GC()
			runtime.ReadMemStats(&without)
			runtime.KeepAlive(addrs)
			b.ReportMetric(float64(with.HeapAlloc-without.HeapAlloc)/1e6, "MB-table")
		})
	}
}
