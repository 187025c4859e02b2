package budget

import (
	"testing"
	"time"
)

// BenchmarkSpend measures the cost per request of checking one budget.
func BenchmarkSpend(b *testing.B) {
	bucket := NewBucket(start, Requests(1<<40))
	now := start.Add(time.Hour)
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		bucket.Spend(now, 1)
	}
}
