package claims

import (
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"magnoliahitch/steer/claim"
)

// BenchmarkRecord reports the size of a claim's row, without a stored response
// and with bodies of several sizes.
func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{0, 512, 4096} {
		b.Run(fmt.Sprintf("answer=%d", n), func(b *testing.B) {
			r := claim.Record{ID: "2f1c8a52-5c9e-4b1d-9f43-0d8a55e1b7aa", Holder: "montevideo-a-1", Incarnation: 1_790_000_000_000_000_000, Fingerprint: "9f33a47835611ef7-18", State: claim.Done, Expires: time.Unix(1_790_000_000, 0).UTC()}
			if n > 0 {
				r.Response = &claim.Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Body: make([]byte, n)}
			}
			var row []byte
			for b.Loop() {
				row, _ = json.Marshal(r)
			}
			b.ReportMetric(float64(len(row)), "B/row")
		})
	}
}

// BenchmarkRunning reports the memory per operation in the registry, for
// operations that ended with a stored response.
func BenchmarkRunning(b *testing.B) {
	for _, n := range []int{1000, 4000, 16_000} {
		b.Run(fmt.Sprintf("operations=%d", n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				r := newRegistry()
				for i := range n {
					o := &operation{key: fmt.Sprint(keyPrefix, "reservations/", i), id: fmt.Sprint(i), fingerprint: "9f33a47835611ef7-18", done: make(chan struct{})}
					r.start(time.Now(), o)
					r.end(o, claim.Done, &claim.Response{Status: http.StatusOK, Body: make([]byte, 512)})
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heapB/operation")
				runtime.KeepAlive(r)
			}
		})
	}
}
